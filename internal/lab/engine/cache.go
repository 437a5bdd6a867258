package engine

import (
	"container/list"

	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/prefix"
)

// cache is a prefix cache with least-recently-used eviction.
type cache struct {
	capacity int // blocks
	order    *list.List
	blocks   map[prefix.Hash]*list.Element
	onChange func(engine.CacheEventType, prefix.Hash)
}

func newCache(capacity int, onChange func(engine.CacheEventType, prefix.Hash)) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: map[prefix.Hash]*list.Element{}, onChange: onChange}
}

// match returns the number of leading blocks that are cached, and marks them as used.
func (c *cache) match(chain []prefix.Hash) int {
	matched := 0
	for _, block := range chain {
		element, ok := c.blocks[block]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		matched++
	}
	return matched
}

// store adds blocks, marks those already cached as used, and evicts others if the cache is
// full.
func (c *cache) store(chain []prefix.Hash) {
	for _, block := range chain {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.onChange(engine.CacheStored, block)
	}
	c.shrink(c.capacity)
}

// shrink evicts blocks until at most limit are left.
func (c *cache) shrink(limit int) {
	for c.order.Len() > max(limit, 0) {
		oldest := c.order.Back()
		block := oldest.Value.(prefix.Hash)
		c.order.Remove(oldest)
		delete(c.blocks, block)
		c.onChange(engine.CacheRemoved, block)
	}
}

func (c *cache) tokens() int { return c.order.Len() * prefix.BlockTokens }
