package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"connectrpc.com/connect"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/api/tinarch/v1/tinarchv1connect"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/cli"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"
)

func (e environment) catalogClient() tinarchv1connect.CatalogServiceClient {
	return tinarchv1connect.NewCatalogServiceClient(http.DefaultClient, e.server, connect.WithInterceptors(cli.BearerToken(e.token)))
}

// applyCommand changes the configuration. The Catalog message describes the whole configuration:
// catalog is its name in the API, in packages and in metrics.
type applyCommand struct {
	File      string  `arg:"positional,required" help:"YAML or JSON file in the form of the Catalog message"`
	Replace   bool    `arg:"--replace" help:"delete the objects that are not in the file"`
	Expect    *uint64 `arg:"--expect" help:"revision that the change was made against (default: the one in force)"`
	Operation string  `arg:"--operation" help:"identifier of the operation; give the same one to repeat a change whose answer was lost"`
}

func (c *applyCommand) run(ctx context.Context, env environment) error {
	put, err := catalog.ReadFile(c.File)
	if err != nil {
		return err
	}
	return apply(ctx, env, c.Expect, c.Operation, &tinarchv1.ApplyRequest{Put: put, Replace: c.Replace})
}

// apply sends a change of the configuration. If expect is nil, the change is based on the
// current revision.
func apply(ctx context.Context, env environment, expect *uint64, operation string, request *tinarchv1.ApplyRequest) error {
	client := env.catalogClient()
	if expect != nil {
		request.ExpectedRevision = *expect
	} else {
		current, err := client.Get(ctx, connect.NewRequest(&tinarchv1.GetRequest{}))
		if err != nil {
			return err
		}
		request.ExpectedRevision = current.Msg.GetRevision()
	}
	if operation == "" {
		operation = string(engine.NewIdentifier())
	}
	request.OperationId = operation
	response, err := client.Apply(ctx, connect.NewRequest(request))
	if err != nil {
		failure := result.From(cli.FromRPC(err))
		if failure.Code == result.ApplyUnknown {
			fmt.Fprintf(os.Stderr, "tinarch: to find out, repeat the command with --expect %d --operation %s\n", request.ExpectedRevision, operation)
		}
		return failure
	}
	return env.printer.Message(response.Msg, func(rows *cli.Rows) { rows.Add("revision", response.Msg.GetRevision()) })
}

var objectTypes = map[string]tinarchv1.ObjectType{
	"class":   tinarchv1.ObjectType_OBJECT_TYPE_CLASS,
	"kind":    tinarchv1.ObjectType_OBJECT_TYPE_KIND,
	"model":   tinarchv1.ObjectType_OBJECT_TYPE_MODEL,
	"version": tinarchv1.ObjectType_OBJECT_TYPE_VERSION,
	"adapter": tinarchv1.ObjectType_OBJECT_TYPE_ADAPTER,
	"pool":    tinarchv1.ObjectType_OBJECT_TYPE_POOL,
	"tenant":  tinarchv1.ObjectType_OBJECT_TYPE_TENANT,
	"service": tinarchv1.ObjectType_OBJECT_TYPE_SERVICE,
	"route":   tinarchv1.ObjectType_OBJECT_TYPE_ROUTE,
}

// deleteCommand deletes one object of the configuration. Type is one of objectTypes; for any
// other value the command says that it "is no sort of object".
type deleteCommand struct {
	Type   string  `arg:"positional,required" help:"class, kind, model, version, adapter, pool, tenant, service or route"`
	Name   string  `arg:"positional,required" help:"name; model/version for a version"`
	Expect *uint64 `arg:"--expect" help:"revision that the change was made against (default: the one in force)"`
}

func (c *deleteCommand) run(ctx context.Context, env environment) error {
	kind, known := objectTypes[c.Type]
	if !known {
		return result.New(result.UsageInvalid, "%q is no sort of object; see tinarch delete --help", c.Type)
	}
	return apply(ctx, env, c.Expect, "", &tinarchv1.ApplyRequest{Delete: []*tinarchv1.ObjectReference{{Type: kind, Name: c.Name}}})
}

type getCommand struct{}

