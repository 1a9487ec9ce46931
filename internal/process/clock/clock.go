// Package clock tells the time on a monotonic clock that also counts the time for which the host was suspended. Go's own
// monotonic clock stands still meanwhile.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is counted. Two clocks that are read one after the other may differ by less.
const minSuspension = 50 * time.Millisecond

// suspended is the time for which the host was suspended since the process started, in nanoseconds.
var suspended atomic.Int64

// initialGap is the gap between the clocks when the process started.
var initialGap = gap()

// Now returns the time. The difference of two results is the time that passed between the calls, suspensions included. It
// must not be compared with a result of time.Now.
func Now() time.Time {
	current := gap() - initialGap
	if counted := suspended.Load(); current-time.Duration(counted) >= minSuspension {
		suspended.CompareAndSwap(counted, int64(current))
	}
	return time.Now().Add(time.Duration(suspended.Load()))
}

// Since returns the time that has passed since t, a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// mocked is the length of the suspensions that tests have mocked, in nanoseconds.
var mocked atomic.Int64

// MockSuspension lets Now count a suspension of length d, for tests, until the function that it returns is called.
func MockSuspension(d time.Duration) (undo func()) {
	mocked.Add(int64(d))
	return func() {
		mocked.Add(-int64(d))
		suspended.Store(0)
	}
}

// gap returns by how much the clock that counts suspensions is ahead of the one that doesn't.
func gap() time.Duration {
	return read(unix.CLOCK_BOOTTIME) - read(unix.CLOCK_MONOTONIC) + time.Duration(mocked.Load())
}

// read returns the time on a clock of the system, or 0 if it has no such clock.
func read(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
