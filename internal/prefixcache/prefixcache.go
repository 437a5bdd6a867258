// Package prefixcache predicts which parts of prompts a worker keeps in its KV
// cache, from what was placed there. It is pure: time is an argument.
package prefixcache

import (
	"cmp"
	"slices"
	"time"
)

// PartID names a part of a prompt; parts with the same id have the same text.
type PartID uint64

// Part is a run of prompt tokens that several prompts may share.
type Part struct {
	ID     PartID
	Tokens int
}

// Tokens returns the sum over parts.
func Tokens(parts []Part) int {
	sum := 0
	for _, part := range parts {
		sum += part.Tokens
	}
	return sum
}

type entry struct {
	tokens int
	used   time.Time
}

// Cache is the predicted content of one worker's KV cache. The parts that were
// used longest ago give way when it is full.
type Cache struct {
	capacity int
	held     int
	entries  map[PartID]entry
}

// New returns an empty cache of a capacity in tokens.
func New(capacity int) *Cache {
	return &Cache{capacity: capacity, entries: make(map[PartID]entry)}
}

// Match returns the number of leading tokens of a prompt that are kept: a part
// counts only if all parts before it are kept.
func (c *Cache) Match(parts []Part) int {
	matched := 0
	for _, part := range parts {
		if _, kept := c.entries[part.ID]; !kept {
			break
		}
		matched += part.Tokens
	}
	return matched
}

// Use records that a prompt was read, so that all of its parts are kept now.
func (c *Cache) Use(parts []Part, now time.Time) {
	for _, part := range parts {
		if old, kept := c.entries[part.ID]; kept {
			c.held -= old.tokens
		}
		c.entries[part.ID] = entry{tokens: part.Tokens, used: now}
		c.held += part.Tokens
	}
	c.evict()
}

// Clear forgets everything, as a restarted worker does.
func (c *Cache) Clear() {
	clear(c.entries)
	c.held = 0
}

// Parts returns what is kept, those used longest ago first.
func (c *Cache) Parts() []Part {
	parts := make([]Part, 0, len(c.entries))
	for id, kept := range c.entries {
		parts = append(parts, Part{ID: id, Tokens: kept.tokens})
	}
	slices.SortFunc(parts, func(left, right Part) int {
		if order := c.entries[left.ID].used.Compare(c.entries[right.ID].used); order != 0 {
			return order
		}
		return cmp.Compare(left.ID, right.ID)
	})
	return parts
}

// Size returns the tokens kept.
func (c *Cache) Size() int { return c.held }

func (c *Cache) evict() {
	for c.held > c.capacity && len(c.entries) > 0 {
		var oldest PartID
		var oldestUse time.Time
		first := true
		for id, candidate := range c.entries {
			if first || candidate.used.Before(oldestUse) || candidate.used.Equal(oldestUse) && id < oldest {
				oldest, oldestUse, first = id, candidate.used, false
			}
		}
		c.held -= c.entries[oldest].tokens
		delete(c.entries, oldest)
	}
}
