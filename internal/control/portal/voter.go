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
	p.mu.Lock()
	isVoter := slices.ContainsFunc(p.controlHosts, func(f message.Founder) bool { return f.Address == q.Self.Address })
	wait := p.replacingVoter || p.leaderSince.IsZero() || time.Since(p.leaderSince) < voterReplaceTimeout
	p.mu.Unlock()
	if isVoter || wait {
		return
	}
	unreachable := longestUnreachable(l.Status())
	if unreachable == "" {
		return
	}
	p.replaceVoter(ctx, l, unreachable, q.Self)
}

// longestUnreachable returns the peer that has been unreachable the longest, or "" if none has
// been for voterReplaceTimeout.
func longestUnreachable(s replication.Status) host.ID {
	var unreachable host.ID
	longest := voterReplaceTimeout
	for _, peer := range s.Peers {
		if peer.SinceLastReply >= longest {
			unreachable, longest = peer.Host, peer.SinceLastReply
		}
	}
	return unreachable
}

// replaceVoter commits an entry that moves a voter to another host.
func (p *Portal) replaceVoter(ctx context.Context, l *replication.Log, id host.ID, to message.Founder) {
	p.setReplacingVoter(true)
	defer p.setReplacingVoter(false)
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

func (p *Portal) setReplacingVoter(replacing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replacingVoter = replacing
}

// updateVoterAddresses applies the replicated voter addresses to the log and to the known set of
// control hosts.
func (p *Portal) updateVoterAddresses() {
	p.mu.Lock()
	controlHosts := slices.Clone(p.controlHosts)
	l := p.log
	p.mu.Unlock()
	moved := false
	for _, voter := range p.machine.MovedVoters() {
		i := slices.IndexFunc(controlHosts, func(f message.Founder) bool { return f.Host == voter.Host })
		if i < 0 {
			continue
		}
		if l != nil {
			l.SetAddress(voter.Host, voter.Address)
		}
		if controlHosts[i].Address != voter.Address {
			controlHosts[i].Address, moved = voter.Address, true
		}
	}
	if !moved {
		return
	}
	p.mu.Lock()
	p.controlHosts = controlHosts
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
