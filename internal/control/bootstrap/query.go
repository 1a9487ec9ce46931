package bootstrap

import (
	"context"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/pause"
)

// gather asks the known hosts in rounds, at the first start, until one of them has a set that contains this host or this host has decided
// the set. A round waits for hosts that are about to start, so that the set is not decided before the system is up.
func (d *Discovery) gather(ctx context.Context) error {
	began := time.Now()
	for !d.queryRound(ctx) {
		if set := d.decide(began); set != nil {
			return d.adoptDecision(set)
		}
		if !pause.For(ctx, queryInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// queryRound asks all known hosts once and waits for their answers. It reports whether a set is known that contains this host.
func (d *Discovery) queryRound(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	targets := d.targets()
	answers := make(chan *message.Founders, len(targets))
	for _, address := range targets {
		go func() { answers <- d.query(ctx, address, d.introduction()) }()
	}
	for range targets {
		if answer := <-answers; answer != nil && d.accept(answer) {
			return true
		}
	}
	return false
}

// discover asks the known hosts until one of them has a set that contains this host.
func (d *Discovery) discover(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := d.newPoll(d.introduction())
	for {
		p.start(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case answer := <-p.answers:
			if d.accept(answer) {
				return nil
			}
		}
	}
}

// introduction returns the query by which this host introduces itself.
func (d *Discovery) introduction() *message.FounderQuery {
	return &message.FounderQuery{Self: d.opts.Self, FirstStart: d.isFirstStart()}
}

// accept takes over what another host has answered, and reports whether a set is known that contains this host. A host that knows no set
// takes none over without itself.
func (d *Discovery) accept(answer *message.Founders) bool {
	d.Hear(answer.Decided)
	d.Hear(answer.Seen)
	if knowsSet := len(d.opts.Voters.Votes()) > 0; knowsSet || d.isIn(answer.Decided) {
		d.opts.Voters.Adopt(answer.Decided, sourceAnswer)
	}
	return d.includesSelf()
}

// AskVote asks the other control hosts for up to queryTimeout whether the disk with which this host was a voter still counts. It reports
// whether a majority has confirmed that another process has the vote for good.
func (d *Discovery) AskVote(ctx context.Context, voter host.ID, g quorum.Generation) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	p := d.newPoll(&message.FounderQuery{Self: d.opts.Self, Voter: voter, Generation: uint64(g)})
	p.start(ctx)
	for {
		select {
		case <-ctx.Done():
			return false
		case answer := <-p.answers:
			d.opts.Voters.Learn(answer.Decided, sourceAnswer)
			if answer.Replaced && !d.includesSelf() {
				return true
			}
		}
	}
}

// targets returns the addresses of all known hosts but this one.
func (d *Discovery) targets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	targets := slices.Clone(d.opts.Seeds)
	for _, f := range d.opts.Voters.Votes() {
		if !slices.Contains(targets, f.Address) {
			targets = append(targets, f.Address)
		}
	}
	for address := range d.seen {
		if !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	return slices.DeleteFunc(targets, func(a string) bool { return a == d.opts.Self.Address })
}

// query sends a query to one host and returns its answer, or nil if there is none.
func (d *Discovery) query(ctx context.Context, address string, q *message.FounderQuery) *message.Founders {
	stream, err := d.opts.Pool.Open(ctx, address)
	if err != nil {
		return nil // The host is not up yet; the next round asks it again.
	}
	defer stream.Cancel()
	stop := stream.CancelOn(ctx)
	defer stop()
	if stream.Send(q) != nil {
		return nil
	}
	answer, err := stream.Receive()
	if err != nil {
		return nil
	}
	founders, _ := answer.(*message.Founders)
	return founders
}
