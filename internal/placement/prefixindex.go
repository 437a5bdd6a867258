package placement

import (
	"math/bits"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
)

// PrefixIndex records which engines are expected to have which prefix blocks in their caches.
// The events that engines publish come late and can be lost, so an entry is a hint only:
// entries are also added for this cell's own placements, and old ones are evicted when the
// index is full.
type PrefixIndex struct {
	capacity int
	blocks   map[prefix.Hash]hint
	// order lists the blocks in the order in which they were added, for eviction. It may still
	// hold blocks that have been removed; eviction skips them.
	order   []prefix.Hash
	cursors [MaxEngines]eventCursor
}

type hint struct {
	engines uint64
	// added is the time at which the block got its current position in the eviction order, and
	// touched the last time that an engine was recorded to have it.
	added   time.Duration
	touched time.Duration
}

type eventCursor struct {
	incarnation engine.Identifier
	next        uint64
}

// secondChanceAge is how recently a block must have been recorded again, by a stored event or a
// placement, for eviction to spare it. A block that was not recorded again since it got its
// position in the eviction order is not spared, however recent it is. Age alone removes
// nothing: old blocks stay until eviction reaches them.
const secondChanceAge = 20 * time.Minute

// NewPrefixIndex returns an index of at most capacity blocks.
func NewPrefixIndex(capacity int) *PrefixIndex {
	return &PrefixIndex{capacity: capacity, blocks: make(map[prefix.Hash]hint, min(capacity, 1<<16))}
}

// Len returns the number of blocks in the index.
func (x *PrefixIndex) Len() int { return len(x.blocks) }

// Match sets, for each slot in mask, how many leading blocks of chain the engine is expected to
// have cached.
func (x *PrefixIndex) Match(chain []prefix.Hash, mask uint64, matches *Matches) {
	remaining := mask
	for i, block := range chain {
		holders := x.blocks[block].engines
		for diverged := remaining &^ holders; diverged != 0; diverged &= diverged - 1 {
			matches[bits.TrailingZeros64(diverged)] = i
		}
		remaining &= holders
		if remaining == 0 {
			return
		}
	}
	for ; remaining != 0; remaining &= remaining - 1 {
		matches[bits.TrailingZeros64(remaining)] = len(chain)
	}
}

// RecordPlacement records that an engine is about to prefill, and thereby cache, a whole
// prompt.
func (x *PrefixIndex) RecordPlacement(now time.Duration, slot int, chain []prefix.Hash) {
	for _, block := range chain {
		x.add(now, slot, block)
	}
	x.evict(now)
}

func (x *PrefixIndex) add(now time.Duration, slot int, block prefix.Hash) {
	known, exists := x.blocks[block]
	if !exists {
		x.order = append(x.order, block)
		known.added = now
	}
	known.engines |= 1 << slot
	known.touched = now
	x.blocks[block] = known
}

// Apply records a page of an engine's cache events. After a gap in the sequence the remaining
// events still count: an entry whose removal was lost ages until it is evicted, and a lost
// addition is made up for by the cell's own placements. A new incarnation of the engine starts
// with an empty cache.
func (x *PrefixIndex) Apply(now time.Duration, slot int, page engine.CacheEvents) {
	cursor := &x.cursors[slot]
	if cursor.incarnation != page.Incarnation {
		x.RemoveEngine(slot)
		cursor.incarnation = page.Incarnation
	}
	cursor.next = page.Next
	for _, event := range page.Events {
		switch event.Type {
		case engine.CacheStored:
			x.add(now, slot, event.Block)
		case engine.CacheRemoved:
			x.removeBlock(slot, event.Block)
		}
	}
	x.evict(now)
}

// NextEvent returns the number of the first cache event to request from an incarnation.
func (x *PrefixIndex) NextEvent(slot int, incarnation engine.Identifier) uint64 {
	if x.cursors[slot].incarnation != incarnation {
		return 0
	}
	return x.cursors[slot].next
}

func (x *PrefixIndex) removeBlock(slot int, block prefix.Hash) {
	known, exists := x.blocks[block]
	if !exists {
		return
	}
	known.engines &^= 1 << slot
	if known.engines == 0 {
		delete(x.blocks, block)
		return
	}
	x.blocks[block] = known
}

// RemoveEngine deletes everything that is recorded of one engine.
func (x *PrefixIndex) RemoveEngine(slot int) {
	for block := range x.blocks {
		x.removeBlock(slot, block)
	}
	x.cursors[slot] = eventCursor{}
}

// evict deletes the oldest blocks until the index is within its capacity. A block that was
// touched after it was added, and within maxHintAge, moves to the end of the order instead
// (second chance or clock algorithm; Corbató, 1968).
func (x *PrefixIndex) evict(now time.Duration) {
	for len(x.blocks) > x.capacity || len(x.order) > 2*x.capacity {
		block := x.order[0]
		x.order = x.order[1:]
		known, exists := x.blocks[block]
		switch {
		case !exists:
		case known.added < known.touched && now-known.touched <= secondChanceAge:
			known.added = known.touched
			x.blocks[block] = known
			x.order = append(x.order, block)
		default:
			delete(x.blocks, block)
		}
	}
}
