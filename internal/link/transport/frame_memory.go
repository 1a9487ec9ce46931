package transport

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// frameMemoryBytes bounds the sum of the large frames under way on a link.
	frameMemoryBytes = 4 * message.MaxFrameBytes
	// maxWaitingWindow bounds the receive windows of the streams whose frames wait. The rest of the connectionWindow is for the
	// frames under way: without it they would never end.
	maxWaitingWindow = connectionWindow / 2
)

// ErrFramesWaiting is returned for a large frame if too many others of its link wait already.
type ErrFramesWaiting struct{ Bytes int }

func (e ErrFramesWaiting) Error() string {
	return fmt.Sprintf("frame of %d bytes came while too many large frames of its link waited", e.Bytes)
}

// IsErrFramesWaiting reports whether err is an ErrFramesWaiting.
func IsErrFramesWaiting(err error) bool {
	var e ErrFramesWaiting
	return errors.As(err, &e)
}

// frameMemory is the memory for the large frames under way on one link. A frame reserves its whole length before its body is
// read, so that those under way can always end. It is created by newFrameMemory.
type frameMemory struct {
	free *semaphore.Weighted

	mu sync.Mutex
	// waitingWindow is the sum of the receive windows of the streams that wait, in bytes.
	waitingWindow int
}

func newFrameMemory() *frameMemory {
	return &frameMemory{free: semaphore.NewWeighted(frameMemoryBytes)}
}

// reserve reserves bytes, in the order of the calls, and waits for them until ctx ends. window is the receive window of the stream.
func (f *frameMemory) reserve(ctx context.Context, bytes, window int) (release func(), err error) {
	release = func() { f.free.Release(int64(bytes)) }
	if f.free.TryAcquire(int64(bytes)) {
		return release, nil
	}
	if !f.beginWait(window) {
		return nil, ErrFramesWaiting{Bytes: bytes}
	}
	defer f.endWait(window)
	if f.free.Acquire(ctx, int64(bytes)) != nil {
		return nil, context.Cause(ctx)
	}
	return release, nil
}

// beginWait counts a stream that waits, and reports whether it may.
func (f *frameMemory) beginWait(window int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waitingWindow+window > maxWaitingWindow {
		return false
	}
	f.waitingWindow += window
	return true
}

func (f *frameMemory) endWait(window int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waitingWindow -= window
}
