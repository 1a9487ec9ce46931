package portal

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// questionTimeout bounds the confirmation of questions. Gateways ask again.
	questionTimeout = time.Second
	// questionRetryDelay is the pause after a confirmation has failed.
	questionRetryDelay = 100 * time.Millisecond
)

// answerQuestions answers the questions of gateways until ctx ends: the urgent ones by a confirmation at once, the others by one with
// the heartbeats that are sent anyway.
func (p *Portal) answerQuestions(ctx context.Context, urgent bool) error {
	for ctx.Err() == nil {
		open, next := p.questions.unanswered(urgent)
		if len(open) == 0 {
			select {
			case <-ctx.Done():
			case <-next:
			}
			continue
		}
		if err := p.confirmVersion(ctx, urgent); err != nil {
			if !replication.IsErrNotLeader(err) {
				event.QuestionsUnanswered.On(p.opts.Logger).Int("questions", len(open)).Err(err).Msg("")
			}
			pause.For(ctx, questionRetryDelay)
			continue
		}
		p.questions.answer(open)
	}
	return nil
}

// confirmVersion returns nil once this host holds the configuration and the evacuations that are in force at some time after the call. A
// host that does not lead asks the leader for its version.
func (p *Portal) confirmVersion(ctx context.Context, urgent bool) error {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	l := p.currentLog()
	if l == nil {
		return replication.ErrNotLeader{}
	}
	status := l.Status()
	if status.IsLeader() {
		return confirmLeadership(ctx, l, urgent)
	}
	if status.LeaderAddress == "" {
		return replication.ErrNotLeader{}
	}
	answer, err := p.queryVersion(ctx, status.LeaderAddress, urgent)
	if err != nil {
		return err
	}
	return p.awaitVersion(ctx, answer)
}

func confirmLeadership(ctx context.Context, l *replication.Log, urgent bool) error {
	if urgent {
		return l.Barrier(ctx)
	}
	return l.LazyBarrier(ctx)
}

// callLeader sends a request to the leader and returns the answer. It ends once another host leads, or none: the one that is asked may be
// down.
func (p *Portal) callLeader(ctx context.Context, leader string, request message.Message) (message.Message, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.cancelUnlessLeading(ctx, cancel, leader)
	stream, err := p.opts.Pool.Open(ctx, leader)
	if err != nil {
		return nil, err
	}
	defer stream.Cancel()
	defer stream.CancelOn(ctx)()
	if err := stream.Send(request); err != nil {
		return nil, err
	}
	return stream.Receive()
}

// queryVersion asks the leader which version of the configuration and of the evacuations is in force.
func (p *Portal) queryVersion(ctx context.Context, leader string, urgent bool) (*message.VersionAnswer, error) {
	m, err := p.callLeader(ctx, leader, &message.VersionQuery{Urgent: urgent})
	if err != nil {
		return nil, err
	}
	answer, ok := m.(*message.VersionAnswer)
	if !ok || !answer.Confirmed {
		return nil, replication.ErrNotLeader{}
	}
	return answer, nil
}

// cancelUnlessLeading calls cancel once this host does not take the host at address for the leader any more. It returns when ctx ends.
func (p *Portal) cancelUnlessLeading(ctx context.Context, cancel context.CancelFunc, address string) {
	for {
		changed := p.changeNotify()
		if p.leaderAddress() != address {
			cancel()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// serveVersionQuery answers another control host. Only the leader confirms.
func (p *Portal) serveVersionQuery(ctx context.Context, s *transport.Stream, m *message.VersionQuery) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	answer := &message.VersionAnswer{}
	if l := p.currentLog(); l != nil && confirmLeadership(ctx, l, m.Urgent) == nil {
		answer.Confirmed, answer.Version = true, p.machine.Current().Version
		answer.EvacuationRevision = p.machine.Evacuations().Revision
	}
	_ = s.Answer(answer) // The host asks again.
}

// awaitVersion waits until this host holds what the leader has confirmed, or later states of it.
func (p *Portal) awaitVersion(ctx context.Context, confirmed *message.VersionAnswer) error {
	for {
		changed := p.machine.Changed()
		if p.machine.Current().Version >= confirmed.Version && p.machine.Evacuations().Revision >= confirmed.EvacuationRevision {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
