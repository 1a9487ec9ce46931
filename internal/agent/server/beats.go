package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
)

// beats receives the heartbeats of one member and sends the acks.
func (s *Server) beats(stream *transport.Stream, first *message.Beat) {
	var m message.Message = first
	for {
		b, ok := m.(*message.Beat)
		if !ok || b.Host != stream.Peer().Host {
			s.notAllowed(stream, m)
			return
		}
		s.mu.Lock()
		now := time.Now()
		ack := s.gate.RecordHeartbeat(now, b)
		ack.Idle = b.Draining && s.generationsLocked() == 0
		closed := !s.open
		s.mu.Unlock()
		if closed || b.Draining {
			wake(s.changed)
		}
		if err := stream.Send(&ack); err != nil {
			return
		}
		var err error
		if m, err = stream.Receive(); err != nil {
			return
		}
	}
}

func (s *Server) generationsLocked() int {
	n := 0
	for _, r := range s.running {
		if r.dispatch.Generate != nil {
			n++
		}
	}
	return n
}

// beat sends heartbeats to the head of the host's replica while the host is another
// member of it.
func (s *Server) beat(ctx context.Context) error {
	if s.engine == nil {
		return nil
	}
	var to *beatLink
	defer func() { to.close() }()
	for {
		s.await(ctx, s.isMemberLocked)
		if !pause.For(ctx, gate.HeartbeatInterval) {
			return nil
		}
		to = s.beatOnce(ctx, to)
	}
}

// isMemberLocked reports whether the host belongs to a replica and is not its head.
func (s *Server) isMemberLocked() bool {
	_, _, placed := s.gate.AssignedReplica()
	return placed && !s.gate.IsHead()
}

// beatOnce sends one heartbeat over link, or over a new one if that cannot be used.
// It returns the link for the next heartbeat, or nil.
func (s *Server) beatOnce(ctx context.Context, to *beatLink) *beatLink {
	at := s.reading()
	s.mu.Lock()
	place, addresses, _ := s.gate.AssignedReplica()
	may := s.gate.MaySendHeartbeat(at)
	draining := s.gate.Draining()
	s.mu.Unlock()
	if !may || len(addresses) == 0 {
		to.close()
		return nil
	}
	if !to.serves(place, at.Now) {
		to.close()
		to = s.dialHead(ctx, place, addresses[0])
	}
	if to == nil {
		return nil
	}
	to.sequence++
	err := to.stream.Send(&message.Beat{
		Replica: place.ID, Fence: place.Fence, Host: s.opts.Info.ID, Incarnation: s.opts.Info.Incarnation,
		Sequence: to.sequence, Echo: to.echo.Load(), Draining: draining,
	})
	if err != nil {
		to.close()
		return nil
	}
	return to
}

func (s *Server) dialHead(ctx context.Context, place replica.Replica, address string) *beatLink {
	ctx, cancel := context.WithTimeout(ctx, gate.HeartbeatTimeout)
	defer cancel()
	stream, err := s.opts.Pool.Open(ctx, address)
	if err != nil {
		return nil
	}
	to := &beatLink{server: s, stream: stream, replica: place.ID, fence: place.Fence, address: address}
	to.sequence = uint64(time.Now().UnixNano())
	to.acked.Store(time.Now().UnixNano())
	go to.receive()
	return to
}
