package replication

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// senderQueue bounds the messages that wait for one peer; more are dropped, and
	// the protocol sends them again.
	senderQueue = 256
	// redialEvery is the least time between the starts of two attempts to reach a
	// peer, and redialAfter that between the end of one and the start of the next.
	redialEvery = time.Second
	redialAfter = 250 * time.Millisecond
)

// sender keeps one stream to a peer and sends it this host's messages.
type sender struct {
	log   *Log
	peer  host.ID
	queue chan quorum.Message
	// moved says that the peer's address has changed.
	moved chan struct{}
}

func newSender(l *Log, peer host.ID) *sender {
	return &sender{log: l, peer: peer, queue: make(chan quorum.Message, senderQueue), moved: make(chan struct{}, 1)}
}

// move ends the stream to the peer's old address.
func (s *sender) move() {
	select {
	case s.moved <- struct{}{}:
	default:
	}
}

// offer queues a message, unless too many wait.
func (s *sender) offer(m quorum.Message) {
	select {
	case s.queue <- m:
	default:
	}
}

func (s *sender) run(ctx context.Context) error {
	for ctx.Err() == nil {
		begun := time.Now()
		s.connect(ctx)
		s.pause(ctx, max(redialAfter, redialEvery-time.Since(begun)))
	}
	return nil
}

// pause waits before the next attempt. What was queued meanwhile is stale.
func (s *sender) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-s.queue:
		}
	}
}

// connect opens a stream and sends over it until it fails.
func (s *sender) connect(ctx context.Context) {
	address := s.log.addresses.of(s.peer)
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
		// The process there may take the peer's place in a moment; a new link tells.
		s.log.opts.Pool.Drop(address)
		return
	}
	event.QuorumPeerConnected.On(s.log.opts.Logger).Str("peer", string(s.peer)).Msg("")
	ended := make(chan struct{})
	go func() {
		// The peer sends nothing on this stream, so this returns when it has ended.
		defer close(ended)
		_, _ = stream.Receive()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-s.moved:
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

// Serve takes in the messages of a peer's stream until it ends. The control daemon
// calls it for a stream whose first frame is first.
func (l *Log) Serve(ctx context.Context, stream *transport.Stream, first *message.Quorum) {
	peer := stream.Peer()
	if _, known := l.opts.Hosts[peer.Host]; !known || peer.Role != host.RoleControl || peer.Host == l.opts.Self {
		l.refuse(stream, "not a control host of this quorum")
		return
	}
	stop := stream.CancelOn(ctx)
	defer stop()
	for frame := first; ; {
		m, err := quorum.Decode(frame.Body, peer.Host, l.opts.Self)
		if err != nil {
			l.refuse(stream, err.Error())
			return
		}
		select {
		case l.events <- inputEvent{event: quorum.Received{Message: m}}:
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
