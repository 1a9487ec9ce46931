package engine

import (
	"container/list"
	"hash/fnv"
	"sync"
	"time"

	protocol "github.com/egretreach/egretreach/internal/agent/engine"
)

const (
	// blockTokens is the number of tokens of a cache block.
	blockTokens = 16
	// maxEvents bounds the cache events that are kept.
	maxEvents = 1024
)

// prefixCache is an LRU cache of prompt prefix blocks. Its events are published with a delay
// and with gaps, as Options sets them.
type prefixCache struct {
	opts Options

	mu       sync.Mutex
	order    *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []datedEvent
}

type datedEvent struct {
	at    time.Time
	event protocol.CacheEvent
}

func newPrefixCache(opts Options) *prefixCache {
	return &prefixCache{opts: opts, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// use returns the number of leading tokens that were cached, and caches all complete blocks
// of the prompt.
func (c *prefixCache) use(tokens []string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, leading := 0, true
	hash := fnv.New64a()
	for end := blockTokens; end <= len(tokens); end += blockTokens {
		for _, token := range tokens[end-blockTokens : end] {
			_, _ = hash.Write([]byte(token))
			_, _ = hash.Write([]byte{0})
		}
		hit := c.touch(hash.Sum64(), now)
		if leading = leading && hit; leading {
			cached = end
		}
	}
	return cached
}

func (c *prefixCache) touch(block uint64, now time.Time) bool {
	if element, ok := c.blocks[block]; ok {
		c.order.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	c.record(block, false, now)
	if c.order.Len() > c.opts.CacheBlocks {
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, oldest)
		c.record(oldest, true, now)
	}
	return false
}

func (c *prefixCache) record(block uint64, removed bool, now time.Time) {
	c.sequence++
	if c.opts.DropEventEvery > 0 && c.sequence%uint64(c.opts.DropEventEvery) == 0 {
		return
	}
	e := protocol.CacheEvent{Sequence: c.sequence, Block: block, Removed: removed}
	c.events = append(c.events, datedEvent{at: now, event: e})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// published returns the events older than the event lag, oldest first.
func (c *prefixCache) published(now time.Time) []protocol.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := []protocol.CacheEvent{}
	for _, e := range c.events {
		if now.Sub(e.at) >= c.opts.EventDelay {
			seen = append(seen, e.event)
		}
	}
	return seen
}
