package portal

import (
	"context"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// voterReplaceTimeout is how long a control host must be unreachable before another host replaces
// it. A restart takes less time.
const voterReplaceTimeout = 2500 * time.Millisecond

// voterJoinTimeout is how long a host that replaces a voter has to be admitted to the quorum. Until
// then no other host replaces it.
const voterJoinTimeout = 2 * voterReplaceTimeout

// currentControlHosts returns the voters of the quorum with their current link addresses.
func (p *Portal) currentControlHosts() []message.Founder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controlHosts
}

// onStatusChange records when this host became the leader, or that it is not the leader, and since when it knows none.
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
	switch {
	case !s.IsLeader():
		p.leaderSince = time.Time{}
	case p.leaderSince.IsZero():
		p.leaderSince = time.Now()
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

// considerReplacement lets a control host that is no voter replace a voter that has been
// unreachable for voterReplaceTimeout. Only the leader decides this, and it needs the votes of a
// majority without the replaced host.
func (p *Portal) considerReplacement(ctx context.Context, l *replication.Log, q *message.FounderQuery) {
	if id := p.claimReplacement(l.Status(), q.Self.Address, time.Now()); id != "" {
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
	if p.isVoterAddress(address) || p.replacingVoter {
		return false
	}
	p.replacingVoter = true
	return true
}

// claimReplacement returns the voter that the host at address replaces, or "" if there is none. The
// caller must then call replaceVoter, and until that ends no other voter is replaced.
func (p *Portal) claimReplacement(s replication.Status, address string, now time.Time) host.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isVoterAddress(address) || p.replacingVoter || p.leaderSince.IsZero() || now.Sub(p.leaderSince) < voterReplaceTimeout {
		return ""
	}
	id := p.longestUnreachable(s, now)
	p.replacingVoter = id != ""
	return id
}

// isVoterAddress reports whether a voter has this address, also one that was moved to it just now. mu
// is held.
func (p *Portal) isVoterAddress(address string) bool {
	return slices.ContainsFunc(p.controlHosts, func(f message.Founder) bool { return f.Address == address }) ||
		slices.ContainsFunc(p.machine.MovedVoters(), func(v portalstate.Voter) bool { return v.Address == address })
}

// longestUnreachable returns the peer that has been unreachable the longest, or "" if none has
// been for voterReplaceTimeout. It leaves out those that another host has just replaced. mu is held.
func (p *Portal) longestUnreachable(s replication.Status, now time.Time) host.ID {
	var unreachable host.ID
	longest := voterReplaceTimeout
	for _, peer := range s.Peers {
		moved, known := p.voterMovedAt[peer.Host]
		if known && now.Sub(moved) < voterJoinTimeout {
			continue
		}
		if peer.SinceLastReply >= longest {
			unreachable, longest = peer.Host, peer.SinceLastReply
		}
	}
	return unreachable
}

// replaceVoter commits an entry that moves a voter, claimed by claimReplacement or claimReturn, to another host.
func (p *Portal) replaceVoter(ctx context.Context, l *replication.Log, id host.ID, to message.Founder) {
	defer p.finishReplacement(id)
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	sequence := uint64(1)
	for _, voter := range p.machine.MovedVoters() {
		if voter.Host == id {
			sequence = voter.Sequence + 1
		}
	}
	command, err := portalstate.Voter{Host: id, Address: to.Address, Sequence: sequence}.Encode()
	if err == nil {
		_, err = l.Propose(ctx, command)
	}
	p.updateVoterAddresses() // So that the answer to the host already says so.
	event.SeatMoved.On(p.opts.Logger).Str("seat", string(id)).Str("host", string(to.Host)).
		Str("address", to.Address).Uint64("sequence", sequence).Err(err).Msg("")
}

// finishReplacement allows other replacements again. The voter counts as moved even if the outcome
// is not known, since the entry may still commit.
func (p *Portal) finishReplacement(id host.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replacingVoter = false
	p.voterMovedAt[id] = time.Now()
}

// updateVoterAddresses applies the replicated voter addresses to the log and to the known set of
// control hosts. This host's own vote stays in its set until the quorum has confirmed that it is lost.
func (p *Portal) updateVoterAddresses() {
	voters := p.machine.MovedVoters()
	controlHosts, changed := p.applyMoves(voters)
	if l := p.currentLog(); l != nil {
		for _, voter := range voters {
			l.SetAddress(voter.Host, voter.Address)
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
	for _, voter := range voters {
		i := slices.IndexFunc(controlHosts, func(f message.Founder) bool { return f.Host == voter.Host })
		if i < 0 || voter.Sequence <= controlHosts[i].Sequence {
			continue
		}
		if voter.Host == p.voterID {
			if p.voteMoved = voter.Address != p.opts.LinkAddress; p.voteMoved {
				continue
			}
		}
		if controlHosts[i].Address != voter.Address {
			p.voterMovedAt[voter.Host] = time.Now()
		}
		controlHosts[i].Address, controlHosts[i].Sequence = voter.Address, voter.Sequence
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
