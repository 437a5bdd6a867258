package placement

import (
	"math/bits"
	"time"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
)

// PrefixIndex remembers which engines should have which prefix cached. What
// engines publish comes late and with gaps, so entries are hints: they are made
// by our own placements as well, age, and are corrected by what a finished
// request reports as really cached.
type PrefixIndex struct {
	capacity int
	blocks   map[prefix.Hash]hint
	// order holds blocks in the order of their addition, for eviction. Blocks
	// removed meanwhile are skipped.
	order   []prefix.Hash
	cursors [MaxEngines]eventCursor
}

type hint struct {
	engines uint64
	// added is when the block got its place in the eviction order.
	added   time.Duration
	touched time.Duration
}

type eventCursor struct {
	incarnation engine.Identifier
	next        uint64
}

// hintAge is how long a hint is believed that nothing has confirmed.
const hintAge = 20 * time.Minute

// NewPrefixIndex returns an index of at most capacity blocks.
func NewPrefixIndex(capacity int) *PrefixIndex {
	return &PrefixIndex{capacity: capacity, blocks: make(map[prefix.Hash]hint, min(capacity, 1<<16))}
}

// Len returns the number of blocks known.
func (x *PrefixIndex) Len() int { return len(x.blocks) }

// Match sets, for each slot in mask, how many leading blocks of chain the
// engine should have.
func (x *PrefixIndex) Match(chain []prefix.Hash, mask uint64, matches *Matches) {
	remaining := mask
	for i, block := range chain {
		holding := x.blocks[block].engines
		for dropped := remaining &^ holding; dropped != 0; dropped &= dropped - 1 {
			matches[bits.TrailingZeros64(dropped)] = i
		}
		remaining &= holding
		if remaining == 0 {
			return
		}
	}
	for ; remaining != 0; remaining &= remaining - 1 {
		matches[bits.TrailingZeros64(remaining)] = len(chain)
	}
}

// RecordPlacement notes that an engine will have read the whole prompt.
func (x *PrefixIndex) RecordPlacement(now time.Duration, slot int, chain []prefix.Hash) {
	for _, block := range chain {
		x.add(now, slot, block)
	}
	x.shrink(now)
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

// Apply takes a page of an engine's cache events. After a gap, events are still
// taken one by one: a lost removal ages out, a lost addition is made up for by
// our own placements.
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
	x.shrink(now)
}

// NextEvent returns the sequence number to ask an incarnation for.
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

// RemoveEngine drops all that is known of one engine.
func (x *PrefixIndex) RemoveEngine(slot int) {
	for block := range x.blocks {
		x.removeBlock(slot, block)
	}
	x.cursors[slot] = eventCursor{}
}

// shrink evicts the oldest blocks until the index fits. Blocks touched since
// their addition get a second chance (the clock algorithm, Corbató, 1968).
func (x *PrefixIndex) shrink(now time.Duration) {
	for len(x.blocks) > x.capacity || len(x.order) > 2*x.capacity {
		block := x.order[0]
		x.order = x.order[1:]
		known, exists := x.blocks[block]
		switch {
		case !exists:
		case known.added < known.touched && now-known.touched <= hintAge:
			known.added = known.touched
			x.blocks[block] = known
			x.order = append(x.order, block)
		default:
			delete(x.blocks, block)
		}
	}
}
