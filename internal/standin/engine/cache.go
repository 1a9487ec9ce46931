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
	recency  *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event protocol.CacheEvent
}

func newPrefixCache(opts Options) *prefixCache {
	return &prefixCache{opts: opts, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookupAndStore returns the number of leading tokens that were cached, and caches all complete
// blocks of the prompt.
func (c *prefixCache) lookupAndStore(tokens []string, now time.Time) int {
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
		c.recency.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.recency.PushFront(block)
	c.record(block, false, now)
	if c.recency.Len() > c.opts.CacheBlocks {
		oldest := c.recency.Remove(c.recency.Back()).(uint64)
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
	c.events = append(c.events, timedEvent{at: now, event: e})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// published returns the events that are at least EventDelay old, oldest first.
func (c *prefixCache) published(now time.Time) []protocol.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := []protocol.CacheEvent{}
	for _, e := range c.events {
		if now.Sub(e.at) >= c.opts.EventDelay {
			due = append(due, e.event)
		}
	}
	return due
}
