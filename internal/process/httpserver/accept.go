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

// acceptNext returns the next connection. The end of acceptTime is that of the listener: net/http would try again after another error.
func (l limitedListener) acceptNext() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if l.server.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	return c, err
}
