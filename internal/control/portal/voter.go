package portal

import (
	"context"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/control/portalstate"
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

// assumeVoter makes this process identify itself as the voter that it replaces.
func (p *Portal) assumeVoter(controlHosts []message.Founder, id host.ID) error {
	if err := p.opts.Rename(id); err != nil {
		return err
	}
	for _, f := range controlHosts {
		p.opts.Pool.Drop(f.Address) // Open links still use the old ID.
	}
	event.SeatTaken.On(p.opts.Logger).Str("seat", string(id)).Str("address", p.opts.LinkAddress).Msg("")
	return nil
}

// currentControlHosts returns the voters of the quorum with their current link addresses.
func (p *Portal) currentControlHosts() []message.Founder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controlHosts
}

// onStatusChange records when this host became the leader, or that it is not the leader.
func (p *Portal) onStatusChange(s replication.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !s.IsLeader():
		p.leaderSince = time.Time{}
	case p.leaderSince.IsZero():
		p.leaderSince = time.Now()
	}
	p.notifyLocked()
}

// considerReplacement lets a control host that is no voter replace a voter that has been
// unreachable for voterReplaceTimeout. Only the leader decides this, and it needs the votes of a
// majority without the replaced host. If that host comes back, the quorum does not admit its disk
// again.
func (p *Portal) considerReplacement(ctx context.Context, q *message.FounderQuery) {
	l := p.currentLog()
	if q.FirstStart || l == nil {
		return
	}
	if id := p.claimReplacement(l.Status(), q.Self.Address, time.Now()); id != "" {
		p.replaceVoter(ctx, l, id, q.Self)
	}
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

// replaceVoter commits an entry that moves a voter, returned by claimReplacement, to another host.
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
	event.SeatMoved.On(p.opts.Logger).Str("seat", string(id)).Str("host", string(to.Host)).
		Str("address", to.Address).Err(err).Msg("")
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
// control hosts.
func (p *Portal) updateVoterAddresses() {
	p.mu.Lock()
	controlHosts := slices.Clone(p.controlHosts)
	l := p.log
	p.mu.Unlock()
	var moved []host.ID
	for _, voter := range p.machine.MovedVoters() {
		i := slices.IndexFunc(controlHosts, func(f message.Founder) bool { return f.Host == voter.Host })
		if i < 0 {
			continue
		}
		if l != nil {
			l.SetAddress(voter.Host, voter.Address)
		}
		if controlHosts[i].Address != voter.Address {
			controlHosts[i].Address = voter.Address
			moved = append(moved, voter.Host)
		}
	}
	if len(moved) == 0 {
		return
	}
	p.mu.Lock()
	p.controlHosts = controlHosts
	for _, id := range moved {
		p.voterMovedAt[id] = time.Now()
	}
	p.mu.Unlock()
	if err := p.discovery.SaveControlHosts(controlHosts); err != nil {
		event.JournalFailed.On(p.opts.Logger).Str("reason", err.Error()).Msg("")
	}
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
