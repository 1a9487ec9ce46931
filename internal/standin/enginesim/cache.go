package enginesim

import "container/list"

// prefixCache is an LRU cache of prompt prefix blocks, identified by their hashes.
type prefixCache struct {
	bound           int
	order           *list.List
	blocks          map[uint64]*list.Element
	stored, evicted []uint64
}

func newPrefixCache(bound int) prefixCache {
	return prefixCache{bound: bound, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookup returns how many leading blocks of a prefix are cached, and marks them as
// recently used.
func (c *prefixCache) lookup(prefix []uint64) int {
	for i, hash := range prefix {
		element, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(prefix)
}

// store adds the blocks of a prefix, and evicts the least recently used block for each
// one over the limit.
func (c *prefixCache) store(prefix []uint64) {
	for _, hash := range prefix {
		if element, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		c.stored = append(c.stored, hash)
		c.evict()
	}
}

func (c *prefixCache) evict() {
	if c.order.Len() <= c.bound {
		return
	}
	last := c.order.Remove(c.order.Back()).(uint64)
	delete(c.blocks, last)
	c.evicted = append(c.evicted, last)
}

// changes returns the blocks stored and evicted since the last call.
func (c *prefixCache) changes() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
