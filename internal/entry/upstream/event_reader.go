package upstream

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventSize bounds one event of a stream, in bytes.
const maxEventSize = 1 << 20

// Event is one complete event of a text/event-stream body.
type Event struct {
	// Bytes holds the event as the endpoint sent it, with the empty line at its end.
	Bytes []byte
	// ID is the event's id field, empty if it has none.
	ID string
}

// EventReader reads the events of a text/event-stream body. It returns complete events only.
type EventReader struct {
	source io.Reader
	buf    []byte
	// scanned is the length of the part of buf that is known to hold no end of an event.
	scanned int
	err     error
	// reserved is the size of buf that has been reserved at the source, in bytes.
	reserved int
}

// reserver is a source that bounds the memory of its reader. Exchange is one.
type reserver interface{ Reserve(n int) bool }

// NewEventReader returns a reader of the events in a response's body.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next returns the next event. Its bytes are valid until the next call. At the end of the
// stream it returns io.EOF, or an ErrInterrupted if the stream ends within an event.
func (e *EventReader) Next() (Event, error) {
	for {
		if end := eventLength(e.buf[e.scanned:]); end > 0 {
			whole := e.buf[:e.scanned+end]
			e.buf, e.scanned = e.buf[len(whole):], 0
			return Event{Bytes: whole, ID: eventID(whole)}, nil
		}
		e.scanned = max(0, len(e.buf)-3)
		if e.err != nil {
			return Event{}, e.endError()
		}
		e.fill()
	}
}

// Buffered reports whether Next can return an event without reading.
func (e *EventReader) Buffered() bool { return eventLength(e.buf) > 0 }

// endError returns the error for the end of the stream.
func (e *EventReader) endError() error {
	if errors.Is(e.err, io.EOF) && len(bytes.TrimSpace(e.buf)) > 0 {
		return ErrInterrupted{Cause: io.ErrUnexpectedEOF}
	}
	return e.err
}

// fill reads more bytes into buf.
func (e *EventReader) fill() {
	if len(e.buf) > maxEventSize {
		e.err = ErrInterrupted{Cause: errors.New("an event is too large")}
		return
	}
	size := min(len(e.buf)+max(minReadSize, len(e.buf)/2), maxEventSize+minReadSize)
	if cap(e.buf)-len(e.buf) < minReadSize/2 && !e.grow(size) {
		e.err = ErrInterrupted{Cause: errTooMuch}
		return
	}
	n, err := e.source.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	e.err = err
}

// grow moves buf to a buffer of another size. It returns false if the source doesn't allow that.
func (e *EventReader) grow(size int) bool {
	if r, ok := e.source.(reserver); ok && !r.Reserve(size-e.reserved) {
		return false
	}
	e.reserved = size
	e.buf = append(make([]byte, 0, size), e.buf...)
	return true
}

// eventLength returns the length of the first complete event in b, or 0 if there is none.
func eventLength(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		if at < len(b) && b[at] == '\n' {
			return at + 1
		}
		if at+1 < len(b) && b[at] == '\r' && b[at+1] == '\n' {
			return at + 2
		}
	}
}

// eventID returns the value of an event's id field, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
