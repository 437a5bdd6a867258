package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
)

func testBatch(model Model) *batch {
	return newBatch(model, func(engine.CacheEventType, prefix.Hash) {})
}

// run runs the batch until it is idle and returns the time at which each attempt finished.
func run(b *batch) map[engine.Identifier]time.Duration {
	finished := map[engine.Identifier]time.Duration{}
	var now time.Duration
	for !b.idle() {
		now += b.begin()
		for _, p := range b.finish() {
			if p.done {
				finished[p.attempt] = now
			}
		}
	}
	return finished
}

func TestBatchWritesEveryToken(t *testing.T) {
	b := testBatch(SmallModel())
	b.add(&sequence{attempt: "a", promptTokens: 5000, outputTokens: 7})
	written := 0
	for !b.idle() {
		b.begin()
		written += len(b.finish())
	}
	if written != 7 {
		t.Errorf("generated %d tokens, want 7", written)
	}
	if b.reserved != 0 {
		t.Errorf("%d tokens of memory still reserved", b.reserved)
	}
}

func TestBatchHonoursPriority(t *testing.T) {
	model := SmallModel()
	model.MaxSequences = 1
	b := testBatch(model)
	b.add(&sequence{attempt: "low", promptTokens: 4000, outputTokens: 4})
	b.add(&sequence{attempt: "high", priority: 9, promptTokens: 4000, outputTokens: 4})
	finished := run(b)
	if finished["high"] >= finished["low"] {
		t.Errorf("high finished at %v, low at %v", finished["high"], finished["low"])
	}
}

func TestBatchSkipsCachedPrefix(t *testing.T) {
	b := testBatch(SmallModel())
	chain := []prefix.Hash{1, 2, 3, 4, 5, 6, 7, 8}
	b.add(&sequence{attempt: "cold", chain: chain, promptTokens: 2100, outputTokens: 1})
	cold := run(b)["cold"]
	b.add(&sequence{attempt: "warm", chain: chain, promptTokens: 2100, outputTokens: 1})
	if warm := run(b)["warm"]; warm*2 > cold {
		t.Errorf("a cached prompt took %v, the same prompt without cache %v", warm, cold)
	}
}

func TestCacheEvictsToMakeRoom(t *testing.T) {
	model := SmallModel()
	model.MemoryTokens = 4 * prefix.BlockTokens
	var removed int
	b := newBatch(model, func(event engine.CacheEventType, _ prefix.Hash) {
		if event == engine.CacheRemoved {
			removed++
		}
	})
	for i := range 4 {
		b.add(&sequence{attempt: engine.Identifier(fmt.Sprint(i)), chain: []prefix.Hash{prefix.Hash(i*2 + 1), prefix.Hash(i*2 + 2)}, promptTokens: 512, outputTokens: 1})
		run(b)
	}
	if removed == 0 || b.cache.tokens() > model.MemoryTokens {
		t.Errorf("removed %d blocks, %d tokens cached of %d", removed, b.cache.tokens(), model.MemoryTokens)
	}
}
