package site

import (
	"fmt"
	"testing"

	"github.com/tinarch/tinarch/internal/lab/fleetworker"
	"github.com/tinarch/tinarch/internal/lab/soak"
	"github.com/tinarch/tinarch/internal/tablefeed"
)

// startRestorable starts a site with four nodes and a configuration of version 2. It returns a
// version of the store from before that configuration, to which tests restore the store.
func startRestorable(t *testing.T) (s *site, nodes []proxiedNode, copied uint64) {
	t.Helper()
	s = newSite(t)
	s.addWorkers()
	s.store.Put("op", "config", configuration(1))
	nodes = s.startProxied(4)
	copied = s.store.Version()
	for range 5 {
		s.store.Put("servers", "portal-1", s.workers["portal-1"].Entry("ready"))
	}
	s.store.Put("op", "config", configuration(2))
	s.awaitVersion(nodes, 2)
	return s, nodes, copied
}

func (s *site) awaitVersion(nodes []proxiedNode, version int) {
	s.t.Helper()
	for i, node := range nodes {
		s.await(fmt.Sprintf("node %d has version %d", i, version), func() bool { return node.RoutesVersion() == uint64(version) })
	}
}

func TestConfigurationsAreTakenFromARestoredStore(t *testing.T) {
	s, nodes, copied := startRestorable(t)
	s.store.Restore(copied)
	s.store.Put("op", "config", configuration(2))
	s.store.Put("op", "config", configuration(3))
	s.awaitVersion(nodes, 3)
}

// TestRestoredStoreIsNoContinuation: nodes recognize a restored store although its version
// numbers have already passed the lost ones.
func TestRestoredStoreIsNoContinuation(t *testing.T) {
	s, nodes, copied := startRestorable(t)
	lost := s.store.Version()
	for _, node := range nodes {
		node.store.SetMode(soak.Reset)
	}
	s.store.Restore(copied)
	s.store.Put("op", "config", configuration(3))
	for s.store.Version() <= lost {
		s.store.Put("servers", "portal-1", s.workers["portal-1"].Entry("ready"))
	}
	for _, node := range nodes {
		node.store.SetMode(soak.Pass)
	}
	s.awaitVersion(nodes, 3)
}

func TestLeavingWorkerIsKnownFromARestoredStore(t *testing.T) {
	s, nodes, copied := startRestorable(t)
	s.store.Restore(copied)
	s.store.Put("servers", "write-1", s.workers["write-1"].Entry("draining"))
	for i, node := range nodes {
		s.await(fmt.Sprintf("node %d knows that the worker leaves", i), func() bool { return node.Draining() == 1 })
	}
}

// restore restores the store and waits until all nodes follow it.
func (s *site) restore(nodes []proxiedNode, copied uint64) {
	s.t.Helper()
	s.store.Restore(copied)
	version := s.store.Put("op", "marker", 1)
	for i, node := range nodes {
		s.await(fmt.Sprintf("node %d follows the restored store", i), func() bool {
			return node.ConfigurationVersion() >= tablefeed.VersionOf(s.store.Era(), version)
		})
	}
}

func TestNodeThatStartsTakesNothingOlderFromARestoredStore(t *testing.T) {
	s, nodes, copied := startRestorable(t)
	s.restore(nodes, copied)
	for i := range nodes {
		node, _ := s.startNode(fmt.Sprint("late-", i), inZone([]string{"a", "b"}[i%2]))
		s.await("the node has a configuration", func() bool { return node.RoutesVersion() != 0 })
		if version := node.RoutesVersion(); version != 2 {
			t.Errorf("node late-%d starts with version %d", i, version)
		}
	}
}

func TestRestoredEntryOfALeavingWorkerBringsItNothing(t *testing.T) {
	s, nodes, copied := startRestorable(t)
	s.store.Put("servers", "write-1", s.workers["write-1"].Entry("draining"))
	for i, node := range nodes {
		s.await(fmt.Sprintf("node %d knows that the worker leaves", i), func() bool { return node.Draining() == 1 })
	}
	s.restore(nodes, copied)
	s.addWorker(fleetworker.Options{ID: "portal-3", Service: portal, Events: 1})
	for i, node := range nodes {
		s.await(fmt.Sprintf("node %d has read the restored list", i), func() bool { return node.Workers() == len(s.workers) })
		if node.Draining() != 1 {
			t.Errorf("node %d uses the worker again", i)
		}
	}
}

func TestNodesAreListedAgainAfterARestore(t *testing.T) {
	s, nodes, _ := startRestorable(t)
	s.store.Restore(0)
	s.await("all nodes are listed again", func() bool { return len(s.store.Rows("nodes")) == len(nodes) })
}
