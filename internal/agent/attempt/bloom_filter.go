package attempt

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	filterBits   = 1 << 23
	filterHashes = 4
	wordBits     = 64
)

// bloomFilter is a Bloom filter (Bloom 1970; double hashing by Kirsch and
// Mitzenmacher 2006) of the attempts whose records were dropped. It can report a
// new attempt as dropped, but never a dropped one as new. The zero value is empty.
type bloomFilter struct{ words []uint64 }

func (f *bloomFilter) add(ref message.Ref) {
	if f.words == nil {
		f.words = make([]uint64, filterBits/wordBits)
	}
	step, bit := hashes(ref)
	for range filterHashes {
		f.words[bit%filterBits/wordBits] |= 1 << (bit % wordBits)
		bit += step
	}
}

func (f *bloomFilter) mayContain(ref message.Ref) bool {
	if f.words == nil {
		return false
	}
	step, bit := hashes(ref)
	for range filterHashes {
		if f.words[bit%filterBits/wordBits]&(1<<(bit%wordBits)) == 0 {
			return false
		}
		bit += step
	}
	return true
}

// hashes returns the first bit index of an attempt and the odd step between its
// indexes, both modulo filterBits.
func hashes(ref message.Ref) (step, start uint64) {
	h := fnv.New128a()
	_, _ = h.Write(ref.Request[:])
	var attempt [4]byte
	binary.LittleEndian.PutUint32(attempt[:], uint32(ref.Attempt))
	_, _ = h.Write(attempt[:])
	sum := h.Sum(nil)
	return binary.LittleEndian.Uint64(sum[:8]) | 1, binary.LittleEndian.Uint64(sum[8:])
}
