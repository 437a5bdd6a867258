// Package prefixcache predicts which parts of prompts a worker has in its KV cache, from the
// prompts that were sent to it. It is pure: time is an argument.
package prefixcache

import (
	"cmp"
	"slices"
	"time"
)

// PartID identifies a part of a prompt. Parts with the same ID have the same text.
type PartID uint64

// Part is a run of prompt tokens that several prompts may share.
type Part struct {
	ID     PartID
	Tokens int
}

// Tokens returns the number of tokens in parts.
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

// Cache is the predicted content of one worker's KV cache. When it is full, the least recently
// used parts are evicted.
type Cache struct {
	capacity int
	size     int
	entries  map[PartID]entry
}

// New returns an empty cache with a capacity in tokens.
func New(capacity int) *Cache {
	return &Cache{capacity: capacity, entries: make(map[PartID]entry)}
}

// Match returns the number of leading tokens of a prompt that are cached. A part counts only if
// all parts before it are cached.
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

// Use records that a prompt was prefilled, so that all of its parts are cached now.
func (c *Cache) Use(parts []Part, now time.Time) {
	for _, part := range parts {
		if old, kept := c.entries[part.ID]; kept {
			c.size -= old.tokens
		}
		c.entries[part.ID] = entry{tokens: part.Tokens, used: now}
		c.size += part.Tokens
	}
	c.evict()
}

// Clear empties the cache, as when its worker restarts.
func (c *Cache) Clear() {
	clear(c.entries)
	c.size = 0
}

// Parts returns the cached parts, the least recently used first.
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

// Size returns the number of cached tokens.
func (c *Cache) Size() int { return c.size }

func (c *Cache) evict() {
	for c.size > c.capacity && len(c.entries) > 0 {
		var oldest PartID
		var oldestUse time.Time
		first := true
		for id, candidate := range c.entries {
			if first || candidate.used.Before(oldestUse) || candidate.used.Equal(oldestUse) && id < oldest {
				oldest, oldestUse, first = id, candidate.used, false
			}
		}
		c.size -= c.entries[oldest].tokens
		delete(c.entries, oldest)
	}
}
