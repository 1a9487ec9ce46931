package server

import (
	"sync/atomic"
	"time"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
)

// beatLink is a member's call to the head of its replica. A nil one is closed.
type beatLink struct {
	server   *Server
	stream   *transport.Stream
	replica  replica.ID
	fence    replica.Fence
	address  string
	sequence uint64
	echo     atomic.Uint64
	// acked is when the last ack came, in Unix nanoseconds.
	acked atomic.Int64
	ended atomic.Bool
}

// serves reports whether the link is still the one to use. A link on which no ack
// came for BeatTimeout may have gone silent: it is replaced by a new one.
func (l *beatLink) serves(place replica.Replica, now time.Time) bool {
	if l == nil || l.ended.Load() || l.replica != place.ID || l.fence != place.Fence {
		return false
	}
	if now.Sub(time.Unix(0, l.acked.Load())) < gate.BeatTimeout {
		return true
	}
	l.server.opts.Pool.Drop(l.address)
	return false
}

func (l *beatLink) receive() {
	defer l.ended.Store(true)
	for {
		m, err := l.stream.Receive()
		if err != nil {
			return
		}
		ack, ok := m.(*message.BeatAck)
		if !ok {
			return
		}
		l.acked.Store(time.Now().UnixNano())
		l.echo.Store(ack.Sequence)
		l.server.acked(ack)
	}
}

func (l *beatLink) close() {
	if l != nil {
		l.stream.Cancel()
	}
}

// acked takes a head's ack. A member that is to leave may do so once the head runs
// nothing, and takes nothing more.
func (s *Server) acked(ack *message.BeatAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beatAck = time.Now()
	s.headIdle = s.gate.Draining() && (ack.Idle || ack.Stale)
}

// unusedLocked reports whether the replica runs nothing that needs this host: on
// its head, no generation; on a member, the head is idle or gone.
func (s *Server) unusedLocked() bool {
	at := s.reading()
	if !s.gate.MayBeat(at) {
		return s.generationsLocked() == 0
	}
	return s.headIdle || at.Now.Sub(s.beatAck) > 2*gate.BeatTimeout
}
