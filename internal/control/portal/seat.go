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

// seatSilence is how long a control host must have been silent before a new one is given
// its place: longer than a restart takes.
const seatSilence = 2500 * time.Millisecond

// takeSeat makes this process speak as the control host whose place it has been given.
func (p *Portal) takeSeat(set []message.Founder, seat host.ID) error {
	if err := p.opts.Rename(seat); err != nil {
		return err
	}
	for _, f := range set {
		p.opts.Pool.Drop(f.Address) // Links that are open still carry the old ID.
	}
	event.SeatTaken.On(p.opts.Logger).Str("seat", string(seat)).Str("address", p.opts.LinkAddress).Msg("")
	return nil
}

// places returns where all control hosts are.
func (p *Portal) places() []message.Founder {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.founders
}

// onLeader takes note of a change of the log's leader.
func (p *Portal) onLeader(s replication.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !s.IsLeader():
		p.led = time.Time{}
	case p.led.IsZero():
		p.led = time.Now()
	}
	p.notifyLocked()
}

// considerSeat gives a control host that has no place the place of one that has been silent
// for long. Only the leader does, and only a majority without the silent one makes it so.
// Should that one come back, its disk is not admitted any more.
func (p *Portal) considerSeat(ctx context.Context, q *message.FounderQuery) {
	l := p.current()
	if q.FirstStart || l == nil {
		return
	}
	p.mu.Lock()
	placed := slices.ContainsFunc(p.founders, func(f message.Founder) bool { return f.Address == q.Self.Address })
	wait := p.granting || p.led.IsZero() || time.Since(p.led) < seatSilence
	p.mu.Unlock()
	if placed || wait {
		return
	}
	silent := longestSilent(l.Status())
	if silent == "" {
		return
	}
	p.grant(ctx, l, silent, q.Self)
}

// longestSilent returns the peer that has been silent the longest, if that is long enough.
func longestSilent(s replication.Status) host.ID {
	var silent host.ID
	longest := seatSilence
	for _, peer := range s.Peers {
		if peer.SinceLastReply >= longest {
			silent, longest = peer.Host, peer.SinceLastReply
		}
	}
	return silent
}

// grant moves a place by a committed entry.
func (p *Portal) grant(ctx context.Context, l *replication.Log, seat host.ID, to message.Founder) {
	p.setGranting(true)
	defer p.setGranting(false)
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	sequence := uint64(1)
	for _, s := range p.machine.Voters() {
		if s.Host == seat {
			sequence = s.Sequence + 1
		}
	}
	command, err := portalstate.Voter{Host: seat, Address: to.Address, Sequence: sequence}.Encode()
	if err == nil {
		_, err = l.Propose(ctx, command)
	}
	event.SeatMoved.On(p.opts.Logger).Str("seat", string(seat)).Str("host", string(to.Host)).
		Str("address", to.Address).Err(err).Msg("")
}

func (p *Portal) setGranting(granting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granting = granting
}

// moveSeats brings the addresses in use up to the replicated state.
func (p *Portal) moveSeats() {
	p.mu.Lock()
	set := slices.Clone(p.founders)
	l := p.log
	p.mu.Unlock()
	moved := false
	for _, seat := range p.machine.Voters() {
		i := slices.IndexFunc(set, func(f message.Founder) bool { return f.Host == seat.Host })
		if i < 0 {
			continue
		}
		if l != nil {
			l.SetAddress(seat.Host, seat.Address)
		}
		if set[i].Address != seat.Address {
			set[i].Address, moved = seat.Address, true
		}
	}
	if !moved {
		return
	}
	p.mu.Lock()
	p.founders = set
	p.mu.Unlock()
	if err := p.council.SaveMembers(set); err != nil {
		event.JournalFailed.On(p.opts.Logger).Str("reason", err.Error()).Msg("")
	}
}

// addressOf returns where a control host is.
func (p *Portal) addressOf(id host.ID) string {
	for _, f := range p.places() {
		if f.Host == id {
			return f.Address
		}
	}
	return ""
}