func (c *getCommand) run(ctx context.Context, env environment) error {
	response, err := env.catalogClient().Get(ctx, connect.NewRequest(&tinarchv1.GetRequest{}))
	if err != nil {
		return err
	}
	return env.printer.Message(response.Msg, func(rows *cli.Rows) { listCatalog(rows, response.Msg) })
}

func listCatalog(rows *cli.Rows, response *tinarchv1.GetResponse) {
	stored := response.GetCatalog()
	rows.Add("revision", response.GetRevision())
	rows.Add("TYPE", "NAME", "DETAILS")
	for _, class := range stored.GetClasses() {
		rows.Add("class", class.GetName(), fmt.Sprintf("rank %d, weight %d", class.GetRank(), class.GetWeight()))
	}
	for _, pool := range stored.GetPools() {
		rows.Add("pool", pool.GetName(), fmt.Sprintf("role change price %d s", pool.GetRoleChangePriceSeconds()))
	}
	for _, model := range stored.GetModels() {
		rows.Add("model", model.GetName(), fmt.Sprintf("pool %s, default version %s", model.GetPool(), model.GetDefaultVersion()))
	}
	for _, version := range stored.GetVersions() {
		rows.Add("version", catalog.VersionName(version.GetModel(), version.GetName()), fmt.Sprintf("%d bytes", version.GetSizeBytes()))
	}
	for _, adapter := range stored.GetAdapters() {
		rows.Add("adapter", adapter.GetName(), "model "+adapter.GetModel())
	}
	for _, kind := range stored.GetKinds() {
		rows.Add("kind", kind.GetName(), fmt.Sprintf("model %s, class %s, deadline %d ms, repeatable %v",
			kind.GetModel(), kind.GetPriorityClass(), kind.GetDeadlineMs(), kind.GetRepeatable()))
	}
	for _, tenant := range stored.GetTenants() {
		rows.Add("tenant", tenant.GetName(), fmt.Sprintf("class %s, %d keys", tenant.GetPriorityClass(), len(tenant.GetKeySha256())))
	}
	listRoutes(rows, stored)
}

func listRoutes(rows *cli.Rows, stored *tinarchv1.Catalog) {
	for _, service := range stored.GetServices() {
		rows.Add("service", service.GetName(), fmt.Sprintf("%d connections a worker", service.GetMaxConnections()))
	}
	for _, route := range stored.GetRoutes() {
		var targets []string
		for _, target := range route.GetTargets() {
			targets = append(targets, fmt.Sprintf("%s %d", target.GetService(), target.GetWeight()))
		}
		rows.Add("route", route.GetName(), fmt.Sprintf("%s%s to %s, timeout %d ms",
			route.GetHost(), route.GetPathPrefix(), strings.Join(targets, ", "), route.GetTimeoutMs()))
	}
}

type watchCommand struct{}

func (c *watchCommand) run(ctx context.Context, env environment) error {
	request := connect.NewRequest(&tinarchv1.WatchRequest{})
	request.Header().Set("Authorization", "Bearer "+env.token)
	stream, err := env.catalogClient().Watch(ctx, request)
	if err != nil {
		return err
	}
	for stream.Receive() {
		if err := env.printer.Message(stream.Msg(), func(rows *cli.Rows) { rows.Add("revision", stream.Msg().GetRevision()) }); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return nil // interrupted by the operator
	}
	return stream.Err()
}

type checkCommand struct {
	File     string `arg:"positional,required" help:"YAML or JSON file in the form of the Catalog message"`
	Settings bool   `arg:"--settings" help:"the file holds the settings of a node that serves routes (tinarchd --routed)"`
}

func (c *checkCommand) run(context.Context, environment) error {
	if c.Settings {
		return checkSettings(c.File)
	}
	read, err := catalog.ReadFile(c.File)
	if err != nil {
		return err
	}
	if violations := catalog.Validate(read); len(violations) > 0 {
		return violations
	}
	fmt.Println("the configuration is valid")
	return nil
}

func checkSettings(file string) error {
	if _, err := settings.LoadRouted(file); err != nil {
		return err
	}
	fmt.Println("the settings are valid")
	return nil
}

type keyCommand struct{}

func (c *keyCommand) run(context.Context, environment) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return result.New(result.UsageInvalid, "no key came on standard input (%v); use: echo KEY | tinarch key", err)
	}
	fmt.Println(catalog.KeyDigest(key))
	return nil
}
