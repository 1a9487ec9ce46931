package replication

import (
	"context"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// senderQueueSize limits the messages queued for one peer. Further messages are dropped;
	// package quorum sends them again.
	senderQueueSize = 256
	// minDialInterval is the minimum time between the starts of two attempts to connect to a
	// peer. minDialPause is the minimum time between the end of one and the start of the next.
	minDialInterval = time.Second
	minDialPause    = 250 * time.Millisecond
)

// sender keeps a stream to one peer open and sends this host's messages over it.
type sender struct {
	log   *Log
	peer  host.ID
	queue chan quorum.Message
	// reachable receives a value when the peer has connected to this host.
	reachable chan struct{}
}

func newSender(l *Log, peer host.ID) *sender {
	return &sender{
		log: l, peer: peer, queue: make(chan quorum.Message, senderQueueSize), reachable: make(chan struct{}, 1),
	}
}

// notifyReachable ends the pause before the next attempt to connect.
func (s *sender) notifyReachable() {
	select {
	case s.reachable <- struct{}{}:
	default:
	}
}

// enqueue queues a message. It drops the message if the queue is full.
func (s *sender) enqueue(m quorum.Message) {
	select {
	case s.queue <- m:
	default:
	}
}

func (s *sender) run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.attempt(ctx)
	}
	return nil
}

// attempt connects to the peer's present address, sends until the stream ends, and pauses. It returns at once when the address changes.
func (s *sender) attempt(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	address := s.log.opts.Voters.Address(s.peer)
	go func() {
		defer cancel()
		s.log.opts.Voters.AwaitMove(ctx, s.peer, address)
	}()
	started := time.Now()
	s.connect(ctx, address)
	s.pause(ctx, max(minDialPause, minDialInterval-time.Since(started)))
}

// pause waits for d before the next attempt, or until the peer has connected to this host. It drops the messages queued meanwhile,
// since they would be stale by then.
func (s *sender) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-s.reachable:
			return
		case <-s.queue:
		}
	}
}

// connect opens a stream to address and sends queued messages over it until the stream or ctx ends.
func (s *sender) connect(ctx context.Context, address string) {
	stream, err := s.log.opts.Pool.Open(ctx, address)
	if err != nil {
		return
	}
	defer stream.Cancel()
	stop := stream.CancelOn(ctx)
	defer stop()
	if stream.Peer().Host != s.peer || stream.Peer().Role != host.RoleControl {
		event.FrameRejected.On(s.log.opts.Logger).Str("peer", stream.Peer().String()).
			Str("reason", "not the control host of this address").Msg("")
		// The process at this address may become the peer soon. Only a new link, with a new
		// certificate, shows that.
		s.log.opts.Pool.Drop(address)
		return
	}
	event.QuorumPeerConnected.On(s.log.opts.Logger).Str("peer", string(s.peer)).Msg("")
	closed := make(chan struct{})
	go func() {
		// The peer sends nothing on this stream, so Receive returns only when the stream ends.
		defer close(closed)
		_, _ = stream.Receive()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case m := <-s.queue:
			if s.send(stream, m) != nil {
				return
			}
		}
	}
}

func (s *sender) send(stream *transport.Stream, m quorum.Message) error {
	body, err := m.Encode()
	if err != nil {
		return err
	}
	return stream.Send(&message.Quorum{Body: body})
}

// Serve handles the messages of a peer's stream until the stream or ctx ends. The caller has
// already received the first frame of the stream and passes it as first.
func (l *Log) Serve(ctx context.Context, stream *transport.Stream, first *message.Quorum) {
	peer := stream.Peer()
	if _, known := slices.BinarySearch(l.hosts, peer.Host); !known || peer.Role != host.RoleControl || peer.Host == l.opts.Self {
		l.refuse(stream, "not a control host of this quorum")
		return
	}
	stop := stream.CancelOn(ctx)
	defer stop()
	l.senders[peer.Host].notifyReachable()
	for frame := first; ; {
		m, err := quorum.Decode(frame.Body, peer.Host, l.opts.Self)
		if err != nil {
			l.refuse(stream, err.Error())
			return
		}
		select {
		case l.inputs <- inputEvent{event: quorum.Received{Message: m}}:
		case <-ctx.Done():
			return
		case <-l.done:
			return
		}
		next, err := stream.Receive()
		if err != nil {
			return
		}
		var ok bool
		if frame, ok = next.(*message.Quorum); !ok {
			l.refuse(stream, "not a quorum frame")
			return
		}
	}
}

func (l *Log) refuse(stream *transport.Stream, reason string) {
	event.FrameRejected.On(l.opts.Logger).Str("peer", stream.Peer().String()).Str("reason", reason).Msg("")
	stream.Cancel()
}
