package httpserver

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// deadlineListener is a listener whose Accept can be given a time limit, as those of sockets.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// stopAccepting lets the listener accept connections for acceptTime and then end: those that callers have opened lie in a queue of the
// operating system, which the end of the listener resets. It returns a channel that is closed when no connection is accepted any more.
func (s *Server) stopAccepting() <-chan struct{} {
	again := s.stopping.Swap(true)
	listener := s.listener.Load()
	switch {
	case listener == nil:
		none := make(chan struct{})
		close(none)
		return none
	case again:
		return s.accepted
	}
	l, ok := (*listener).(deadlineListener)
	if !ok || l.SetDeadline(time.Now().Add(acceptTime)) != nil {
		_ = (*listener).Close() // Serve returns its error.
	}
	return s.accepted
}

const (
	// drainWindow is how long the queue of a listener has to be empty before it ends.
	drainWindow = 500 * time.Microsecond
	// maxDrainWindows bounds the number of these times, since others may connect without end.
	maxDrainWindows = 100
)

// queueDrain takes what lies in the queue of a listener when acceptTime is over, which a busy process sees late. The zero value has not begun.
// Only the goroutine that accepts uses it.
type queueDrain struct {
	windows int
	// accepted says that there was a connection in the present window.
	accepted bool
}

// next begins another window, and reports whether there is one.
func (d *queueDrain) next(l deadlineListener) bool {
	if d.windows > 0 && !d.accepted || d.windows == maxDrainWindows {
		return false
	}
	d.windows++
	d.accepted = false
	return l.SetDeadline(time.Now().Add(drainWindow)) == nil
}

// acceptNext returns the next connection. The end of acceptTime is that of the listener: net/http would try again after another error.
func (l limitedListener) acceptNext() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		limited, ok := l.Listener.(deadlineListener)
		if !ok || !l.server.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			l.server.drain.accepted = true
			return c, err
		}
		if !l.server.drain.next(limited) {
			return nil, net.ErrClosed
		}
	}
}
