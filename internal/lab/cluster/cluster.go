// Package cluster runs a whole deployment in one process: fakes of the platform's services,
// emulated engines, and nodes. Demos, experiments and tests use it.
package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/api/tinarch/v1/tinarchv1connect"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/cli"
	"github.com/tinarch/tinarch/internal/engine"
	labengine "github.com/tinarch/tinarch/internal/lab/engine"
	"github.com/tinarch/tinarch/internal/lab/platform"
	"github.com/tinarch/tinarch/internal/node"
	"github.com/tinarch/tinarch/internal/placement"
	"github.com/tinarch/tinarch/internal/platform/machines"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"
)

// Pool is a set of engines with the same model of performance.
type Pool struct {
	Name  string
	Count int
	Model labengine.Model
}

// Options configure a deployment.
type Options struct {
	Name  string
	Zones []string
	Nodes int
	Pools []Pool
	// TimeScale multiplies the modelled durations of engines.
	TimeScale float64
	// ReportLag is the age at which engines publish load reports and cache events.
	ReportLag time.Duration
	// ListLag is the time after which a change of the machine list becomes visible.
	ListLag      time.Duration
	LedgerGroups int
	Policy       placement.Policy
	Log          *logrus.Logger
}

// OperatorToken is the operator token with the write role in all deployments of this package.
const OperatorToken = "operator"

// ReadToken is the operator token with the read role in all deployments of this package.
const ReadToken = "reader"

// Cluster is a running deployment.
type Cluster struct {
	options  Options
	Table    *platform.Table
	Objects  *platform.Objects
	Machines *platform.Machines
	Engines  []*labengine.Engine
	Nodes    []*node.Node
	// Network connects the nodes; tests can cut it.
	Network *Network
	list    []machines.Machine
	// nodesStarted is the number of nodes started by AddNode.
	nodesStarted int
}

// Quiet returns a logger that discards everything.
func Quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	return log
}

