package dispatch

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/link/message"
)

// receive passes an answer of size bytes on to progress and returns the error that ends it.
func receive(p *answerProgress, size int) error {
	chunk := make([]byte, 4<<10)
	for sent := 0; sent < size; sent += len(chunk) {
		if err := p.addChunk(time.Unix(0, 0), &message.Chunk{Offset: p.offset, Count: uint32(len(chunk)), Data: chunk}); err != nil {
			return err
		}
	}
	return nil
}

// TestEndlessAnswersFillNoMemory guards against many endpoints at once that send answers without end, each of which is
// below the bound of one answer, until an entry has no memory left or interrupts the ordinary answers of others.
func TestEndlessAnswersFillNoMemory(t *testing.T) {
	const (
		limit     = 16 << 20
		maxHeld   = 2 * limit // A slice grows to more than it holds.
		maxAnswer = 4 << 20
		endless   = 64
		ordinary  = 64
	)
	memory := &answerMemory{limit: limit}
	newProgress := func() *answerProgress {
		return &answerProgress{work: Work{MaxAnswer: maxAnswer, Body: ServiceCall{}}, memory: memory}
	}
	before := heapInUse()
	var all []*answerProgress
	for range endless {
		p := newProgress()
		require.Error(t, receive(p, 2*maxAnswer))
		all = append(all, p)
	}
	for range ordinary {
		p := newProgress()
		require.NoError(t, receive(p, 8<<10))
		all = append(all, p)
	}
	require.LessOrEqual(t, heapInUse()-before, int64(maxHeld))
	for _, p := range all {
		p.release()
	}
	require.Zero(t, memory.held)
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
