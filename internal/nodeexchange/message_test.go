package nodeexchange

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/latency"
	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/topology"
	"github.com/tinarch/tinarch/internal/worker"
)

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newRegistry(workers ...string) *worker.Registry {
	registry := worker.NewRegistry(topology.New("a", nil))
	var listed []worker.Worker
	for _, id := range workers {
		listed = append(listed, worker.Worker{ID: id, Service: "s", Stage: worker.Decode})
	}
	registry.Replace(listed)
	return registry
}

func TestSnapshotSurvivesEncoding(t *testing.T) {
	snapshot := worker.Snapshot{
		Loads:        map[string]worker.Load{"w": {Requests: 1, Unread: worker.UnreadTokens{0, 2}, MemoryTokens: 3}},
		CacheUpdates: []worker.CacheUpdate{{Worker: "w", Parts: []prefixcache.Part{{ID: 0xabc, Tokens: 10}, {ID: 1 << 63, Tokens: 0}}}},
		// A cache update without tokens is possible too.
		Failures: []string{"w", "x"},
		Demand:   map[string]worker.Demand{"s": {ReadTokens: 900, Requests: 1.25, MemoryTokens: 70}},
		RegionDemand: map[string]map[string]worker.Demand{
			"north": {"s": {ReadTokens: 4, SharedTokens: 3, SharedUnread: 2}}, "south": {"s": {Requests: 0.5}, "t": {MemoryTokens: 6}},
		},
	}
	datagram, err := json.Marshal(newMessage(Message{Node: "n", Sequence: 7}, snapshot))
	if err != nil {
		t.Fatal(err)
	}
	message, err := decode(datagram)
	if err != nil {
		t.Fatal(err)
	}
	got, err := message.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(snapshot, got); diff != "" || message.Sequence != 7 || message.Node != "n" {
		t.Error(diff)
	}
}

// TestEarlierBuildsReadDemand: they know the first three figures and send no others.
func TestEarlierBuildsReadDemand(t *testing.T) {
	form, err := json.Marshal(renderDemand(map[string]worker.Demand{"s": {ReadTokens: 4, Requests: 2, MemoryTokens: 7, SharedTokens: 3, SharedUnread: 2}}))
	if err != nil {
		t.Fatal(err)
	}
	var earlier map[string][3]int
	if err := json.Unmarshal(form, &earlier); err != nil || earlier["s"] != [3]int{4, 2 * requestUnits, 7} {
		t.Errorf("an earlier build reads %v of %s, %v", earlier, form, err)
	}
	for text, want := range map[string]worker.Demand{
		`[4,2000,7]`: {ReadTokens: 4, Requests: 2, MemoryTokens: 7}, `[4]`: {ReadTokens: 4}, `[]`: {},
		`[4,0,0,3,2,1]`: {ReadTokens: 4, SharedTokens: 3, SharedUnread: 2},
	} {
		var figures wireDemand
		if err := json.Unmarshal([]byte(text), &figures); err != nil || figures.demand() != want {
			t.Errorf("%s: %+v, %v; want %+v", text, figures.demand(), err, want)
		}
	}
}

