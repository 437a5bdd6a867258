package nodeexchange

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

var prefix = []prefixcache.Part{{ID: 0xabc, Tokens: 1500}, {ID: 1 << 63, Tokens: 900}}

func TestPrefillsSurviveEncoding(t *testing.T) {
	prefills := []worker.InFlightPrefill{{Worker: "w@1", Parts: prefix, Left: 420 * time.Millisecond}, {Worker: "v", Left: 0}}
	snapshot, err := newMessage(Message{}, worker.Snapshot{Prefills: prefills}).snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(prefills, snapshot.Prefills); diff != "" {
		t.Error(diff)
	}
	reports := map[string]scheduling.LoadReport{"w": {InFlight: scheduling.InFlight{Tokens: 2400, Left: 420 * time.Millisecond}}, "v": {}}
	rendered := renderInFlight(reports)
	if len(rendered) != 1 || rendered["w"].inFlight() != reports["w"].InFlight || rendered["v"].inFlight() != (scheduling.InFlight{}) {
		t.Errorf("%v", rendered)
	}
}

func TestMalformedPrefillsAreRejectedAndTimesBounded(t *testing.T) {
	for _, text := range []string{"", "w", "w soon", "w 5 x", "w 5 1:-1"} {
		if _, err := parsePrefills([]string{text}); err == nil {
			t.Errorf("%q is no error", text)
		}
	}
	prefills, err := parsePrefills([]string{"w 2000000000", "w -5"})
	if err != nil || prefills[0].Left != maxPrefillLeft || prefills[1].Left != 0 {
		t.Errorf("%v, %v", prefills, err)
	}
}

// TestPrefillInFlightIsKnownByAsking checks that a node of a large fleet that doesn't track a
// worker learns by asking that another node has a prefix prefilled there, and that it has ended.
func TestPrefillInFlightIsKnownByAsking(t *testing.T) {
	exchanges, registries := cluster(t, 30, "w")
	placing, asking := -1, -1
	for i, exchange := range exchanges {
		if !exchange.Tracked([]string{"w"})[0] {
			placing, asking = asking, i
		}
	}
	if placing < 0 {
		t.Fatal("fewer than two of thirty nodes are no homes of the worker")
	}
	end := registries[placing].BeginPrefill("w", prefix, time.Hour, time.Now())
	for _, want := range []int{prefixcache.Tokens(prefix), 0} {
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			report, answered := exchanges[asking].Ask(context.Background(), []string{"w"}, prefix, 0).Reports["w"]
			if answered && report.InFlight.Tokens == want {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%+v, want %d tokens", report.InFlight, want)
			}
		}
		end()
	}
}

// TestNewHomeHearsOfPrefills checks that the message of each period tells the prefills under way
// to all homes, so that one that was added since knows them too.
func TestNewHomeHearsOfPrefills(t *testing.T) {
	registry := newRegistry("w")
	exchange, err := Listen("127.0.0.1:0", "me", "zone", registry, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = exchange.conn.Close() }()
	registry.Begin("w", worker.Load{Requests: 1})
	defer registry.BeginPrefill("w", prefix, time.Hour, time.Now())()
	registry.Snapshot() // told to the homes so far
	added := addressOf(1)
	exchange.AddPeers([]Peer{{Node: "added", Address: added}})
	snapshot := registry.Snapshot()
	workers := exchange.workersByRecipient(snapshot, true, false)[added]
	if part := snapshot.ForWorkers(workers); len(part.Prefills) != 1 {
		t.Errorf("the new home hears of workers %v and prefills %v", workers, part.Prefills)
	}
}
