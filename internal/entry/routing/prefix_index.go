package routing

import (
	"slices"
	"time"
)

// maxHolders bounds the replicas stored for one block. A block held by more replicas is likely to
// be found on almost any of them.
const maxHolders = 32

// blockHolder is a replica that is expected to hold a block.
type blockHolder struct {
	replica *replicaState
	seenAt  time.Time
}

// prefixIndex records which replicas hold which prefix blocks. It keeps two generations of blocks
// and drops the older one when the younger is full. This bounds its size and drops blocks that were
// not used recently.
type prefixIndex struct {
	maxPerGeneration int
	young, old       map[uint64][]blockHolder
}

func newPrefixIndex(maxBlocks int) prefixIndex {
	return prefixIndex{maxPerGeneration: maxBlocks / 2, young: make(map[uint64][]blockHolder), old: make(map[uint64][]blockHolder)}
}

func (x *prefixIndex) get(hash uint64) []blockHolder {
	if holders, ok := x.young[hash]; ok {
		return holders
	}
	return x.old[hash]
}

func (x *prefixIndex) put(hash uint64, holders []blockHolder) {
	if _, ok := x.young[hash]; !ok && len(x.young) >= x.maxPerGeneration {
		x.old = x.young
		x.young = make(map[uint64][]blockHolder, x.maxPerGeneration)
	}
	x.young[hash] = holders
}

// add records that r was seen to hold the block at the given time.
func (x *prefixIndex) add(hash uint64, r *replicaState, at time.Time) {
	holders := x.get(hash)
	oldest := 0
	for i := range holders {
		if holders[i].replica == r {
			holders[i].seenAt = at
			x.put(hash, holders)
			return
		}
		if holders[i].seenAt.Before(holders[oldest].seenAt) {
			oldest = i
		}
	}
	if len(holders) >= maxHolders {
		holders[oldest] = blockHolder{replica: r, seenAt: at}
	} else {
		holders = append(holders, blockHolder{replica: r, seenAt: at})
	}
	x.put(hash, holders)
}

// remove records that r no longer holds the block.
func (x *prefixIndex) remove(hash uint64, r *replicaState) {
	for _, generation := range []map[uint64][]blockHolder{x.young, x.old} {
		holders, ok := generation[hash]
		if !ok {
			continue
		}
		generation[hash] = slices.DeleteFunc(holders, func(h blockHolder) bool { return h.replica == r })
	}
}

// match sets matchedBlocks and matchWeight of each replica that is expected to hold a
// prefix of the hashes; the weight is the number of matched blocks, discounted by age.
// It returns the number of blocks in the longest match.
func (x *prefixIndex) match(now time.Time, hashes []uint64, scope uint64, halfLife time.Duration, matchID uint64) int {
	for depth, hash := range hashes {
		found := 0
		for _, h := range x.get(scopedHash(hash, scope)) {
			r := h.replica
			if depth == 0 {
				r.matchID, r.matchedBlocks, r.matchWeight = matchID, 0, 0
			}
			if r.matchID != matchID || r.matchedBlocks != depth || h.seenAt.Before(r.cacheClearedAt) {
				continue
			}
			r.matchedBlocks++
			r.matchWeight += hitConfidence(now.Sub(h.seenAt), halfLife, h.seenAt.Before(r.cacheGapAt))
			found++
		}
		if found == 0 {
			return depth
		}
	}
	return len(hashes)
}

// gapConfidence is the factor for a block seen before events were lost.
const gapConfidence = 0.5

func hitConfidence(age, halfLife time.Duration, beforeGap bool) float64 {
	weight := 1.0
	if age > 0 {
		weight = float64(halfLife) / float64(halfLife+age)
	}
	if beforeGap {
		weight *= gapConfidence
	}
	return weight
}

func scopedHash(hash, scope uint64) uint64 {
	if scope == 0 {
		return hash
	}
	return combineHashes(hash, scope)
}