// Start starts a deployment. When it returns, the nodes run but have no catalog yet.
func Start(options Options) (*Cluster, error) {
	if options.Log == nil {
		options.Log = Quiet()
	}
	if options.LedgerGroups == 0 {
		options.LedgerGroups = 2
	}
	c := &Cluster{options: options, Network: newNetwork()}
	if err := c.startPlatform(); err != nil {
		c.Close()
		return nil, err
	}
	if err := c.startEngines(); err != nil {
		c.Close()
		return nil, err
	}
	for range options.Nodes {
		if _, err := c.AddNode(); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// maxSeeds is the maximum number of seeds of a node, which learns of the other nodes from them.
const maxSeeds = 3

const loopback = "127.0.0.1:0"

func (c *Cluster) startPlatform() (err error) {
	if c.Table, err = platform.StartTable(loopback); err != nil {
		return err
	}
	if c.Objects, err = platform.StartObjects(loopback); err != nil {
		return err
	}
	c.Machines, err = platform.StartMachines(loopback, c.options.ListLag)
	return err
}

func (c *Cluster) startEngines() error {
	return c.startEnginesAt(func() string { return loopback })
}

func (c *Cluster) zone(i int) string { return c.options.Zones[i%len(c.options.Zones)] }

// NodeSettings returns the settings of a node of this deployment.
func (c *Cluster) NodeSettings(name, zone string) settings.Settings {
	configured := settings.Default()
	configured.Node = settings.Node{Name: name, Zone: zone}
	configured.Listen = settings.Listen{Callers: loopback, Operators: loopback, Peers: loopback}
	configured.Cluster = settings.Cluster{ID: c.options.Name, LedgerGroups: c.options.LedgerGroups}
	for _, running := range c.Nodes[max(0, len(c.Nodes)-maxSeeds):] {
		configured.Cluster.Seeds = append(configured.Cluster.Seeds, running.PeersAddress())
	}
	configured.Platform.Table = settings.Table{
		Endpoint: c.Table.URL(), Region: "local", Name: "tinarch", AccessKey: "key", SecretKey: "secret", RequestsPerSecond: 50,
	}
	configured.Platform.Objects = settings.Objects{
		Endpoint: c.Objects.URL(), Region: "local", Bucket: "tinarch", AccessKey: "key", SecretKey: "secret", RequestsPerSecond: 50,
	}
	configured.Platform.Machines = settings.Machines{URL: c.Machines.URL(), RefreshMillis: 500}
	configured.Operators.Tokens = []settings.Token{
		{Name: "lab", SHA256: catalog.KeyDigest(OperatorToken), Role: settings.RoleWrite},
		{Name: "reader", SHA256: catalog.KeyDigest(ReadToken), Role: settings.RoleRead},
	}
	configured.Limits.MaxBodyBytes = 32 << 20
	return configured
}

// AddNode starts another node and adds it to Nodes.
func (c *Cluster) AddNode() (*node.Node, error) {
	i := c.nodesStarted
	c.nodesStarted++ // no two processes get the same name
	started, err := c.StartNode(fmt.Sprintf("node-%d", i+1), c.zone(i))
	if err == nil {
		c.Nodes = append(c.Nodes, started)
	}
	return started, err
}

// StartNode starts a node without adding it to Nodes.
func (c *Cluster) StartNode(name, zone string) (*node.Node, error) {
	started, err := node.Start(c.NodeSettings(name, zone), node.Options{
		Policy: c.options.Policy, Log: c.options.Log, Dial: c.Network.dialer(name),
	})
	if err == nil {
		c.Network.place(name, started.PeersAddress())
	}
	return started, err
}

// SetLeaving marks an engine in the machine list as about to be removed, or removes the mark.
func (c *Cluster) SetLeaving(name string, leaving bool) {
	for i := range c.list {
		if c.list[i].Name == name {
			c.list[i].Leaving = leaving
		}
	}
	c.Machines.Set(c.list)
}

// Engine returns the engine of the given name, or nil.
func (c *Cluster) Engine(name string) *labengine.Engine {
	for _, e := range c.Engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// Counters returns the sum of all engines' counters.
func (c *Cluster) Counters() labengine.Counters {
	var total labengine.Counters
	for _, e := range c.Engines {
		total.Add(e.Counters())
	}
	return total
}

// Runs returns the number of attempts that engines accepted, by text seed.
func (c *Cluster) Runs() map[uint64]int {
	total := map[uint64]int{}
	for _, e := range c.Engines {
		e.Runs(total)
	}
	return total
}

// Catalog returns a client of the catalog service at a node's operators' address.
func (c *Cluster) Catalog(n *node.Node) tinarchv1connect.CatalogServiceClient {
	return CatalogAt(n.OperatorsAddress())
}

// Fleet returns a client of the fleet service at a node's operators' address.
func (c *Cluster) Fleet(n *node.Node) tinarchv1connect.FleetServiceClient {
	return FleetAt(n.OperatorsAddress())
}

// CatalogAt returns a client of the catalog service at an address.
func CatalogAt(address string) tinarchv1connect.CatalogServiceClient {
	return tinarchv1connect.NewCatalogServiceClient(http.DefaultClient, "http://"+address, connect.WithInterceptors(cli.BearerToken(OperatorToken)))
}

// FleetAt returns a client of the fleet service at an address.
func FleetAt(address string) tinarchv1connect.FleetServiceClient {
	return tinarchv1connect.NewFleetServiceClient(http.DefaultClient, "http://"+address, connect.WithInterceptors(cli.BearerToken(OperatorToken)))
}

// ApplyAt applies a change of revision expected at the node with the given operators' address.
func (c *Cluster) ApplyAt(ctx context.Context, address string, expected uint64, put *tinarchv1.Catalog) error {
	_, err := CatalogAt(address).Apply(ctx, connect.NewRequest(&tinarchv1.ApplyRequest{
		ExpectedRevision: expected, OperationId: string(engine.NewIdentifier()), Put: put,
	}))
	return err
}

// Apply applies a change of the current revision and waits until it is in force at all nodes.
// It returns the new revision.
func (c *Cluster) Apply(ctx context.Context, put *tinarchv1.Catalog) (uint64, error) {
	client := c.Catalog(c.Nodes[0])
	current, err := client.Get(ctx, connect.NewRequest(&tinarchv1.GetRequest{}))
	if err != nil {
		return 0, err
	}
	response, err := client.Apply(ctx, connect.NewRequest(&tinarchv1.ApplyRequest{
		ExpectedRevision: current.Msg.GetRevision(), OperationId: string(engine.NewIdentifier()), Put: put,
	}))
	if err != nil {
		return 0, err
	}
	revision := response.Msg.GetRevision()
	return revision, c.Await(ctx, "the configuration in force everywhere", func() bool {
		for _, n := range c.Nodes {
			if n.Revision() < revision {
				return false
			}
		}
		return true
	})
}

// Await polls until a condition holds. what names the condition in the error if ctx ends first.
func (c *Cluster) Await(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return result.New(result.Internal, "waiting for %s: %v", what, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// CaughtUp reports whether all nodes know each other and the table's current revision.
func (c *Cluster) CaughtUp() bool {
	for _, n := range c.Nodes {
		if !n.CaughtUp() || len(n.Candidates()) < len(c.Nodes) {
			return false
		}
	}
	return true
}

// AwaitEngines waits until at least count engines are ready.
func (c *Cluster) AwaitEngines(ctx context.Context, count int) error {
	return c.Await(ctx, fmt.Sprintf("%d ready engines", count), func() bool { return c.ReadyEngines(ctx) >= count })
}

// ReadyEngines returns the number of engines that the cells' leaders report as ready.
func (c *Cluster) ReadyEngines(ctx context.Context) int {
	return c.ReadyEnginesAt(ctx, c.Nodes[0].OperatorsAddress())
}

// ReadyEnginesAt is ReadyEngines, asking the node with the given operators' address. It returns
// 0 if the call fails.
func (c *Cluster) ReadyEnginesAt(ctx context.Context, address string) int {
	response, err := FleetAt(address).Engines(ctx, connect.NewRequest(&tinarchv1.EnginesRequest{}))
	if err != nil {
		return 0
	}
	ready := 0
	for _, status := range response.Msg.GetEngines() {
		if status.GetState() == placement.Ready.String() {
			ready++
		}
	}
	return ready
}

// Close stops the nodes, then the engines and the platform's services.
func (c *Cluster) Close() {
	var closing sync.WaitGroup
	for _, n := range c.Nodes {
		closing.Add(1)
		go func() {
			defer closing.Done()
			n.Close()
		}()
	}
	closing.Wait()
	for _, e := range c.Engines {
		e.Close()
	}
	if c.Table != nil {
		c.Table.Close()
	}
	if c.Objects != nil {
		c.Objects.Close()
	}
	if c.Machines != nil {
		c.Machines.Close()
	}
}
