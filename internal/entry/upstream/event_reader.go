package upstream

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// Event is one whole event of a stream (text/event-stream).
type Event struct {
	// Bytes are the event as the endpoint sent it, the empty line at its end included.
	Bytes []byte
	// ID is the event's id, empty if it has none.
	ID string
}

// EventReader reads the events of a stream. An event that is cut off in its middle is never
// returned.
type EventReader struct {
	source io.Reader
	buf    []byte
	// scanned is how much of buf holds no end of an event.
	scanned int
	err     error
}

// NewEventReader reads from an answer's body.
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next returns the next event. Its bytes are valid until the next call. At the end of the
// stream it returns io.EOF; if that cuts an event off, an ErrBroken.
func (e *EventReader) Next() (Event, error) {
	for {
		if end := eventEnd(e.buf[e.scanned:]); end > 0 {
			whole := e.buf[:e.scanned+end]
			e.buf, e.scanned = e.buf[len(whole):], 0
			return Event{Bytes: whole, ID: eventID(whole)}, nil
		}
		e.scanned = max(0, len(e.buf)-3)
		if e.err != nil {
			return Event{}, e.end()
		}
		e.fill()
	}
}

// Buffered reports whether another whole event can be returned without waiting.
func (e *EventReader) Buffered() bool { return eventEnd(e.buf) > 0 }

func (e *EventReader) end() error {
	if errors.Is(e.err, io.EOF) && len(bytes.TrimSpace(e.buf)) > 0 {
		return ErrInterrupted{Cause: io.ErrUnexpectedEOF}
	}
	return e.err
}

func (e *EventReader) fill() {
	if len(e.buf) > maxEvent {
		e.err = ErrInterrupted{Cause: errors.New("an event is too large")}
		return
	}
	const room = 4 << 10
	if cap(e.buf)-len(e.buf) < room/2 {
		e.buf = append(make([]byte, 0, len(e.buf)+room), e.buf...)
	}
	n, err := e.source.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	e.err = err
}

// eventEnd returns the length of the first whole event in b, 0 if there is none.
func eventEnd(b []byte) int {
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

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
