package site

import (
	"fmt"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/soak"
	"github.com/tinarch/tinarch/internal/rendezvous"
	"github.com/tinarch/tinarch/internal/serving"
	"github.com/tinarch/tinarch/internal/settings"
)

// largeConfiguration is too large for one datagram: its names don't compress.
func largeConfiguration(version int) map[string]any {
	large := configuration(version)
	for i := range 600 {
		large["Routes"] = append(large["Routes"].([]any), map[string]any{
			"Name": fmt.Sprintf("r%x", i*2654435761), "Host": host, "PathPrefix": fmt.Sprintf("/p%x/", i*40503*i), "Kind": "idempotent",
			"Service": portal, "TimeoutMs": 1000 + i, "TargetLatencyMs": 500, "MaxAttempts": 1 + i%3,
		})
	}
	return large
}

// proxiedNode is a node that reaches the store through its own proxy.
type proxiedNode struct {
	*serving.Node
	store    *soak.Proxy
	exchange string
}

// startProxied starts nodes in two zones, each with its own proxy to the store.
func (s *site) startProxied(count int) []proxiedNode {
	s.t.Helper()
	var nodes []proxiedNode
	for i := range count {
		proxy, err := soak.StartProxy(s.store.Address())
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(proxy.Close)
		started := proxiedNode{store: proxy}
		started.Node, _ = s.startNode(fmt.Sprint("node-", i), func(configured *settings.Routed) {
			inZone([]string{"a", "b"}[i%2])(configured)
			configured.Store.Address = proxy.Address()
			started.exchange = configured.Listen.Exchange
		})
		nodes = append(nodes, started)
	}
	for i, node := range nodes {
		s.await(fmt.Sprint("node ", i, " is ready and knows all others"), func() bool {
			return node.Ready() && node.Nodes() == count && node.Workers() == len(s.workers)
		})
	}
	return nodes
}

// ranked returns the nodes in the order of their rank for reading the configuration for all
// nodes.
func ranked(nodes []proxiedNode) []proxiedNode {
	hash := func(node proxiedNode) uint64 { return rendezvous.Hash(node.exchange) }
	return rendezvous.Top(nodes, hash, rendezvous.Hash("table op"), len(nodes))
}

// TestNodesThatTheStoreTurnsAwayGetLargeConfigurations: nodes that can't reach the store get a
// large configuration from the others, whatever their rank.
func TestNodesThatTheStoreTurnsAwayGetLargeConfigurations(t *testing.T) {
	s := newSite(t)
	s.addWorkers()
	s.store.Put("op", "config", configuration(1))
	nodes := ranked(s.startProxied(8))
	version := 1
	for _, mode := range []soak.Mode{soak.Reset, soak.Silent, soak.OneWay} {
		for _, denied := range [][]proxiedNode{nodes[:1], nodes[:4], nodes[1:], nodes[4:]} {
			for _, node := range denied {
				node.store.SetMode(mode)
			}
			version++
			s.store.Put("op", "config", largeConfiguration(version))
			for i, node := range nodes {
				s.await(fmt.Sprintf("the node of rank %d has version %d, %d nodes denied (%s)", i, version, len(denied), mode), func() bool {
					return node.RoutesVersion() == uint64(version)
				})
			}
			for _, node := range denied {
				node.store.SetMode(soak.Pass)
			}
		}
	}
}
