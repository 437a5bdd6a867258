package nodeexchange

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/quarantine"
)

// quarantineNode is an exchange with its quarantine manager.
type quarantineNode struct {
	*Exchange
	keeper *quarantine.Manager
}

// quarantineNodes runs exchanges that know each other and have quarantine managers.
func quarantineNodes(t *testing.T, count int) []quarantineNode {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var nodes []quarantineNode
	for range count {
		nodes = append(nodes, newQuarantineNode(t, fmt.Sprint("n", len(nodes))))
	}
	for _, node := range nodes {
		node.AddPeers(listOf(nodes))
		go node.Run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, node := range nodes {
			<-node.Done()
		}
	})
	return nodes
}

func newQuarantineNode(t *testing.T, name string) quarantineNode {
	t.Helper()
	exchange, err := Listen("127.0.0.1:0", name, "zone", newRegistry(), quiet())
	if err != nil {
		t.Fatal(err)
	}
	keeper := quarantine.NewManager(exchange.ChosenForTrial, quiet())
	exchange.SetQuarantine(keeper)
	return quarantineNode{exchange, keeper}
}

func listOf(nodes []quarantineNode) []Peer {
	var listed []Peer
	for _, node := range nodes {
		listed = append(listed, Peer{Node: node.node, Address: node.peers.address, Zone: "zone"})
	}
	return listed
}

// supervises reports whether a node is a supervisor.
func (n quarantineNode) supervises() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.supervises()
}

var poison = quarantine.Content{Target: "/poison"}.Fingerprint()

// crash lets a node see a worker end during the poison request.
func (n quarantineNode) crash(worker string) {
	n.keeper.Crashed(map[quarantine.Fingerprint]quarantine.Crash{poison: {Worker: worker, Address: "at " + worker}}, time.Now())
}

// awaitQuarantine waits until a node has quarantined the poison request.
func (n quarantineNode) awaitQuarantine(t *testing.T) {
	t.Helper()
	const patience = 20 * time.Second
	for end := time.Now().Add(patience); !n.keeper.Check(poison, time.Now()).Quarantined; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("node %s doesn't know of the quarantine after %v", n.node, patience)
		}
	}
}

// TestCrashesSeenByDifferentNodesAddUp checks that crashes seen by different nodes lead to a
// quarantine on all nodes, in a fleet in which all are supervisors and in one in which few are.
func TestCrashesSeenByDifferentNodesAddUp(t *testing.T) {
	for _, count := range []int{3, 40} {
		nodes := quarantineNodes(t, count)
		var seeing []quarantineNode
		for _, node := range nodes {
			if count == 3 || !node.supervises() {
				seeing = append(seeing, node)
			}
		}
		if len(seeing) < 3 {
			t.Fatalf("of %d nodes only %d are no supervisors", count, len(seeing))
		}
		for i, node := range seeing[:3] {
			node.crash(fmt.Sprint("w", i))
		}
		for _, node := range nodes {
			node.awaitQuarantine(t)
		}
	}
}

// TestCrashesOfAPartSeenByDifferentNodesAddUp checks that all nodes refuse a part after crashes that
// different nodes saw, each under another request, in fleets in which all are supervisors and in
// one in which few are.
func TestCrashesOfAPartSeenByDifferentNodesAddUp(t *testing.T) {
	const crashes, patience = 5, 20 * time.Second
	part := quarantine.PartFingerprint(7)
	for _, count := range []int{3, 24, 40} {
		nodes := quarantineNodes(t, count)
		for number := range crashes {
			crash := quarantine.Crash{Worker: fmt.Sprint("w", number), Address: fmt.Sprint("at ", number)}
			request := quarantine.Content{Target: fmt.Sprint(number)}.Fingerprint()
			nodes[number*7%len(nodes)].keeper.Crashed(map[quarantine.Fingerprint]quarantine.Crash{request: crash, part: crash}, time.Now())
			time.Sleep(110 * time.Millisecond) // crashes in one burst count as one
		}
		begun := time.Now()
		for at, node := range nodes {
			for !node.keeper.Status(poison, time.Now(), part).Quarantined {
				if time.Since(begun) > patience {
					t.Fatalf("of %d nodes, number %d lets the part through %v after the last crash", count, at, patience)
				}
				time.Sleep(time.Millisecond)
			}
		}
		t.Logf("%d nodes refuse the part after %v", count, time.Since(begun).Round(time.Millisecond))
	}
}

// TestNewNodeGetsSharedSuspects checks that a node that is heard for the first time gets the
// records that all nodes must know.
func TestNewNodeGetsSharedSuspects(t *testing.T) {
	nodes := quarantineNodes(t, 3)
	for i, node := range nodes {
		node.crash(fmt.Sprint("w", i))
	}
	for _, node := range nodes {
		node.awaitQuarantine(t)
	}
	time.Sleep(time.Second) // until the messages about changes have been sent
	added := newQuarantineNode(t, "added")
	ctx, cancel := context.WithCancel(context.Background())
	added.AddPeers(listOf(nodes))
	go added.Run(ctx)
	added.awaitQuarantine(t)
	cancel()
	<-added.Done()
}

// TestMessagesWithPartsAreNoLoadMessages checks that a build that doesn't know parts doesn't take
// a message with them for a load message, which would replace the loads that it knows.
func TestMessagesWithPartsAreNoLoadMessages(t *testing.T) {
	part := quarantine.PartFingerprint(7)
	node := newQuarantineNode(t, "a")
	messages := node.suspectMessages([]quarantine.Record{
		{Fingerprint: part, Crashes: []quarantine.Crash{{Worker: "w"}}}, {Fingerprint: poison, Crashes: []quarantine.Crash{{Worker: "w"}}},
	})
	if len(messages) != 2 {
		t.Fatalf("%d messages, want one for requests and one for parts", len(messages))
	}
	for _, message := range messages {
		datagram, err := json.Marshal(message)
		read, readErr := decode(datagram)
		if err != nil || readErr != nil || len(read.Suspects) != 1 {
			t.Errorf("%s is read with %d suspects, %v, %v", datagram, len(read.Suspects), err, readErr)
		}
		for _, record := range read.Suspects {
			if record.Fingerprint.IsPart() {
				t.Errorf("%v stands where builds that don't know parts look for requests", record.Fingerprint)
			}
		}
	}
}

// TestSuspectsFitDatagrams checks that the suspects of a worker that ended with many running
// requests fit in datagrams, even with many crashes each.
func TestSuspectsFitDatagrams(t *testing.T) {
	var records []quarantine.Record
	for number := range 128 {
		record := quarantine.Record{Fingerprint: quarantine.Content{Target: fmt.Sprint(number)}.Fingerprint(), Quarantined: true}
		for crash := range 1 + number%16 {
			record.Crashes = append(record.Crashes, quarantine.Crash{
				Worker: fmt.Sprint("i-0123456789abcdef", crash), Address: "100.100.100.100:65535", Answering: true, Cleared: true,
			})
		}
		records = append(records, record)
	}
	told := 0
	for _, part := range splitRecords(records) {
		datagram, err := json.Marshal(Message{Node: "0123456789ab", Sequence: 1 << 40, Suspects: part, Relayed: true, RelayInRegion: true})
		if err != nil || len(datagram) > maxDatagram {
			t.Errorf("%d records take %d bytes, %v", len(part), len(datagram), err)
		}
		told += len(part)
	}
	if told != len(records) {
		t.Errorf("%d of %d records are sent", told, len(records))
	}
}
