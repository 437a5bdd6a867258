package nodeexchange

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/usage"
)

// usageFleet is a fleet of nodes that count usage.
type usageFleet struct {
	t      *testing.T
	nodes  map[string]*usageNode
	listed []Peer
}

type usageNode struct {
	*Exchange
	collector *usage.Collector
	stop      context.CancelFunc
}

func newUsageFleet(t *testing.T) *usageFleet {
	f := &usageFleet{t: t, nodes: make(map[string]*usageNode)}
	t.Cleanup(func() {
		for _, name := range slices.Collect(maps.Keys(f.nodes)) {
			f.end(name)
		}
	})
	return f
}

// start starts a node that reads in the store's list of nodes which others were started before.
func (f *usageFleet) start(name string) *usageNode {
	f.t.Helper()
	exchange, err := Listen("127.0.0.1:0", name, "zone", newRegistry("w"), quiet())
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	node := &usageNode{Exchange: exchange, collector: usage.NewCollector(), stop: stop}
	exchange.SetUsage(usage.NewTally(usageTestWindow), node.collector)
	f.listed = append(f.listed, Peer{Node: name, Address: exchange.peers.address, Zone: "zone"})
	exchange.AddPeers(f.listed)
	go exchange.Run(ctx)
	f.nodes[name] = node
	return node
}

const usageTestWindow = 5 * time.Second

// end ends a node as planned.
func (f *usageFleet) end(name string) {
	f.nodes[name].stop()
	<-f.nodes[name].Done()
	f.listed = slices.DeleteFunc(f.listed, func(listed Peer) bool { return listed.Node == name })
	delete(f.nodes, name)
}

// awaitRecorded waits until a node knows recorded windows.
func (f *usageFleet) awaitRecorded(name string, want map[usage.Window]usage.Counts) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		got := f.nodes[name].collector.Recorded(0)
		if maps.EqualFunc(got, want, maps.Equal) {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("node %s doesn't know what was recorded: %s", name, cmp.Diff(want, got))
		}
	}
}

// recordedWindows returns windows that were recorded with counts of some tenants.
func recordedWindows(count, tenants int) map[usage.Window]usage.Counts {
	recorded := make(map[usage.Window]usage.Counts)
	for number := range count {
		counts := make(usage.Counts)
		for tenant := range tenants {
			counts[fmt.Sprint("tenant-", tenant)] = number + tenant
		}
		recorded[usage.Window(1000+number)] = counts
	}
	return recorded
}

// TestRecordsOutliveARestartOfAllNodes guards against records that only the nodes knew that were
// there when the windows were recorded: all nodes are replaced one after the other.
func TestRecordsOutliveARestartOfAllNodes(t *testing.T) {
	f := newUsageFleet(t)
	want := recordedWindows(20, 3)
	f.start("a").collector.MergeRecorded(want)
	for replaced, name := range []string{"b", "c", "d"} {
		f.start(name)
		f.awaitRecorded(name, want)
		f.end([]string{"a", "b", "c"}[replaced])
	}
}

// startLarge starts so many nodes that only a part of them are supervisors, and returns the names
// of the supervisors and of the others.
func (f *usageFleet) startLarge() (supervisors, others []string) {
	f.t.Helper()
	const nodes = 45 // supervisors are a quarter of them at most
	for number := range nodes {
		f.start(fmt.Sprint("n", number))
	}
	for name, node := range f.nodes {
		node.AddPeers(f.listed)
		node.mu.Lock()
		supervises := node.peers.supervises()
		node.mu.Unlock()
		if supervises {
			supervisors = append(supervisors, name)
		} else {
			others = append(others, name)
		}
	}
	return supervisors, others
}

// TestFormerSupervisorPassesOnWhatWasRecorded guards against records that only a node knows that
// is no longer a supervisor, so that no supervisor asks it.
func TestFormerSupervisorPassesOnWhatWasRecorded(t *testing.T) {
	f := newUsageFleet(t)
	supervisors, others := f.startLarge()
	want := recordedWindows(2, 3)
	f.nodes[others[0]].collector.MergeRecorded(want)
	for _, name := range supervisors {
		f.awaitRecorded(name, want)
	}
}

