package nodeexchange

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// listedFleet returns the nodes of a fleet in five zones, each in the state in which it has
// just read the rows of its zone: those of nodes that wrote theirs before it.
func listedFleet(nodes int) []*peerSet {
	var sets []*peerSet
	for i := range nodes {
		set := newPeerSet(fmt.Sprint("n", i), addressOf(i), fmt.Sprint("zone", i%5))
		var listed []Peer
		for j := i % 5; j <= i; j += 5 {
			listed = append(listed, Peer{Node: fmt.Sprint("n", j), Address: addressOf(j), Zone: set.zone, Listed: uint64(j + 1)})
		}
		set.addListed(listed)
		sets = append(sets, set)
	}
	return sets
}

// TestTableSourcesFormATree checks for fleets of several sizes that two nodes of each zone read
// tables from the store, that each node passes copies to a few others at most, and that the
// tree is shallow.
func TestTableSourcesFormATree(t *testing.T) {
	for nodes, deepest := range map[int]int{10: 0, 30: 1, 100: 3, 300: 3, 985: 4, 2000: 5} {
		reading, children := 0, make(map[netip.AddrPort]int)
		depths := make(map[netip.AddrPort]int)
		for _, set := range listedFleet(nodes) {
			asked := set.tableSources()
			if len(asked) == 0 {
				reading++
				continue
			}
			children[asked[0]]++
			depths[set.address] = depths[asked[0]] + 1
			if depths[set.address] > deepest {
				t.Fatalf("%d nodes: a node is at depth %d, want %d at most", nodes, depths[set.address], deepest)
			}
		}
		if want := 5 * sourcesPerZone; reading != min(want, nodes) {
			t.Errorf("%d nodes: %d read from the store, want %d", nodes, reading, want)
		}
		for address, count := range children {
			if count > tableFanOut {
				t.Errorf("%d nodes: %v passes copies to %d others", nodes, address, count)
			}
		}
	}
}

// TestUnlistedNodeAsksListedOnes checks that a node whose own row isn't in the list yet asks
// nodes of its zone that are.
func TestUnlistedNodeAsksListedOnes(t *testing.T) {
	set := newPeerSet("new", self, "zone0")
	for _, known := range listedFleet(40) {
		set.addListed([]Peer{{Node: known.self, Address: known.address, Zone: known.zone, Listed: 1 + uint64(len(set.peers))}})
	}
	asked := set.tableSources()
	if len(asked) == 0 || set.peers[asked[0]].zone != "zone0" {
		t.Errorf("asked: %v", asked)
	}
	if set.listed {
		t.Error("the nodes of a zone count as the whole list")
	}
}

// TestGiversWaitsForTheZoneList checks that TableProviders waits until the list of the zone has
// been read.
func TestGiversWaitsForTheZoneList(t *testing.T) {
	exchange, err := Listen("127.0.0.1:0", "me", "zone0", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan []netip.AddrPort)
	go func() { answered <- exchange.TableProviders(context.Background()) }()
	var listed []Peer
	for i := range 6 {
		listed = append(listed, Peer{Node: fmt.Sprint("n", i), Address: addressOf(i), Zone: "zone0", Listed: uint64(i + 1)})
	}
	exchange.AddZonePeers(listed)
	if asked := <-answered; len(asked) == 0 || asked[0] != addressOf(1) {
		t.Errorf("asked: %v", asked)
	}
}

// TestLargeFleetIsNotGreeted checks that in a large fleet a node greets only nodes of a build
// that doesn't follow the list.
func TestLargeFleetIsNotGreeted(t *testing.T) {
	for nodes, want := range map[int]int{20: 19, 100: 0, 985: 0} {
		if greeted := len(fleetOf(nodes)[0].greetTargets(time.Now())); greeted != want {
			t.Errorf("%d nodes: %d are greeted, want %d", nodes, greeted, want)
		}
	}
	set := fleetOf(100)[0]
	set.addListed([]Peer{{Node: "before", Address: self, Zone: "zone0", Unaware: true}})
	if greeted := set.greetTargets(time.Now()); len(greeted) != 1 || greeted[0] != self {
		t.Errorf("greeted: %v", greeted)
	}
}

// TestLateMessageDoesNotReAddAWithdrawnNode checks that messages which a withdrawn node sends
// while it shuts down don't add it again. Another process at its address, or a new row, does.
func TestLateMessageDoesNotReAddAWithdrawnNode(t *testing.T) {
	exchange, err := Listen("127.0.0.1:0", "me", "zone0", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	node := Peer{Node: "n", Address: there, Zone: "zone0", Listed: 3}
	exchange.AddPeers([]Peer{node})
	exchange.WithdrawPeers([]netip.AddrPort{there})
	exchange.peers.recordMessage(there, Message{Node: "n", Sequence: 7}, origin)
	if exchange.Nodes() != 1 {
		t.Error("a late message added a withdrawn node again")
	}
	exchange.peers.recordMessage(there, Message{Node: "next", Sequence: 1}, origin)
	if exchange.Nodes() != 2 {
		t.Error("a new process at the same address isn't known")
	}
	exchange.WithdrawPeers([]netip.AddrPort{there})
	exchange.AddPeers([]Peer{node})
	if exchange.peers.recordMessage(there, Message{Node: "n", Sequence: 8}, origin); exchange.Nodes() != 2 {
		t.Error("a node that is listed again isn't known")
	}
}

// TestReplacePeersRemovesUnlistedOnes checks that ReplacePeers removes the listed peers that
// the new list lacks, except those that were heard recently.
func TestReplacePeersRemovesUnlistedOnes(t *testing.T) {
	exchange, err := Listen("127.0.0.1:0", "me", "zone0", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	var listed []Peer
	for i := range 4 {
		listed = append(listed, Peer{Node: fmt.Sprint("n", i), Address: addressOf(i), Zone: "zone0", Listed: uint64(i + 1)})
	}
	now := time.Now()
	exchange.AddPeers(listed)
	exchange.peers.recordMessage(addressOf(1), Message{Node: "n1", Sequence: 1}, now)
	exchange.peers.recordMessage(there, Message{Node: "unlisted", Sequence: 1}, now)
	exchange.ReplacePeers(listed[:1], now)
	for address, want := range map[netip.AddrPort]bool{addressOf(0): true, addressOf(1): true, addressOf(2): false, addressOf(3): false, there: true} {
		if _, known := exchange.peers.peers[address]; known != want {
			t.Errorf("%v is known: %v, want %v", address, known, want)
		}
	}
}

// TestNodeThatStartsAgainWithoutTheStoreHearsTheOthers guards against a node that starts again
// at its address while the store is unreachable, hears nobody and grants quotas alone.
func TestNodeThatStartsAgainWithoutTheStoreHearsTheOthers(t *testing.T) {
	f := newUsageFleet(t)
	f.start("a")
	f.start("b")
	leaving := f.start("c")
	f.awaitPresent(leaving, 2)
	f.end("c")
	again, err := Listen(leaving.peers.address.String(), "c again", "zone", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go again.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-again.Done()
	})
	f.awaitPresent(&usageNode{Exchange: again}, 2)
}
