package suspicion

import "time"

const (
	// historyTime is the time over which completed requests are counted, in buckets of historyBucketTime.
	historyTime       = time.Minute
	historyBucketTime = 10 * time.Second
	historyBuckets    = int(historyTime / historyBucketTime)
	// maxHistoryKeys bounds the keys of a bucket. Further ones are not counted.
	maxHistoryKeys = 2048
)

// history counts the completed requests of a scope in a moving window, by key. The zero value is empty.
type history struct {
	buckets [historyBuckets]historyBucket
	// current is the number of the present bucket, counted from start.
	current int64
	start   time.Time
}

type historyBucket struct {
	total int
	keys  map[uint64]completed
}

// completed counts completed requests.
type completed struct {
	count  int
	lastAt time.Time
}

// advance drops the buckets that are older than the window.
func (h *history) advance(now time.Time) {
	current := int64(now.Sub(h.start) / historyBucketTime)
	if h.start.IsZero() || current-h.current > int64(historyBuckets) || current < h.current {
		*h = history{start: now}
		return
	}
	for h.current < current {
		h.current++
		h.buckets[h.current%int64(historyBuckets)] = historyBucket{}
	}
}

// add counts a completed request with its keys.
func (h *history) add(keys []Key, now time.Time) {
	h.advance(now)
	b := &h.buckets[h.current%int64(historyBuckets)]
	b.total++
	if b.keys == nil {
		b.keys = map[uint64]completed{}
	}
	for _, key := range keys {
		c, known := b.keys[key.Hash]
		if !known && len(b.keys) >= maxHistoryKeys {
			continue
		}
		b.keys[key.Hash] = completed{c.count + 1, now}
	}
}

// total returns the number of completed requests.
func (h *history) total(now time.Time) int {
	h.advance(now)
	total := 0
	for _, b := range h.buckets {
		total += b.total
	}
	return total
}

// withKey returns the completed requests with a key.
func (h *history) withKey(key uint64, now time.Time) completed {
	h.advance(now)
	var sum completed
	for _, b := range h.buckets {
		c := b.keys[key]
		sum.count += c.count
		if c.lastAt.After(sum.lastAt) {
			sum.lastAt = c.lastAt
		}
	}
	return sum
}
