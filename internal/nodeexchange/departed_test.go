package nodeexchange

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// supervisorOf returns what a supervisor of a fleet knows after it has heard all nodes but one
// for some time, and since when it supervises.
func supervisorOf(nodes int, silent netip.AddrPort, span time.Duration) (*peerSet, *silenceMonitor) {
	sets := fleetOf(nodes)
	index := slices.IndexFunc(sets, func(set *peerSet) bool { return set.supervises() && set.address != silent })
	set, w := sets[index], newSilenceMonitor()
	for _, other := range sets {
		if other != set {
			set.recordMessage(other.address, Message{Node: other.self, Sequence: 1}, origin)
		}
	}
	w.check(true, origin)
	for _, other := range sets {
		if other != set && other.address != silent {
			set.recordMessage(other.address, Message{Node: other.self, Sequence: 2}, origin.Add(span))
		}
	}
	set.markSilent(origin.Add(span))
	return set, &w
}

// TestReplacedNodeIsDropped checks that a node is dropped after a long silence and is no home
// of any worker any more.
func TestReplacedNodeIsDropped(t *testing.T) {
	gone := addressOf(3)
	set, w := supervisorOf(60, gone, departedAfter)
	if departed := set.departed(w, origin.Add(departedAfter)); len(departed) != 0 {
		t.Errorf("departed too early: %v", departed)
	}
	later := origin.Add(departedAfter + 1)
	departed := set.departed(w, later)
	if !slices.Equal(departed, []netip.AddrPort{gone}) {
		t.Fatalf("departed: %v", departed)
	}
	if !set.drop(gone, later) || set.nodes() != 59 {
		t.Errorf("%d nodes are left", set.nodes())
	}
	for i := range 100 {
		if slices.Contains(set.homes(fmt.Sprint("w", i)), gone) {
			t.Fatal("a node that is gone is a home")
		}
	}
}

// TestCutOffSupervisorDropsNobody checks that a supervisor that hears less than half of all
// nodes, and so may be cut off itself, drops none of them.
func TestCutOffSupervisorDropsNobody(t *testing.T) {
	set, w := supervisorOf(60, addressOf(3), 0)
	now := origin.Add(2 * departedAfter)
	for i := range 29 {
		set.recordMessage(addressOf(30+i), Message{Node: fmt.Sprint("n", 30+i), Sequence: 3}, now)
	}
	set.markSilent(now)
	if departed := set.departed(w, now); len(departed) != 0 {
		t.Errorf("a node that hears 29 others of 59 drops %d", len(departed))
	}
}

// TestNewSupervisorDropsNobody checks that a node that has just become a supervisor drops no
// node for its silence: most nodes didn't report to it before.
func TestNewSupervisorDropsNobody(t *testing.T) {
	set, w := supervisorOf(60, addressOf(3), 2*departedAfter)
	now := origin.Add(2 * departedAfter)
	w.check(false, now)
	w.check(true, now)
	if departed := set.departed(w, now.Add(departedAfter)); len(departed) != 0 {
		t.Errorf("departed: %v", departed)
	}
}

// TestStoppedSupervisorDropsNobody checks that a supervisor whose process was stopped drops no
// node when it resumes: it has heard only some of the others again.
func TestStoppedSupervisorDropsNobody(t *testing.T) {
	set, w := supervisorOf(60, addressOf(3), 0)
	now := origin.Add(2 * departedAfter)
	for i := range 40 {
		set.recordMessage(addressOf(10+i), Message{Node: fmt.Sprint("n", 10+i), Sequence: 3}, now)
	}
	set.markSilent(now)
	w.check(true, now)
	if departed := set.departed(w, now); len(departed) != 0 {
		t.Errorf("departed: %v", departed)
	}
}

