package server

import (
	"sync/atomic"
	"time"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/clock"
)

// headStream is the stream over which a member sends heartbeats to the head of its
// replica. A nil headStream is closed.
type headStream struct {
	server   *Server
	stream   *transport.Stream
	replica  replica.ID
	fence    replica.Fence
	address  string
	sequence uint64
	// echo is the sequence number of the last ack, which the next heartbeat echoes.
	echo atomic.Uint64
	// acked is set when an ack arrives.
	acked  clock.Mark
	closed atomic.Bool
}

// usable reports whether the stream can be used for another heartbeat. If no ack has
// arrived for gate.HeartbeatTimeout, its link may be dead: the link is dropped from the
// pool, and the stream must be opened again.
func (h *headStream) usable(assigned replica.Replica) bool {
	if h == nil || h.closed.Load() || h.replica != assigned.ID || h.fence != assigned.Fence {
		return false
	}
	if h.acked.Age() < gate.HeartbeatTimeout {
		return true
	}
	h.server.opts.Pool.Drop(h.address)
	return false
}

func (h *headStream) receive() {
	defer h.closed.Store(true)
	for {
		m, err := h.stream.Receive()
		if err != nil {
			return
		}
		ack, ok := m.(*message.BeatAck)
		if !ok {
			return
		}
		h.acked.Set()
		h.echo.Store(ack.Sequence)
		h.server.recordAck(ack)
	}
}

func (h *headStream) close() {
	if h != nil {
		h.stream.Cancel()
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
