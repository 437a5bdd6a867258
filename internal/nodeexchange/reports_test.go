package nodeexchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/worker"
)

// TestPresenceTimeoutFollowsTheReportInterval checks that a node counts as present although one
// of its reports is lost: in a large fleet the nodes report only every few seconds. It also
// checks that a supervisor gets a bounded number of reports.
func TestPresenceTimeoutFollowsTheReportInterval(t *testing.T) {
	for _, nodes := range []int{10, 240, 985, 2000} {
		supervisor := supervisorSet(t, nodes)
		every := reportInterval(nodes)
		const rounding = 1
		if time.Duration(nodes)*periodicInterval > fullRateFleet*(every+rounding) {
			t.Errorf("%d nodes report every %v: a supervisor gets more messages than from %d nodes", nodes, every, fullRateFleet)
		}
		for i := range nodes {
			supervisor.recordMessage(addressOf(i), Message{Node: fmt.Sprint("n", i), Sequence: 1}, origin)
		}
		lost := supervisor.markSilent(origin.Add(2*every + time.Millisecond))
		for _, other := range supervisor.supervisors() {
			// Supervisors report to each other more often.
			if known, exists := supervisor.peers[other]; exists {
				delete(lost, known.node)
			}
		}
		if len(lost) > 0 {
			t.Errorf("%d nodes: %d count as lost after one missing report", nodes, len(lost))
		}
	}
}

// TestSupervisorsReportToEachOtherPeriodically checks that supervisors report to each other
// equally often in a fleet of any size, since another one must take over soon if one is lost.
func TestSupervisorsReportToEachOtherPeriodically(t *testing.T) {
	exchange := largeExchange(t)
	supervisors := exchange.peers.others(exchange.peers.supervisors())
	for range 2 {
		parcels := exchange.workersByRecipient(worker.Snapshot{}, true, false)
		if len(parcels) != len(supervisors) {
			t.Fatalf("%d nodes get a periodic message, want the %d other supervisors", len(parcels), len(supervisors))
		}
	}
	if life := exchange.peers.presenceTimeout(supervisors[0]); life != peerTimeout {
		t.Errorf("a silent supervisor counts as present for %v", life)
	}
}

// TestHomesGetPeriodicMessages checks that homes get periodic messages about load: a load that
// isn't repeated within a second is taken to have ended.
func TestHomesGetPeriodicMessages(t *testing.T) {
	exchange := largeExchange(t)
	snapshot := worker.Snapshot{Loads: map[string]worker.Load{"w7": {Requests: 1}}}
	parcels := exchange.workersByRecipient(snapshot, true, false)
	for _, home := range exchange.peers.others(exchange.peers.homes("w7")) {
		if _, told := parcels[home]; !told {
			t.Errorf("home %v gets no message", home)
		}
	}
}

// supervisorSet returns the peer set of a supervisor of a fleet.
func supervisorSet(t *testing.T, nodes int) *peerSet {
	t.Helper()
	var listed []Peer
	for i := range nodes {
		listed = append(listed, Peer{Node: fmt.Sprint("n", i), Address: addressOf(i), Zone: fmt.Sprint("zone", i%5)})
	}
	any := newPeerSet("any", self, "zone0")
	any.addFullList(listed)
	for _, node := range listed {
		if !slices.Contains(any.supervisors(), node.Address) {
			continue
		}
		set := newPeerSet(node.Node, node.Address, node.Zone)
		if set.addFullList(listed); set.supervises() {
			return set
		}
	}
	t.Fatal("no node is a supervisor")
	return nil
}

// largeExchange returns the exchange of a supervisor in a fleet of 985 nodes.
func largeExchange(t *testing.T) *Exchange {
	t.Helper()
	exchange, err := Listen("127.0.0.1:0", "me", "zone0", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = exchange.conn.Close() })
	exchange.peers = supervisorSet(t, 985)
	return exchange
}
