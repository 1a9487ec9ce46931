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

// serveHeartbeats receives the heartbeats of one member and sends the acks.
func (s *Server) serveHeartbeats(stream *transport.Stream, first *message.Beat) {
	var m message.Message = first
	for {
		b, ok := m.(*message.Beat)
		if !ok || b.Host != stream.Peer().Host {
			s.rejectFrame(stream, m)
			return
		}
		s.mu.Lock()
		now := time.Now()
		ack := s.gate.RecordHeartbeat(now, b)
		ack.Idle = b.Draining && s.generationsLocked() == 0
		closed := !s.gateOpen
		s.mu.Unlock()
		if closed || b.Draining {
			signal(s.gateChanged)
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

// generationsLocked returns the number of generations in progress.
func (s *Server) generationsLocked() int {
	n := 0
	for _, r := range s.running {
		if r.dispatch.Generate != nil {
			n++
		}
	}
	return n
}

// sendHeartbeats sends heartbeats to the head of the host's replica whenever the host
// is another member of it, until ctx is done.
func (s *Server) sendHeartbeats(ctx context.Context) error {
	if s.engine == nil {
		return nil
	}
	var hs *headStream
	defer func() { hs.close() }()
	for {
		s.await(ctx, s.sendsHeartbeatsLocked)
		if !pause.For(ctx, gate.HeartbeatInterval) {
			return nil
		}
		hs = s.sendHeartbeat(ctx, hs)
	}
}

// sendsHeartbeatsLocked reports whether the host belongs to a replica and is not its
// head.
func (s *Server) sendsHeartbeatsLocked() bool {
	_, _, hasReplica := s.gate.AssignedReplica()
	return hasReplica && !s.gate.IsHead()
}

// sendHeartbeat sends one heartbeat over hs, or over a new stream if hs cannot be used.
// It returns the stream for the next heartbeat, or nil.
func (s *Server) sendHeartbeat(ctx context.Context, hs *headStream) *headStream {
	at := s.leaseStatus()
	s.mu.Lock()
	assigned, addresses, _ := s.gate.AssignedReplica()
	maySend := s.gate.MaySendHeartbeat(at)
	draining := s.gate.Draining()
	s.mu.Unlock()
	if !maySend || len(addresses) == 0 {
		hs.close()
		return nil
	}
	if !hs.usable(assigned) {
		hs.close()
		hs = s.openHeadStream(ctx, assigned, addresses[0])
	}
	if hs == nil {
		return nil
	}
	hs.sequence++
	err := hs.stream.Send(&message.Beat{
		Replica: assigned.ID, Fence: assigned.Fence, Host: s.opts.Info.ID, Incarnation: s.opts.Info.Incarnation,
		Sequence: hs.sequence, Echo: hs.echo.Load(), Draining: draining,
	})
	if err != nil {
		hs.close()
		return nil
	}
	return hs
}

func (s *Server) openHeadStream(ctx context.Context, assigned replica.Replica, address string) *headStream {
	ctx, cancel := context.WithTimeout(ctx, gate.HeartbeatTimeout)
	defer cancel()
	stream, err := s.opts.Pool.Open(ctx, address)
	if err != nil {
		return nil
	}
	hs := &headStream{server: s, stream: stream, replica: assigned.ID, fence: assigned.Fence, address: address}
	hs.sequence = uint64(time.Now().UnixNano())
	hs.acked.Set()
	go hs.receive()
	return hs
}