// TestOnlySupervisorsConfirmRecords guards against reports that wait for nodes that are told of no
// records, since they aren't supervisors.
func TestOnlySupervisorsConfirmRecords(t *testing.T) {
	f := newUsageFleet(t)
	supervisors, _ := f.startLarge()
	reporter := f.nodes[supervisors[0]]
	f.awaitPresent(reporter, len(supervisors)-1)
	want := recordedWindows(2, 3)
	reporter.collector.MergeRecorded(want)
	reporter.TellRecorded(want)
	for _, name := range supervisors {
		f.awaitRecorded(name, want)
	}
	// Nodes that knew only a part of the others at first may have taken themselves for
	// supervisors.
	for end := time.Now().Add(20 * time.Second); len(reporter.Lacking(1000)) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waits for the confirmation of %v", reporter.Lacking(1000))
		}
	}
}

// TestRecordOfManyTenantsReachesTheOtherSupervisors guards against records that are told to
// nobody because they don't fit in one message.
func TestRecordOfManyTenantsReachesTheOtherSupervisors(t *testing.T) {
	f := newUsageFleet(t)
	reporter := f.start("a")
	f.start("b")
	want := recordedWindows(3, 4000) // as many tenants as fit in a row of the store
	reporter.collector.MergeRecorded(want)
	reporter.TellRecorded(want)
	f.awaitRecorded("b", want)
}

// TestAnswerOfASupervisorIsComplete checks that a supervisor counts as one that has answered
// once all its counts and records have arrived.
func TestAnswerOfASupervisorIsComplete(t *testing.T) {
	f := newUsageFleet(t)
	reporter, other := f.start("a"), f.start("b")
	want := recordedWindows(20, 3)
	window := usage.Window(1030)
	var entries []usage.Entry
	for tenant := range 1000 {
		entries = append(entries, usage.Entry{Window: window, Tenant: fmt.Sprint("tenant-", tenant), Count: 1})
	}
	f.awaitPresent(reporter, 1)
	other.collector.MergeEntries("c", entries)
	other.collector.MergeRecorded(want)
	reporter.GatherUsage(window - 1)
	for end := time.Now().Add(20 * time.Second); len(reporter.Unanswered()) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no complete answer")
		}
	}
	if got := reporter.collector.Total(window); len(got) != len(entries) {
		t.Errorf("counts of %d tenants have arrived, want %d", len(got), len(entries))
	}
	if got := reporter.collector.Recorded(0); !maps.EqualFunc(got, want, maps.Equal) {
		t.Error(cmp.Diff(want, got))
	}
}

// TestPausedSupervisorHasNotAnswered checks that a supervisor that was heard and doesn't answer
// is told apart from one that has nothing to tell.
func TestPausedSupervisorHasNotAnswered(t *testing.T) {
	f := newUsageFleet(t)
	reporter := f.start("a")
	paused := silentNode(t)
	reporter.handle(connAddress(paused), Message{Node: "paused", Sequence: 1, Zone: "zone"})
	reporter.handle(connAddress(paused), Message{Node: "paused", Records: &recordsMessage{Question: &recordsQuestion{ID: 1}}})
	reporter.GatherUsage(0)
	if got := reporter.Unanswered(); !slices.Equal(got, []string{"paused"}) {
		t.Errorf("unanswered: %v", got)
	}
}

// awaitPresent waits until a node has heard this many others.
func (f *usageFleet) awaitPresent(node *usageNode, others int) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		node.mu.Lock()
		present := len(node.peers.presentSupervisors())
		node.mu.Unlock()
		if present >= others {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("node %s has heard %d others, want %d", node.node, present, others)
		}
	}
}

// TestRecordCountsAsHeldOnceItIsConfirmed checks that only a supervisor that has a record
// completely isn't among those that lack it.
func TestRecordCountsAsHeldOnceItIsConfirmed(t *testing.T) {
	f := newUsageFleet(t)
	reporter := f.start("a")
	f.start("b")
	paused := silentNode(t)
	f.awaitPresent(reporter, 1)
	reporter.handle(connAddress(paused), Message{Node: "paused", Sequence: 1, Zone: "zone"})
	reporter.handle(connAddress(paused), Message{Node: "paused", Records: &recordsMessage{Question: &recordsQuestion{ID: 1}}})
	want := recordedWindows(1, 1000)
	reporter.collector.MergeRecorded(want)
	reporter.TellRecorded(want)
	f.awaitRecorded("b", want)
	for end := time.Now().Add(20 * time.Second); !slices.Equal(reporter.Lacking(1000), []string{"paused"}); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("lacking the record: %v", reporter.Lacking(1000))
		}
		reporter.handle(connAddress(paused), Message{Node: "paused", Sequence: reporter.sequenceOf(connAddress(paused)) + 1, Zone: "zone"})
	}
}

// sequenceOf returns the sequence number of the last load message of a node.
func (n *usageNode) sequenceOf(address netip.AddrPort) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.peers[address].sequence
}
