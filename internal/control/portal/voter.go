package portal

import (
	"context"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/control/voter"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// currentControlHosts returns the voters of the quorum with their current link addresses.
func (p *Portal) currentControlHosts() []message.Founder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controlHosts
}

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

// isVoterAddress reports whether a voter has this address, also one that was moved to it just now. mu
// is held.
func (p *Portal) isVoterAddress(address string) bool {
	return slices.ContainsFunc(p.controlHosts, func(f message.Founder) bool { return f.Address == address }) ||
		slices.ContainsFunc(p.machine.MovedVoters(), func(v portalstate.Voter) bool { return v.Address == address })
}

// replaceVoter commits an entry that moves a voter, claimed by claimReplacement or claimReturn, to another host.
func (p *Portal) replaceVoter(ctx context.Context, l *replication.Log, id host.ID, to message.Founder) {
	defer p.finishMove(id)
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var moved portalstate.Voter
	for _, v := range p.machine.MovedVoters() {
		if v.Host == id {
			moved = v
		}
	}
	sequence := moved.Sequence + 1
	silence := silenceOf(l.Status(), id)
	command, err := portalstate.Voter{Host: id, Address: to.Address, Sequence: sequence}.Encode()
	if err == nil {
		_, err = l.Propose(ctx, command)
	}
	p.updateVoterAddresses() // So that the answer to the host already says so.
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

// updateVoterAddresses applies the replicated voter addresses to the log and to the known set of
// control hosts. This host's own vote stays in its set until the quorum has confirmed that it is lost.
func (p *Portal) updateVoterAddresses() {
	voters := p.machine.MovedVoters()
	controlHosts, changed := p.applyMoves(voters)
	if l := p.currentLog(); l != nil {
		for _, v := range voters {
			l.SetAddress(v.Host, v.Address)
		}
	}
	if !changed {
		return
	}
	if err := p.discovery.SaveControlHosts(controlHosts); err != nil {
		event.JournalFailed.On(p.opts.Logger).Str("reason", err.Error()).Msg("")
	}
}

// applyMoves applies the replicated voter addresses to the known set of control hosts. It returns the set and whether it has changed.
func (p *Portal) applyMoves(voters []portalstate.Voter) ([]message.Founder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	controlHosts, changed := slices.Clone(p.controlHosts), false
	for _, v := range voters {
		i := slices.IndexFunc(controlHosts, func(f message.Founder) bool { return f.Host == v.Host })
		if i < 0 || v.Sequence <= controlHosts[i].Sequence {
			continue
		}
		if v.Host == p.voterID {
			if p.voteMoved = v.Address != p.opts.LinkAddress; p.voteMoved {
				continue
			}
		}
		if controlHosts[i].Address != v.Address {
			p.moves.Record(v.Host, time.Now())
		}
		controlHosts[i].Address, controlHosts[i].Sequence = v.Address, v.Sequence
		changed = true
	}
	p.controlHosts = controlHosts
	return controlHosts, changed
}

// controlHostAddress returns the link address of a control host.
func (p *Portal) controlHostAddress(id host.ID) string {
	for _, f := range p.currentControlHosts() {
		if f.Host == id {
			return f.Address
		}
	}
	return ""
}
