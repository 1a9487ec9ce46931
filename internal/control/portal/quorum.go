package portal

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// voteCheckInterval is the time between two checks whether this host still has its vote.
	voteCheckInterval = 250 * time.Millisecond
	// maxLeaderSilence is the time without a message of the leader after which a host asks whether it still has its vote. It is three
	// heartbeats, so that a host that goes on after a standstill doesn't wait for an election timeout.
	maxLeaderSilence = 3 * quorum.DefaultHeartbeatInterval
)

// errVoteLost ends a voter's work when another process has its vote for good.
var errVoteLost = errors.New("another process has the vote of this host")

// joinQuorum discovers the set of control hosts and works as a voter. If its vote is moved to another process while it stands still, it
// asks for another vote, like a host with an empty disk. Its journal keeps the log.
func (p *Portal) joinQuorum(ctx context.Context) error {
	for ctx.Err() == nil {
		id, err := p.discovery.Run(ctx)
		if journal.IsErrDiskFull(err) || journal.IsErrIO(err) {
			event.JournalFailed.On(p.opts.Logger).Str("reason", err.Error()).Msg("")
			pause.For(ctx, reopenDelay)
			continue
		}
		if err != nil {
			return err
		}
		if err := p.assumeVoter(id); err != nil {
			return err
		}
		if err := p.runVoter(ctx, id); !errors.Is(err, errVoteLost) {
			return err
		}
		if err := p.leaveQuorum(); err != nil {
			return err
		}
	}
	return nil
}

// runVoter runs the log and forwards the announcements that arrive here to the other control hosts. It returns errVoteLost if another process has
// this host's vote for good.
func (p *Portal) runVoter(ctx context.Context, id host.ID) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, peer := range p.voters.Hosts() {
		if peer != id {
			group.Go(func() error { return p.gossip(ctx, peer) })
		}
	}
	group.Go(func() error { return p.saveVoters(ctx) })
	group.Go(func() error { return p.watchVote(ctx, id) })
	group.Go(func() error { return p.runLog(ctx) })
	return group.Wait()
}

// assumeVoter makes this process a voter of the quorum, by whose ID its links identify it.
func (p *Portal) assumeVoter(id host.ID) error {
	if err := p.identify(id); err != nil {
		return err
	}
	if id != p.opts.Self {
		event.SeatTaken.On(p.opts.Logger).Str("seat", string(id)).Str("address", p.opts.LinkAddress).Msg("")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.voterID = id
	return nil
}

// leaveQuorum makes this process one without a vote again.
func (p *Portal) leaveQuorum() error {
	p.mu.Lock()
	p.voterID = ""
	p.mu.Unlock()
	return p.identify(p.opts.Self)
}

// identify makes all links identify this process by id.
func (p *Portal) identify(id host.ID) error {
	if id == p.linkID {
		return nil
	}
	if err := p.opts.Rename(id); err != nil {
		return err
	}
	p.linkID = id
	p.opts.Pool.CloseOutdated()
	return nil
}

// watchVote asks the other control hosts whether this host still has its vote, while the leader is silent or its own state says that the vote
// was moved. It returns errVoteLost once the vote is lost for good, which is saved on disk by then.
func (p *Portal) watchVote(ctx context.Context, id host.ID) error {
	for pause.For(ctx, voteCheckInterval) {
		l := p.currentLog()
		if l == nil || !p.doubtsVote(l.Status()) {
			continue
		}
		disk := l.Status().Generation
		if !p.discovery.AskVote(ctx, id, disk) {
			continue
		}
		event.SeatLost.On(p.opts.Logger).Str("seat", string(id)).Uint64("generation", uint64(disk)).Msg("")
		if err := p.discovery.GiveUp(); err != nil {
			event.JournalFailed.On(p.opts.Logger).Str("reason", err.Error()).Msg("")
			continue
		}
		return errVoteLost
	}
	return nil
}

// doubtsVote reports whether another process may have this host's vote.
func (p *Portal) doubtsVote(s replication.Status) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	moved := p.voters.Address(p.voterID) != p.opts.LinkAddress
	return moved || !s.IsLeader() && (s.Leader == "" || s.LeaderSilence >= maxLeaderSilence)
}

// currentVoter returns this host's ID in the quorum, or "" if it has no vote.
func (p *Portal) currentVoter() host.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.voterID
}