// TestNodeThatIsHeardIsNotDropped checks that a node that was heard recently isn't dropped even
// if another node declares it gone.
func TestNodeThatIsHeardIsNotDropped(t *testing.T) {
	set := newPeerSet("me", self, "zone")
	set.recordMessage(there, Message{Node: "other", Sequence: 1}, origin)
	if set.drop(there, origin.Add(peerTimeout)) {
		t.Error("a node that was heard recently was dropped")
	}
	if !set.drop(there, origin.Add(peerTimeout+1)) {
		t.Error("a node that is silent wasn't dropped")
	}
}

// TestDroppedNodeThatComesBackAnnouncesItself checks over UDP that the other nodes drop a node
// when they are told to, and that they tell it that it isn't listed when they hear it again.
func TestDroppedNodeThatComesBackAnnouncesItself(t *testing.T) {
	exchanges, _ := clusterWithCoordinators(t, []TableCoordinator{nil, nil}, "w")
	cut, err := Listen("127.0.0.1:0", "cut", "zone", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	for _, exchange := range exchanges {
		exchange.AddPeers([]Peer{{Node: "cut", Address: cut.peers.address, Zone: "zone"}})
	}
	exchanges[0].DropPeers([]netip.AddrPort{cut.peers.address}, time.Now())
	if exchanges[0].Nodes() != 2 {
		t.Fatalf("%d nodes", exchanges[0].Nodes())
	}
	end := time.After(20 * time.Second)
	for exchanges[1].Nodes() != 2 {
		select {
		case <-end:
			t.Fatal("the other node hasn't dropped it")
		case <-time.After(5 * time.Millisecond):
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cut.AddPeers([]Peer{{Node: "n0", Address: exchanges[0].peers.address, Zone: "zone"}})
	go cut.Run(ctx)
	select {
	case <-cut.Unlisted():
	case <-end:
		t.Fatal("a node that was dropped doesn't learn that it isn't listed")
	}
}

// listening returns an exchange that processes messages and sends none on its own.
func listening(t *testing.T, node string) *Exchange {
	t.Helper()
	exchange, err := Listen("127.0.0.1:0", node, "zone", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	go exchange.receive()
	t.Cleanup(func() { _ = exchange.conn.Close() })
	return exchange
}

// TestUnlistedNodeIsTold checks that a node whose row was deleted learns of it even if its
// messages don't reach the node that drops it, or if it was heard again in the meantime.
func TestUnlistedNodeIsTold(t *testing.T) {
	for _, heard := range []bool{false, true} {
		supervisor, unlisted := listening(t, "supervisor"), listening(t, "unlisted")
		address, now := unlisted.peers.address, time.Now()
		supervisor.AddPeers([]Peer{{Node: "unlisted", Address: address, Zone: "zone"}})
		if heard {
			supervisor.peers.recordMessage(address, Message{Node: "unlisted", Sequence: 1}, now)
		}
		supervisor.DropPeers([]netip.AddrPort{address}, now)
		select {
		case <-unlisted.Unlisted():
		case <-time.After(20 * time.Second):
			t.Errorf("heard again %v: a node whose row was deleted isn't told", heard)
		}
	}
}

// TestBytesAreCountedByDistance checks the metrics of a message to another region.
func TestBytesAreCountedByDistance(t *testing.T) {
	exchange, err := Listen("127.0.0.1:0", "me", "north-a", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = exchange.conn.Close() }()
	exchange.SetTopology(twoRegions)
	registry := prometheus.NewRegistry()
	exchange.SetMetrics(NewMetrics(registry))
	far := netip.MustParseAddrPort("127.0.0.1:9")
	exchange.AddPeers([]Peer{{Node: "far", Address: far, Zone: "south-a"}})
	exchange.sendTo(far, Message{Node: "me", Departed: []netip.AddrPort{self}})
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	figures := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			key := family.GetName()
			for _, label := range metric.GetLabel() {
				key += " " + label.GetValue()
			}
			figures[key] = metric.GetCounter().GetValue()
		}
	}
	if len(figures) != 2 || figures["tinarch_exchange_messages_total departed far"] != 1 || figures["tinarch_exchange_bytes_total departed far"] < 20 {
		t.Errorf("%v", figures)
	}
}
