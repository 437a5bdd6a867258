package nodeexchange

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/tinarch/tinarch/internal/prefixcache"
	"github.com/tinarch/tinarch/internal/scheduling"
	"github.com/tinarch/tinarch/internal/worker"
)

func TestContentRecordSurvivesEncoding(t *testing.T) {
	record := contentRecord{content: 0xfedcba9876543210, holder: scheduling.Holder{Worker: "i-1", Tokens: 13300}}
	parsed, err := parseContent(renderContent(record))
	if err != nil || parsed != record {
		t.Errorf("%+v, %v", parsed, err)
	}
	for _, broken := range []string{"", "a b", "x i-1 5", "a i-1 -5", "a i-1 5 6"} {
		if _, err := parseContent(broken); err == nil {
			t.Errorf("%q was accepted", broken)
		}
	}
}

// TestIndexReturnsTheNewestHolders checks that the index returns a bounded number of holders,
// and none that prefilled the content too long ago.
func TestIndexReturnsTheNewestHolders(t *testing.T) {
	index, begun := newContentIndex(), time.Now()
	read := func(worker string, after time.Duration) {
		index.add(contentRecord{content: 7, holder: scheduling.Holder{Worker: worker, Tokens: 2000}}, begun.Add(after))
	}
	for i := range 6 {
		read(fmt.Sprint("w", i), time.Duration(i)*time.Second)
	}
	read("w3", 7*time.Second)
	var names []string
	for _, holder := range index.of(7, begun.Add(8*time.Second)) {
		names = append(names, holder.Worker)
	}
	if diff := cmp.Diff([]string{"w3", "w5", "w4", "w2"}, names); diff != "" {
		t.Error(diff)
	}
	if left := index.of(7, begun.Add(7*time.Second+holderLife)); len(left) != 0 {
		t.Errorf("%v are still returned as holders", left)
	}
	index.add(contentRecord{content: 8}, begun.Add(time.Minute))
	if len(index.holders) != 1 {
		t.Errorf("the index has %d contents, want 1", len(index.holders))
	}
}

// TestContentIsFoundWhereverItWasRead checks that in a fleet in which no node knows all caches,
// a node that asks about a prompt learns of a worker that prefilled its shared part for a
// request of another node.
func TestContentIsFoundWhereverItWasRead(t *testing.T) {
	const nodes = fullTrackingFleet + 5
	exchanges, registries := cluster(t, nodes, "w", "other")
	shared := prefixcache.Part{ID: 77, Tokens: 5000}
	prompt := func(own uint64) []prefixcache.Part {
		return []prefixcache.Part{shared, {ID: prefixcache.PartID(own), Tokens: 100}}
	}
	registries[3].ObserveCached("w", prompt(1), time.Now())
	found := func(asking int) bool {
		answers := exchanges[asking].Ask(context.Background(), []string{"other"}, prompt(2), 0)
		for _, holder := range answers.Holders {
			if holder == (scheduling.Holder{Worker: "w", Tokens: shared.Tokens}) {
				return true
			}
		}
		return false
	}
	for asking := range nodes {
		for end := time.Now().Add(20 * time.Second); !found(asking); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("node %d never learns which worker holds the content", asking)
			}
		}
	}
	if _, isContent := contentRecordOf(worker.CacheUpdate{Worker: "w", Parts: []prefixcache.Part{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 5000}}}); isContent {
		t.Error("a prompt that shares next to nothing counts as a content")
	}
}
