package routing

import (
	"slices"
	"time"
)

// maxHolders bounds the replicas remembered for one block. A block held by more is
// found on nearly any replica.
const maxHolders = 32

// holder is a replica believed to hold a block.
type holder struct {
	replica *state
	at      time.Time
}

// prefixIndex remembers which replicas hold which prefix blocks. It keeps two
// generations of blocks and drops the older one when the younger is full, so it is
// bounded and forgets what was not used lately.
type prefixIndex struct {
	bound      int
	young, old map[uint64][]holder
}

func newPrefixIndex(bound int) prefixIndex {
	return prefixIndex{bound: bound / 2, young: make(map[uint64][]holder), old: make(map[uint64][]holder)}
}

func (x *prefixIndex) get(hash uint64) []holder {
	if held, ok := x.young[hash]; ok {
		return held
	}
	return x.old[hash]
}

func (x *prefixIndex) put(hash uint64, held []holder) {
	if _, ok := x.young[hash]; !ok && len(x.young) >= x.bound {
		x.old = x.young
		x.young = make(map[uint64][]holder, x.bound)
	}
	x.young[hash] = held
}

// add records that r holds the block, seen at a time.
func (x *prefixIndex) add(hash uint64, r *state, at time.Time) {
	held := x.get(hash)
	oldest := 0
	for i := range held {
		if held[i].replica == r {
			held[i].at = at
			x.put(hash, held)
			return
		}
		if held[i].at.Before(held[oldest].at) {
			oldest = i
		}
	}
	if len(held) >= maxHolders {
		held[oldest] = holder{replica: r, at: at}
	} else {
		held = append(held, holder{replica: r, at: at})
	}
	x.put(hash, held)
}

// remove records that r no longer holds the block.
func (x *prefixIndex) remove(hash uint64, r *state) {
	for _, generation := range []map[uint64][]holder{x.young, x.old} {
		held, ok := generation[hash]
		if !ok {
			continue
		}
		generation[hash] = slices.DeleteFunc(held, func(h holder) bool { return h.replica == r })
	}
}

// match fills in the hit of every replica that is believed to hold a prefix of the
// hashes: the number of blocks, discounted by age. It returns the longest match.
func (x *prefixIndex) match(now time.Time, hashes []uint64, scope uint64, halfLife time.Duration, stamp uint64) int {
	for depth, hash := range hashes {
		found := 0
		for _, h := range x.get(scoped(hash, scope)) {
			r := h.replica
			if depth == 0 {
				r.hitStamp, r.hitBlocks, r.hitWeight = stamp, 0, 0
			}
			if r.hitStamp != stamp || r.hitBlocks != depth || h.at.Before(r.cacheLostAt) {
				continue
			}
			r.hitBlocks++
			r.hitWeight += trust(now.Sub(h.at), halfLife, h.at.Before(r.cacheGapAt))
			found++
		}
		if found == 0 {
			return depth
		}
	}
	return len(hashes)
}

// gapTrust is the trust in a block seen before events were lost.
const gapTrust = 0.5

func trust(age, halfLife time.Duration, beforeGap bool) float64 {
	weight := 1.0
	if age > 0 {
		weight = float64(halfLife) / float64(halfLife+age)
	}
	if beforeGap {
		weight *= gapTrust
	}
	return weight
}

func scoped(hash, scope uint64) uint64 {
	if scope == 0 {
		return hash
	}
	return mix(hash, scope)
}
