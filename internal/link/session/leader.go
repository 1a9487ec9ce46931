package session

import (
	"time"
)

// targetAddress returns the address of the leader, or of the next control host to try
// if the leader is unknown.
func (s *Session) targetAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != "" {
		return s.leader
	}
	return s.opts.ControlAddresses[s.nextControl%len(s.opts.ControlAddresses)]
}

// markFailed records a failure of the control host at address and moves on to the next
// one.
func (s *Session) markFailed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == address {
		s.leader = ""
	}
	if s.failedAt == nil {
		s.failedAt = map[string]time.Time{}
	}
	s.failedAt[address] = time.Now()
	s.nextControl++
}

// redirect makes the control host at address to the leader, as the host at from named
// it. If from named itself, no leader, or a host that has failed within
// failedHostBackoff, the next control host is tried instead.
func (s *Session) redirect(from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to == "" || to == from || time.Since(s.failedAt[to]) < failedHostBackoff {
		s.leader = ""
		s.nextControl++
		return
	}
	s.leader = to
}
