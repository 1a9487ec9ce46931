package transport

import (
	"net"
	"sync"
)

// sockets are the sockets of the links that an endpoint has dialled.
type sockets struct {
	mu     sync.Mutex
	open   map[net.PacketConn]struct{}
	closed bool
}

// add takes a socket in. After close it closes the socket instead, and reports false.
func (s *sockets) add(pc net.PacketConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = pc.Close()
		return false
	}
	if s.open == nil {
		s.open = map[net.PacketConn]struct{}{}
	}
	s.open[pc] = struct{}{}
	return true
}

func (s *sockets) remove(pc net.PacketConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, pc)
	_ = pc.Close()
}

func (s *sockets) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for pc := range s.open {
		_ = pc.Close()
	}
	s.open = nil
}
