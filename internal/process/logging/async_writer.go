package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// maxPendingBytes bounds the lines that wait to be written.
	maxPendingBytes = 512 << 10
	// flushDelay is how long a line waits for others, so that many go out in one write.
	flushDelay = 50 * time.Millisecond
	// closeTimeout bounds the wait for the last lines at the end of a process.
	closeTimeout = 500 * time.Millisecond
)

// AsyncWriter writes lines in the background. A reader that stops reading never holds up the
// one who logs: lines for which there is no room are dropped and counted. Use NewOutput.
type AsyncWriter struct {
	to      io.Writer
	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns an output to w. Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	o := &AsyncWriter{to: w, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

// Write takes in a whole line. It never blocks and never fails.
func (o *AsyncWriter) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending)+len(line) > maxPendingBytes {
		o.dropped++
		return len(line), nil
	}
	o.pending = append(o.pending, line...)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not yet reported.
func (o *AsyncWriter) Dropped() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Close writes what waits, if that does not take long.
func (o *AsyncWriter) Close() {
	close(o.closing)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-o.done:
	case <-timer.C:
	}
}

func (o *AsyncWriter) run() {
	defer close(o.done)
	var buf []byte
	for {
		select {
		case <-o.wake:
		case <-o.closing:
			o.flush(buf)
			return
		}
		timer := time.NewTimer(flushDelay)
		select {
		case <-timer.C:
		case <-o.closing:
		}
		timer.Stop()
		buf = o.flush(buf)
	}
}

// flush writes all pending lines and returns the buffer for the next ones.
func (o *AsyncWriter) flush(spare []byte) []byte {
	o.mu.Lock()
	lines, dropped := o.pending, o.dropped
	o.pending, o.dropped = spare[:0], 0
	o.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, droppedLine(dropped)...)
	}
	_, _ = o.to.Write(lines) // There is nowhere left to tell of a failure.
	return lines
}

func droppedLine(count int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"time":%q,"level":%q,"event":%d,"name":%q,"count":%d}`+"\n", time.Now().UTC().Format(timeFormat),
		event.LinesDropped.Level.String(), event.LinesDropped.Number, event.LinesDropped.Name, count)
	return b.Bytes()
}
