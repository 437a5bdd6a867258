package abuse

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/lab/cluster"
	"github.com/tinarch/tinarch/internal/lab/process"
	"github.com/tinarch/tinarch/internal/platform/machines"
	"github.com/tinarch/tinarch/internal/result"
)

// gatewayMemoryParts is the part of the machine's memory that the callers of a gateway may hold.
const gatewayMemoryParts = 4

// startGateways starts a site whose nodes are gateways, which serve plain workers behind routes.
func startGateways(ctx context.Context, options Options) (*site, error) {
	s := &site{options: options}
	var err error
	s.lab, err = cluster.Start(cluster.Options{Name: "abuse", Zones: []string{"a"}, LedgerGroups: 2})
	if err != nil {
		return nil, err
	}
	s.startWorkers()
	s.lab.Machines.Set(s.machines())
	seeds := make([]string, 0, nodeCount)
	for number := range nodeCount {
		seed, err := s.startGateway(number, seeds)
		if err != nil {
			s.close()
			return nil, err
		}
		seeds = append(seeds, seed)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.awaitGateways(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// machines lists the workers as the platform's machine list does.
func (s *site) machines() []machines.Machine {
	var list []machines.Machine
	for _, worker := range s.workers {
		list = append(list, machines.Machine{
			Kind: machines.KindWorker, Name: worker.id, Pool: service, Zone: "a", Address: strings.TrimPrefix(worker.server.URL, "http://"),
		})
	}
	return list
}

// startGateway starts a gateway at an address of its own and returns its address for others.
func (s *site) startGateway(number int, seeds []string) (string, error) {
	configured := s.lab.NodeSettings(fmt.Sprintf("node-%d", number+1), "a")
	configured.Cluster.Seeds = seeds
	configured.Limits.MaxBodyBytes = maxBodyBytes
	configured.Limits.MemoryMegabytes = s.options.MemoryMegabytes
	configured.Limits.ClientMemoryMegabytes = s.options.MemoryMegabytes / gatewayMemoryParts
	configured.Limits.StopTimeoutMillis = stopMillis
	ip := netip.AddrFrom4([4]byte{127, 0, 3, byte(1 + number)})
	for _, address := range []*string{&configured.Listen.Callers, &configured.Listen.Operators, &configured.Listen.Peers} {
		free, err := freeAddress(ip)
		if err != nil {
			return "", result.Wrap(err, result.Internal, "finding a free port")
		}
		*address = free
	}
	started := &node{operators: configured.Listen.Operators, Node: &process.Node{
		Program: "/bin/sh", Arguments: s.limited(), Directory: s.options.Directory,
		Name: configured.Node.Name, Settings: configured, ReadyURL: "http://" + configured.Listen.Callers + "/readyz",
	}}
	started.listen.Callers, started.listen.Readiness = configured.Listen.Callers, configured.Listen.Callers
	s.nodes = append(s.nodes, started)
	return configured.Listen.Peers, started.Start()
}

// awaitGateways applies the routes and waits until all gateways serve them.
func (s *site) awaitGateways(ctx context.Context) error {
	if err := s.lab.Await(ctx, "the first revision", func() bool { return s.lab.ApplyAt(ctx, s.nodes[0].operators, 0, gatewayRoutes()) == nil }); err != nil {
		return err
	}
	for _, each := range s.nodes {
		if err := s.lab.Await(ctx, each.Name, func() bool { return each.Ready(ctx) && each.serves(ctx) }); err != nil {
			return err
		}
	}
	return nil
}

// serves reports whether the node serves the routes.
func (n *node) serves(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.listen.Callers+"/board/first", nil)
	if err != nil {
		return false
	}
	request.Host = host
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func gatewayRoutes() *tinarchv1.Catalog {
	route := func(name, prefix string, kind tinarchv1.RouteKind, attempts uint32) *tinarchv1.Route {
		return &tinarchv1.Route{
			Name: name, Host: host, PathPrefix: prefix, Kind: kind, TimeoutMs: uint32(routeTimeout / time.Millisecond), MaxAttempts: attempts,
			Targets: []*tinarchv1.RouteTarget{{Service: service, Weight: 1}},
		}
	}
	return &tinarchv1.Catalog{
		Services: []*tinarchv1.Service{{Name: service}},
		Routes: []*tinarchv1.Route{
			route("board", "/board/", tinarchv1.RouteKind_ROUTE_KIND_IDEMPOTENT, 2),
			route("submit", "/submit/", tinarchv1.RouteKind_ROUTE_KIND_NON_IDEMPOTENT, 1),
		},
	}
}
