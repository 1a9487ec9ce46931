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
	// maxPendingBytes bounds the total size of the lines that wait to be written.
	maxPendingBytes = 512 << 10
	// flushDelay is how long a line waits for further lines, so that many are written at once.
	flushDelay = 50 * time.Millisecond
	// closeTimeout bounds how long Close waits for the last lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// AsyncWriter writes log lines in the background, so that a reader that stops reading never blocks
// the goroutine that logs. Lines beyond maxPendingBytes are dropped and counted. Use NewAsyncWriter.
type AsyncWriter struct {
	destination io.Writer
	mu          sync.Mutex
	pending     []byte
	// dropped counts the lines that were dropped since the last report of them.
	dropped int
	// notEmpty receives a value when a line has been added.
	notEmpty chan struct{}
	// closing is closed by Close, and done once the last lines have been written.
	closing chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter to destination. It must be closed.
func NewAsyncWriter(destination io.Writer) *AsyncWriter {
	w := &AsyncWriter{destination: destination, notEmpty: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one whole line. It never blocks and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.notEmpty <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last line that reported such drops.
func (w *AsyncWriter) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the pending lines. It waits for at most closeTimeout.
func (w *AsyncWriter) Close() {
	close(w.closing)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var buf []byte
	for {
		select {
		case <-w.notEmpty:
		case <-w.closing:
			w.flush(buf)
			return
		}
		timer := time.NewTimer(flushDelay)
		select {
		case <-timer.C:
		case <-w.closing:
		}
		timer.Stop()
		buf = w.flush(buf)
	}
}

// flush writes all pending lines, and one that reports how many were dropped. spare is the buffer for
// the lines to come. The buffer that is returned can be passed as spare to the next call.
func (w *AsyncWriter) flush(spare []byte) []byte {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, droppedLine(dropped)...)
	}
	_, _ = w.destination.Write(lines) // There is no other place to report an error.
	return lines
}

// droppedLine formats the event lines_dropped as JSON.
func droppedLine(count int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"time":%q,"level":%q,"event":%d,"name":%q,"count":%d}`+"\n", time.Now().UTC().Format(timeFormat),
		event.LinesDropped.Level.String(), event.LinesDropped.Number, event.LinesDropped.Name, count)
	return b.Bytes()
}
