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
	// outputRoom bounds the lines that wait to be written.
	outputRoom = 512 << 10
	// outputEvery is how long a line waits for others, so that many go out in one write.
	outputEvery = 50 * time.Millisecond
	// closeWait bounds the wait for the last lines at the end of a process.
	closeWait = 500 * time.Millisecond
)

// Output writes lines in the background. A reader that stops reading never holds up the
// one who logs: lines for which there is no room are dropped and counted. Use NewOutput.
type Output struct {
	to      io.Writer
	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
}

// NewOutput returns an output to w. Close ends it.
func NewOutput(w io.Writer) *Output {
	o := &Output{to: w, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

// Write takes in a whole line. It never blocks and never fails.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending)+len(line) > outputRoom {
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
func (o *Output) Dropped() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Close writes what waits, if that does not take long.
func (o *Output) Close() {
	close(o.closing)
	timer := time.NewTimer(closeWait)
	defer timer.Stop()
	select {
	case <-o.done:
	case <-timer.C:
	}
}

func (o *Output) run() {
	defer close(o.done)
	var buf []byte
	for {
		select {
		case <-o.wake:
		case <-o.closing:
			o.flush(buf)
			return
		}
		timer := time.NewTimer(outputEvery)
		select {
		case <-timer.C:
		case <-o.closing:
		}
		timer.Stop()
		buf = o.flush(buf)
	}
}

// flush writes all pending lines and returns the buffer for the next ones.
func (o *Output) flush(spare []byte) []byte {
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
