package routing

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Sizes of prefix blocks.
const (
	// BlockBytes is the length of the prompt text covered by one block hash.
	BlockBytes = 512
	// MaxBlocks bounds the hashes of one prompt; the text after the last block is not
	// hashed.
	MaxBlocks = 512
)

// PrefixHashes returns the chained hashes of the complete blocks of a prompt. Hash i
// depends on blocks 0 to i, so equal hashes mean equal prefixes.
func PrefixHashes(prompt []byte) []uint64 {
	blocks := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, blocks)
	var chained uint64
	for i := range hashes {
		chained = xxh3.HashSeed(prompt[i*BlockBytes:(i+1)*BlockBytes], chained)
		hashes[i] = chained
	}
	return hashes
}

// combineHashes returns one hash of two.
func combineHashes(a, b uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], a)
	binary.LittleEndian.PutUint64(data[8:], b)
	return xxh3.Hash(data[:])
}
