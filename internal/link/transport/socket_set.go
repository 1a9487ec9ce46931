package transport

import (
	"net"
	"sync"
)

// socketSet holds the UDP sockets that were opened for dialed links.
type socketSet struct {
	mu     sync.Mutex
	open   map[net.PacketConn]struct{}
	closed bool
}

// add adds a socket. After close it closes the socket instead and returns false.
func (s *socketSet) add(pc net.PacketConn) bool {
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

func (s *socketSet) remove(pc net.PacketConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, pc)
	_ = pc.Close()
}

func (s *socketSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for pc := range s.open {
		_ = pc.Close()
	}
	s.open = nil
}