func TestMalformedMessagesAreDropped(t *testing.T) {
	for _, text := range []string{
		"", "{", "[]", `{"s":1}`, `{"n":"x","r":[""]}`, `{"n":"x","r":["w 1"]}`, `{"n":"x","r":["w zz:1"]}`,
		`{"n":"x","r":["w 1:-1"]}`, `{"n":"x","l":{"w":[1,"2",3]}}`,
	} {
		message, err := decode([]byte(text))
		if err == nil {
			_, err = message.snapshot()
		}
		if err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"n":"x","s":1,"l":{"w":[1,2,3]},"r":["w 1:2 3:4"],"f":["w"]}`))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		message, err := decode(datagram)
		if err != nil {
			return
		}
		if snapshot, err := message.snapshot(); err == nil {
			newRegistry("w").Merge(message.Node, snapshot, time.Unix(0, 0))
		}
	})
}

// TestOldMessagesAreDropped checks that a load message that arrives after a newer one is
// ignored.
func TestOldMessagesAreDropped(t *testing.T) {
	registry := newRegistry("w")
	exchange, err := Listen("127.0.0.1:0", "me", "zone", registry, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = exchange.conn.Close() }()
	other := netip.MustParseAddrPort("127.0.0.1:1")
	exchange.receiveLoads(other, Message{Node: "other", Sequence: 2, Loads: map[string][]int{"w": {5}}})
	exchange.receiveLoads(other, Message{Node: "other", Sequence: 1, Loads: map[string][]int{"w": {9}}})
	if got := registry.Candidates("s", nil, 0, time.Now())[0].Requests; got != 5 {
		t.Errorf("%d requests", got)
	}
	if exchange.Nodes() != 2 {
		t.Errorf("%d nodes", exchange.Nodes())
	}
	exchange.receiveLoads(other, Message{Node: "other", Sequence: 3, Leaving: true})
	if exchange.Nodes() != 1 {
		t.Errorf("%d nodes after one has left, want 1", exchange.Nodes())
	}
}

// TestNodesHearOfEachOther checks over UDP that one node's load becomes known to another.
func TestNodesHearOfEachOther(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	registries := []*worker.Registry{newRegistry("w"), newRegistry("w")}
	var exchanges []*Exchange
	for i, name := range []string{"a", "b"} {
		exchange, err := Listen("127.0.0.1:0", name, "zone", registries[i], quiet())
		if err != nil {
			t.Fatal(err)
		}
		exchanges = append(exchanges, exchange)
	}
	ended := make(chan struct{})
	for i, exchange := range exchanges {
		other := exchanges[1-i]
		exchange.AddPeers([]Peer{
			{Node: exchange.node, Address: netip.MustParseAddrPort(exchange.conn.LocalAddr().String())},
			{Node: other.node, Address: netip.MustParseAddrPort(other.conn.LocalAddr().String())},
		})
		go func() { exchange.Run(ctx); ended <- struct{}{} }()
	}
	registries[0].Begin("w", worker.Load{Requests: 3})
	for end := time.Now().Add(20 * time.Second); registries[1].Candidates("s", nil, 0, time.Now())[0].Requests != 3; {
		if time.Now().After(end) {
			t.Fatal("the load of one node isn't known to the other")
		}
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	<-ended
	<-ended
}

// TestStartingNodeLearnsFromAPeer checks that a node that has just started learns from a peer
// what workers have cached, but not for workers of which the peer itself has learned nothing
// yet.
func TestStartingNodeLearnsFromAPeer(t *testing.T) {
	old, young := newRegistry("w", "unlearned"), newRegistry("w", "unlearned")
	parts := []prefixcache.Part{{ID: 1, Tokens: 700}, {ID: 2, Tokens: 30}}
	old.ObserveCached("w", parts, time.Unix(1, 0))
	old.ObserveReading("w", latency.Reading{Tokens: 5000, Elapsed: 100 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var exchanges []*Exchange
	for i, registry := range []*worker.Registry{old, young} {
		exchange, err := Listen("127.0.0.1:0", []string{"old", "young"}[i], "zone", registry, quiet())
		if err != nil {
			t.Fatal(err)
		}
		exchanges = append(exchanges, exchange)
	}
	exchanges[1].AddPeers([]Peer{{Node: "old", Address: exchanges[0].peers.address}})
	for _, exchange := range exchanges {
		go exchange.Run(ctx)
	}
	if untold := exchanges[1].AskMemory(ctx, []string{"w"}); len(untold) != 1 {
		t.Error("a peer that has learned nothing gave a complete answer")
	}
	old.MarkCachesKnown([]string{"w"})
	for end := time.Now().Add(20 * time.Second); ; {
		untold := exchanges[1].AskMemory(ctx, []string{"w", "unlearned"})
		if slices.Equal(untold, []string{"unlearned"}) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("without a complete answer: %v", untold)
		}
	}
	for _, candidate := range young.Candidates("s", parts, 0, time.Now()) {
		if candidate.ID == "w" && (candidate.CachedTokens != 730 || candidate.Throughput < 50) {
			t.Errorf("%+v", candidate)
		}
	}
	if unlisted := young.UnknownCaches(); len(unlisted) != 1 || unlisted[0].ID != "unlearned" {
		t.Errorf("workers with unknown caches: %v", unlisted)
	}
}

func TestMemoryIsSplitIntoDatagrams(t *testing.T) {
	var parts []prefixcache.Part
	for i := range 1000 {
		parts = append(parts, prefixcache.Part{ID: prefixcache.PartID(1<<62 + i), Tokens: 100_000})
	}
	messages := splitUpdates([]worker.CacheUpdate{{Worker: "i-0123456789", Parts: parts}, {Worker: "empty"}})
	count := 0
	for _, reads := range messages {
		datagram, err := json.Marshal(newMessage(Message{Node: "n"}, worker.Snapshot{CacheUpdates: reads}))
		if err != nil || len(datagram) > maxDatagram {
			t.Errorf("%d bytes, %v", len(datagram), err)
		}
		count += len(reads[0].Parts)
	}
	if count != len(parts) {
		t.Errorf("%d of %d parts", count, len(parts))
	}
}
