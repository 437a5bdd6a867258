package site

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/tinarch/tinarch/internal/serving"
	"github.com/tinarch/tinarch/internal/settings"
)

// inZone puts a node in a zone and sets that all nodes start for the first time.
func inZone(zone string) func(*settings.Routed) {
	return func(configured *settings.Routed) {
		configured.Node.Zone = zone
		configured.Node.FirstStart = true
	}
}

// startTogether starts nodes in two zones and waits until all are ready and know each other.
func (s *site) startTogether(count int) []*serving.Node {
	s.t.Helper()
	var nodes []*serving.Node
	for i := range count {
		node, _ := s.startNode(fmt.Sprint("node-", i), inZone([]string{"a", "b"}[i%2]))
		nodes = append(nodes, node)
	}
	for i, node := range nodes {
		s.await(fmt.Sprint("node ", i, " is ready and knows all others"), func() bool {
			return node.Ready() && node.Nodes() == count && node.Workers() == len(s.workers)
		})
	}
	return nodes
}

// TestTablesAreReadOnceAZone: if many nodes start together, at most two nodes of each zone read
// a table from the store, and the others get it from them.
func TestTablesAreReadOnceAZone(t *testing.T) {
	for _, count := range []int{8, 16, 36} {
		s := newSite(t)
		s.addWorkers()
		s.store.Put("op", "config", configuration(1))
		s.startTogether(count)
		const zones, readers = 2, 2
		for _, table := range []string{"servers", "op", "quarantine"} {
			if reads := s.store.Reads(table); reads > zones*readers {
				t.Errorf("%d nodes: table %s was read %d times", count, table, reads)
			}
		}
	}
}

// TestNodeStartsByItselfWhereItsNeighboursAreDead: a node becomes ready although the node list
// contains only nodes that are gone.
func TestNodeStartsByItselfWhereItsNeighboursAreDead(t *testing.T) {
	s := newSite(t)
	s.addWorkers()
	s.store.Put("op", "config", configuration(1))
	for i := range 5 {
		row := map[string]any{"incarnation": fmt.Sprint("dead-", i), "exchange": freePort(t), "zone": "a"}
		s.store.Put("nodes", fmt.Sprint("a/dead-", i), row)
	}
	s.node, s.address = s.startNode("node-1", func(*settings.Routed) {})
	s.await("the node is ready", s.node.Ready)
	if got := s.ask(http.MethodGet, "/board/1", nil, ""); got.status != http.StatusOK {
		t.Errorf("%d %s", got.status, got.body)
	}
}

// TestLargeConfigurationIsReadByFew: nodes get a configuration that is too large for one
// datagram from each other. Each used to read it from the store.
func TestLargeConfigurationIsReadByFew(t *testing.T) {
	s := newSite(t)
	s.addWorkers()
	s.store.Put("op", "config", configuration(1))
	const count = 12
	nodes := s.startTogether(count)
	feeds := s.store.Feeds("op")
	s.store.Put("op", "config", largeConfiguration(2))
	for _, node := range nodes {
		s.await("the configuration is in force", func() bool { return node.RoutesVersion() == 2 })
	}
	// Some of these calls wait for the change.
	if calls := s.store.Feeds("op") - feeds; calls > count/2 {
		t.Errorf("%d calls for a change that one node had to read", calls)
	}
}

// TestWorkersAreNotAskedAtTheFirstStart: at the first start of all nodes workers aren't asked
// for their cache list, since no request has reached them yet. A node that starts later asks.
func TestWorkersAreNotAskedAtTheFirstStart(t *testing.T) {
	for _, first := range []bool{true, false} {
		s := startWith(t, func(configured *settings.Routed) { configured.Node.FirstStart = first })
		if !first {
			s.await("the engines are asked", func() bool { return s.workers["read-1"].ListCalls() > 0 })
			continue
		}
		s.await("the engines' caches count as known", func() bool {
			return s.ask(http.MethodPost, "/check/1", nil, "").status == http.StatusOK
		})
		for id, worker := range s.workers {
			if worker.ListCalls() > 0 {
				t.Errorf("%s was asked for its cache list", id)
			}
		}
	}
}

// TestNodeIsListedAgainWhereItsRowIsTakenAway: a node whose row in the node list is removed
// while it announces itself writes it again. Another node may consider it gone, or the store
// may lose the row.
func TestNodeIsListedAgainWhereItsRowIsTakenAway(t *testing.T) {
	s := newSite(t)
	const key, times = "a/node-1", 2
	var taken atomic.Int64
	s.store.OnRead(func(table string) {
		if table == "nodes" && len(s.store.Rows("nodes")) > 0 && taken.Load() < times {
			s.store.Put("nodes", key, nil)
			taken.Add(1)
		}
	})
	s.startNode("node-1", func(*settings.Routed) {})
	s.await("the node is listed after its row was taken away twice", func() bool {
		return taken.Load() == times && len(s.store.Rows("nodes")) == 1
	})
}
