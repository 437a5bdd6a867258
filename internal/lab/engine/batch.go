package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
)

// sequence is an attempt in the batch or waiting for it.
type sequence struct {
	attempt      engine.Identifier
	priority     int32
	arrival      uint64
	chain        []prefix.Hash
	promptTokens int
	outputTokens int
	// prefilled is the number of prompt tokens in the KV cache, computed or found in the prefix
	// cache.
	prefilled    int
	generated    int
	cachedTokens int
	// matched tells that the prefix cache was searched. This happens when the sequence first
	// gets a part of an iteration: what earlier sequences have prefilled by then is cached.
	matched bool
}

func (s *sequence) decoding() bool { return s.prefilled >= s.promptTokens }

func (s *sequence) memory() int { return s.promptTokens + s.outputTokens }

// progress is the result of an iteration for a sequence.
type progress struct {
	attempt   engine.Identifier
	generated int
	done      bool
}

// batch is the scheduler of an engine. It has no clock and does no I/O.
type batch struct {
	model    Model
	cache    *cache
	waiting  []*sequence
	running  []*sequence
	arrivals uint64
	// reserved is the KV memory reserved for running sequences, in tokens.
	reserved int
	// chunk holds the number of prompt tokens that each sequence prefills in this iteration.
	chunk map[*sequence]int
	step  time.Duration
}

func newBatch(model Model, onChange func(engine.CacheEventType, prefix.Hash)) *batch {
	capacity := model.MemoryTokens / prefix.BlockTokens
	return &batch{model: model, cache: newCache(capacity, onChange), chunk: map[*sequence]int{}}
}

func (b *batch) idle() bool { return len(b.waiting) == 0 && len(b.running) == 0 }

func (b *batch) add(s *sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.waiting = append(b.waiting, s)
	slices.SortStableFunc(b.waiting, byPriority)
}

// byPriority orders sequences by descending priority, then by arrival.
func byPriority(left, right *sequence) int {
	if order := cmp.Compare(right.priority, left.priority); order != 0 {
		return order
	}
	return cmp.Compare(left.arrival, right.arrival)
}

// remove removes an attempt, waiting or running.
func (b *batch) remove(attempt engine.Identifier) {
	matches := func(s *sequence) bool { return s.attempt == attempt }
	b.waiting = slices.DeleteFunc(b.waiting, matches)
	if i := slices.IndexFunc(b.running, matches); i >= 0 {
		b.reserved -= b.running[i].memory()
		delete(b.chunk, b.running[i])
		b.running = slices.Delete(b.running, i, i+1)
	}
}

// begin admits waiting sequences, plans an iteration and returns its duration.
func (b *batch) begin() time.Duration {
	b.admit()
	clear(b.chunk)
	budget := b.model.ChunkTokens
	prefillTokens, cachedTokens := 0, 0
	slices.SortStableFunc(b.running, byPriority)
	for _, s := range b.running {
		if s.decoding() {
			cachedTokens += s.prefilled + s.generated
			continue
		}
		if budget > 0 && !s.matched {
			b.matchCache(s)
		}
		part := min(budget, s.promptTokens-s.prefilled)
		b.chunk[s] = part
		budget -= part
		prefillTokens += part
	}
	b.step = b.model.iterationTime(prefillTokens, cachedTokens)
	return b.step
}

func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.model.MaxSequences {
		next := b.waiting[0]
		if b.reserved+next.memory() > b.model.MemoryTokens && len(b.running) > 0 {
			return
		}
		b.waiting = b.waiting[1:]
		b.reserved += next.memory()
		b.cache.shrink((b.model.MemoryTokens - b.reserved) / prefix.BlockTokens)
		b.running = append(b.running, next)
	}
}

// matchCache skips the cached prefix of a prompt. At least one token is prefilled, since the
// first output token depends on it.
func (b *batch) matchCache(s *sequence) {
	s.matched = true
	s.cachedTokens = min(b.cache.match(s.chain)*prefix.BlockTokens, max(s.promptTokens-1, 0))
	s.prefilled = s.cachedTokens
}

// finish completes the iteration that begin planned.
func (b *batch) finish() []progress {
	var report []progress
	keep := b.running[:0]
	for _, s := range b.running {
		part, prefilling := b.chunk[s]
		if prefilling {
			s.prefilled += part
			b.cache.store(s.chain[:min(s.prefilled/prefix.BlockTokens, len(s.chain))])
		}
		// The iteration that completes the prefill also generates the first token.
		if s.decoding() && (!prefilling || part > 0) {
			s.generated++
			report = append(report, progress{attempt: s.attempt, generated: s.generated, done: s.generated >= s.outputTokens})
		}
		if s.generated >= s.outputTokens {
			b.reserved -= s.memory()
			continue
		}
		keep = append(keep, s)
	}
	b.running = keep
	return report
}

// pendingPromptTokens returns the number of accepted prompt tokens still to be prefilled.
func (b *batch) pendingPromptTokens() int {
	total := 0
	for _, s := range b.waiting {
		total += s.promptTokens
	}
	for _, s := range b.running {
		total += s.promptTokens - s.prefilled
	}
	return total
}
