package enginesim

import "container/list"

// prefixCache is an LRU cache of prompt prefix blocks, identified by their hashes.
type prefixCache struct {
	capacity        int
	recency         *list.List
	blocks          map[uint64]*list.Element
	stored, evicted []uint64
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookup returns how many leading blocks of a prefix are cached, and marks them as
// recently used.
func (c *prefixCache) lookup(prefix []uint64) int {
	for i, hash := range prefix {
		element, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.recency.MoveToFront(element)
	}
	return len(prefix)
}

// store adds the blocks of a prefix, and evicts the least recently used block for each
// one over the capacity.
func (c *prefixCache) store(prefix []uint64) {
	for _, hash := range prefix {
		if element, ok := c.blocks[hash]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[hash] = c.recency.PushFront(hash)
		c.stored = append(c.stored, hash)
		c.evict()
	}
}

// evict removes the least recently used block if the cache is over its capacity.
func (c *prefixCache) evict() {
	if c.recency.Len() <= c.capacity {
		return
	}
	oldest := c.recency.Remove(c.recency.Back()).(uint64)
	delete(c.blocks, oldest)
	c.evicted = append(c.evicted, oldest)
}

// changes returns the blocks stored and evicted since the last call.
func (c *prefixCache) changes() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
