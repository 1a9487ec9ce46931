package server

import (
	"sync/atomic"
	"time"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
)

// headLink is the stream over which a member sends heartbeats to the head of its
// replica. A nil headLink is closed.
type headLink struct {
	server   *Server
	stream   *transport.Stream
	replica  replica.ID
	fence    replica.Fence
	address  string
	sequence uint64
	// echo is the sequence number of the last ack, which the next heartbeat echoes.
	echo atomic.Uint64
	// lastAckNanos is the time at which the last ack arrived, in Unix nanoseconds.
	lastAckNanos atomic.Int64
	closed       atomic.Bool
}

// usable reports whether the link can be used for another heartbeat. If no ack has
// arrived for gate.HeartbeatTimeout, the connection may be dead: it is dropped from
// the pool, and the caller must dial again.
func (l *headLink) usable(assigned replica.Replica, now time.Time) bool {
	if l == nil || l.closed.Load() || l.replica != assigned.ID || l.fence != assigned.Fence {
		return false
	}
	if now.Sub(time.Unix(0, l.lastAckNanos.Load())) < gate.HeartbeatTimeout {
		return true
	}
	l.server.opts.Pool.Drop(l.address)
	return false
}

func (l *headLink) receive() {
	defer l.closed.Store(true)
	for {
		m, err := l.stream.Receive()
		if err != nil {
			return
		}
		ack, ok := m.(*message.BeatAck)
		if !ok {
			return
		}
		l.lastAckNanos.Store(time.Now().UnixNano())
		l.echo.Store(ack.Sequence)
		l.server.recordAck(ack)
	}
}

func (l *headLink) close() {
	if l != nil {
		l.stream.Cancel()
	}
}

// recordAck records an ack from the head. A draining member may leave once the head
// runs no generation and accepts no more, or no longer knows the member.
func (s *Server) recordAck(ack *message.BeatAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeadAck = time.Now()
	s.headIdle = s.gate.Draining() && (ack.Idle || ack.Stale)
}

// unusedLocked reports whether no work in progress needs this host. For a host that
// sends no heartbeats, such as the head, this means that it runs no generation. For
// another member it means that the head is idle, or that no ack has arrived for twice
// gate.HeartbeatTimeout, so that the head is gone.
func (s *Server) unusedLocked() bool {
	at := s.leaseStatus()
	if !s.gate.MaySendHeartbeat(at) {
		return s.generationsLocked() == 0
	}
	return s.headIdle || at.Now.Sub(s.lastHeadAck) > 2*gate.HeartbeatTimeout
}
