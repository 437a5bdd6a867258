package nodeexchange

import (
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/usage"
)

// TestRecordsOutliveAFastRestartOfAllNodes guards against records that are lost because each node
// is stopped as soon as the one before is ready again, though that one doesn't know them yet.
func TestRecordsOutliveAFastRestartOfAllNodes(t *testing.T) {
	f := newUsageFleet(t)
	want := recordedWindows(20, 3)
	f.start("a").collector.MergeRecorded(want)
	for replaced, name := range []string{"b", "c", "d"} {
		node := f.start(name)
		waitUntil(t, name+" is informed", func() bool { return node.Informed(time.Now()) })
		f.end([]string{"a", "b", "c"}[replaced])
	}
	f.awaitRecorded("d", want)
}

// TestEarlierBuildIsToldItsRecordsAgain guards against a node of an earlier build that records
// windows anew, since the only node of that build that knew them was stopped once this one was
// ready.
func TestEarlierBuildIsToldItsRecordsAgain(t *testing.T) {
	f := newUsageFleet(t)
	now := usage.WindowLength(usageTestWindow).WindowAt(time.Now())
	want := map[usage.Window]usage.Counts{now - 2: {"tenant": 3}, now - 3: {"tenant": 4}}
	earlier := startEarlierNode(t, "0123456789ab", want)
	f.listed = append(f.listed, Peer{Node: earlier.node, Address: connAddress(earlier.conn), Zone: "zone"})
	node := f.start(NewIncarnation())
	waitUntil(t, "the node is informed", func() bool { return node.Informed(time.Now()) })
	earlier.close()
	again := startEarlierNode(t, "ba9876543210", nil)
	again.send(node.peers.address, Message{Node: again.node, Sequence: 1, Zone: "zone"})
	waitUntil(t, "the node of the earlier build has its records again", func() bool { return again.knows(want) })
}

// TestRecordsToldByAnEarlierBuildAreNotReported guards against a window that is reported with what
// an earlier build recorded anew and told this one.
func TestRecordsToldByAnEarlierBuildAreNotReported(t *testing.T) {
	f := newUsageFleet(t)
	node := f.start(NewIncarnation())
	node.receiveGathered(node.peers.address, "0123456789ab", wireGathered{Recorded: map[usage.Window]usage.Counts{1000: {"tenant": 3}}})
	if known := node.collector.Recorded(0); len(known) > 0 {
		t.Errorf("a node that has just started would record %v again and report it", known)
	}
}

// TestNodeWithoutOthersIsInformedAtOnce guards against a first node that waits for nobody.
func TestNodeWithoutOthersIsInformedAtOnce(t *testing.T) {
	f := newUsageFleet(t)
	if node := f.start("a"); !node.Informed(time.Now()) {
		t.Error("the only node of the list waits for others")
	}
}

// TestNodeThatKeepsNothingIsInformedAtOnce guards against nodes of a large fleet that wait for
// messages which only supervisors get.
func TestNodeThatKeepsNothingIsInformedAtOnce(t *testing.T) {
	f := newUsageFleet(t)
	supervisors, others := f.startLarge()
	for _, name := range others {
		if node := f.nodes[name]; !node.Informed(node.started.Add(time.Millisecond)) {
			t.Fatalf("%s waits, though it isn't a supervisor", name)
		}
	}
	if node := f.nodes[supervisors[0]]; node.Informed(node.started.Add(time.Millisecond)) {
		t.Error("a supervisor doesn't wait for the records of the others")
	}
}

// TestNodeThatHearsNobodyIsInformedInTheEnd guards against a node that is never ready, since the
// nodes that the store lists are dead.
func TestNodeThatHearsNobodyIsInformedInTheEnd(t *testing.T) {
	f := newUsageFleet(t)
	f.listed = append(f.listed, Peer{Node: "dead", Address: connAddress(silentNode(t)), Zone: "zone"})
	node := f.start("a")
	if node.Informed(node.started.Add(maxInformTime - time.Millisecond)) {
		t.Error("it doesn't wait for a node that is listed")
	}
	if !node.Informed(node.started.Add(maxInformTime)) {
		t.Error("it waits forever")
	}
}

// earlierNode behaves as a supervisor of a build without histories: it sends load messages
// without the state of its records, passes over messages about records, and tells the records
// that it has when it is asked in that build's form.
type earlierNode struct {
	node string
	conn *net.UDPConn
	done chan struct{}

	mu       sync.Mutex
	recorded map[usage.Window]usage.Counts
}

// knows reports whether the node has records.
func (n *earlierNode) knows(want map[usage.Window]usage.Counts) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for window, counts := range want {
		if !maps.Equal(n.recorded[window], counts) {
			return false
		}
	}
	return true
}

func startEarlierNode(t *testing.T, name string, recorded map[usage.Window]usage.Counts) *earlierNode {
	t.Helper()
	node := &earlierNode{node: name, conn: silentNode(t), recorded: make(map[usage.Window]usage.Counts), done: make(chan struct{})}
	maps.Copy(node.recorded, recorded)
	go node.run()
	return node
}

func (n *earlierNode) close() {
	_ = n.conn.Close()
	<-n.done
}

func (n *earlierNode) run() {
	defer close(n.done)
	buffer := make([]byte, maxDatagram)
	for sequence := uint64(1); ; {
		count, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message, err := decode(buffer[:count])
		if err != nil {
			continue
		}
		n.mu.Lock()
		switch {
		case message.Gathered != nil:
			maps.Copy(n.recorded, message.Gathered.Recorded)
		case message.WantUsage != 0:
			for window, counts := range n.recorded {
				if window > message.WantUsage {
					n.send(from, Message{Node: n.node, Gathered: &wireGathered{Recorded: map[usage.Window]usage.Counts{window: counts}}})
				}
			}
		case message.Sequence != 0:
			n.send(from, Message{Node: n.node, Sequence: sequence, Zone: "zone"})
			sequence++
		}
		n.mu.Unlock()
	}
}

func (n *earlierNode) send(to netip.AddrPort, message Message) {
	datagram, _ := json.Marshal(message) // these fields can always be encoded
	_, _ = n.conn.WriteToUDPAddrPort(datagram, to)
}
