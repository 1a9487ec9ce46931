package message

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// stalledFrame is a frame of which a beginning has arrived. It blocks its reader until rest is closed.
type stalledFrame struct {
	beginning io.Reader
	waiting   chan<- struct{}
	rest      <-chan struct{}
}

// Read implements io.Reader.
func (f *stalledFrame) Read(b []byte) (int, error) {
	if n, err := f.beginning.Read(b); err == nil {
		return n, nil
	}
	f.waiting <- struct{}{}
	<-f.rest
	return 0, io.EOF
}

// TestFramesTakeTheMemoryOfWhatHasArrived guards against a peer that announces many large frames at once, of which it
// sends little, and by that takes all memory of a process.
func TestFramesTakeTheMemoryOfWhatHasArrived(t *testing.T) {
	const (
		frames  = 256
		arrived = 16 << 10
		// heldByFrame bounds what an incomplete frame takes, in bytes.
		heldByFrame = 4 * arrived
	)
	beginning := binary.BigEndian.AppendUint32(nil, MaxFrameBytes)
	beginning = append(beginning, byte((&Quorum{}).kind()))
	beginning = append(beginning, make([]byte, arrived)...)
	waiting, rest, ended := make(chan struct{}), make(chan struct{}), make(chan error)
	before := heapInUse()
	for range frames {
		go func() {
			_, err := Read(&stalledFrame{beginning: bytes.NewReader(beginning), waiting: waiting, rest: rest})
			ended <- err
		}()
	}
	for range frames {
		<-waiting
	}
	require.LessOrEqual(t, heapInUse()-before, int64(frames*heldByFrame))
	close(rest)
	for range frames {
		require.ErrorIs(t, <-ended, io.ErrUnexpectedEOF)
	}
}

// TestLargeFrameIsReadWhole guards against a frame of many parts that arrives damaged.
func TestLargeFrameIsReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 100_000, 7 << 20} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i * 31 >> 3)
		}
		frame, err := Append(nil, &Quorum{Body: body})
		require.NoError(t, err)
		m, err := Read(bytes.NewReader(append(frame, 1, 2, 3)))
		require.NoError(t, err)
		require.Equal(t, len(body), len(m.(*Quorum).Body))
		require.True(t, bytes.Equal(body, m.(*Quorum).Body))
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
