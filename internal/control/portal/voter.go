package portal

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/control/voter"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// onStatusChange records since when this host knows no leader.
func (p *Portal) onStatusChange(s replication.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	knowsLeader := s.IsLeader() || s.Leader != ""
	switch {
	case knowsLeader:
		p.knewLeader, p.leaderlessSince = true, time.Time{}
	case p.knewLeader && p.leaderlessSince.IsZero():
		p.leaderlessSince = time.Now()
	}
	p.notifyLocked()
}

// answerQuery answers a control host that introduces itself. A host without a vote may get that of a voter that is lost, and a voter that
// stood still learns whether it still has its vote.
func (p *Portal) answerQuery(ctx context.Context, q *message.FounderQuery) *message.Founders {
	l := p.currentLog()
	replaced := false
	switch {
	case q.FirstStart || l == nil:
	case q.Voter != "":
		replaced = p.considerReturn(ctx, l, q)
	default:
		p.considerReplacement(ctx, l, q)
	}
	answer := p.discovery.Answer(q)
	answer.Replaced = replaced
	return answer
}

// considerReplacement lets a control host that is no voter replace a voter that is lost. Only the leader decides this, once a majority has
// confirmed that it leads: after a standstill of its own all voters look lost to it.
func (p *Portal) considerReplacement(ctx context.Context, l *replication.Log, q *message.FounderQuery) {
	if _, found := p.lostVoter(l.Status(), q.Self.Address); !found || l.Barrier(ctx) != nil {
		return
	}
	p.learnMoves() // A move whose outcome was not known may have been applied.
	if id := p.claimReplacement(l.Status(), q.Self.Address); id != "" {
		p.replaceVoter(ctx, l, id, q.Self)
	}
}

// considerReturn serves a voter that may have been replaced while it stood still. It reports whether the quorum has another disk in place of the
// asker's for good. While the asker's disk still counts, its vote is moved back to it: the process that has taken it over may be gone, and its
// disk holds less.
func (p *Portal) considerReturn(ctx context.Context, l *replication.Log, q *message.FounderQuery) bool {
	if l.Barrier(ctx) != nil {
		return false // This host can't tell: it is not the leader, or no majority answers it.
	}
	p.learnMoves()
	disk := quorum.Generation(q.Generation)
	if l.IsCurrent(q.Voter, disk) && p.claimReturn(q.Self.Address) {
		p.replaceVoter(ctx, l, q.Voter, q.Self)
	}
	return l.IsReplaced(q.Voter, disk)
}

// claimReturn reports whether a vote must be moved back to the host at address, which had it before. The caller must then call replaceVoter.
func (p *Portal) claimReturn(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isVoterAddress(address) && p.moves.Begin()
}

// claimReplacement returns the voter that the host at address replaces, or "" if there is none. The
// caller must then call replaceVoter, and until that ends no other voter is replaced.
func (p *Portal) claimReplacement(s replication.Status, address string) host.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, found := p.lostVoterLocked(s, address)
	if !found || !p.moves.Begin() {
		return ""
	}
	return id
}

// lostVoter returns the voter that the host at address may replace.
func (p *Portal) lostVoter(s replication.Status, address string) (host.ID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostVoterLocked(s, address)
}

// lostVoterLocked is lostVoter while mu is held.
func (p *Portal) lostVoterLocked(s replication.Status, address string) (host.ID, bool) {
	if !s.IsLeader() || p.isVoterAddress(address) {
		return "", false
	}
	peers := make([]voter.Peer, 0, len(s.Peers))
	for _, peer := range s.Peers {
		peers = append(peers, voter.Peer{Host: peer.Host, SinceLastReply: peer.SinceLastReply, Joining: peer.Joining})
	}
	return p.moves.Lost(peers, time.Now())
}

// isVoterAddress reports whether a voter has this address.
func (p *Portal) isVoterAddress(address string) bool {
	_, found := p.voters.VoteAt(address)
	return found
}

// replaceVoter commits an entry that moves a voter, claimed by claimReplacement or claimReturn, to another host.
func (p *Portal) replaceVoter(ctx context.Context, l *replication.Log, id host.ID, to message.Founder) {
	defer p.finishMove(id)
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	vote, _ := p.voters.Vote(id)
	sequence := vote.Sequence + 1
	silence := silenceOf(l.Status(), id)
	command, err := portalstate.Voter{Host: id, Address: to.Address, Sequence: sequence}.Encode()
	if err == nil {
		_, err = l.Propose(ctx, command)
	}
	p.learnMoves() // So that the answer to the host already says so.
	event.SeatMoved.On(p.opts.Logger).Str("seat", string(id)).Str("host", string(to.Host)).
		Str("address", to.Address).Uint64("sequence", sequence).Int64("silence", silence.Milliseconds()).Err(err).Msg("")
}

// silenceOf returns the time since a voter's last reply as the leader knows it.
func silenceOf(s replication.Status, id host.ID) time.Duration {
	for _, peer := range s.Peers {
		if peer.Host == id {
			return peer.SinceLastReply
		}
	}
	return 0
}

// finishMove allows other moves again.
func (p *Portal) finishMove(id host.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moves.End(id, time.Now())
}

// learnMoves takes the moves of votes over from the replicated state.
func (p *Portal) learnMoves() {
	moves := p.machine.MovedVoters()
	told := make([]message.Founder, 0, len(moves))
	for _, v := range moves {
		told = append(told, message.Founder(v))
	}
	p.learnVoters(told, "log")
}

// learnVoters takes over what is told of the addresses of votes. source names who tells it.
func (p *Portal) learnVoters(told []message.Founder, source string) {
	moved := p.voters.Learn(told, source)
	if len(moved) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range moved {
		p.moves.Record(id, time.Now())
	}
	p.notifyLocked()
}

// saveVoters saves the addresses of votes whenever they change, until ctx ends. What can't be saved is tried again.
func (p *Portal) saveVoters(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := p.voters.Changed()
		if err := p.discovery.Save(); err != nil {
			event.JournalFailed.On(p.opts.Logger).Str("reason", err.Error()).Msg("")
			pause.For(ctx, reopenDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}
