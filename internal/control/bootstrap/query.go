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
func (d *Discovery) gather(ctx context.Context) ([]message.Founder, error) {
	began := time.Now()
	for {
		if set := d.queryRound(ctx); set != nil {
			return set, nil
		}
		if set := d.decide(began); set != nil {
			return set, nil
		}
		if !pause.For(ctx, queryInterval) {
			return nil, ctx.Err()
		}
	}
}

// queryRound asks all known hosts once and waits for their answers. It returns a set that contains this host, or nil.
func (d *Discovery) queryRound(ctx context.Context) []message.Founder {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	targets := d.targets()
	answers := make(chan *message.Founders, len(targets))
	for _, address := range targets {
		go func() { answers <- d.query(ctx, address, d.introduction()) }()
	}
	for range targets {
		if answer := <-answers; answer != nil {
			if set := d.accept(answer); set != nil {
				return set
			}
		}
	}
	return nil
}

// discover asks the known hosts until one of them has a set that contains this host.
func (d *Discovery) discover(ctx context.Context) ([]message.Founder, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := d.newPoll(d.introduction())
	for {
		p.start(ctx)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case answer := <-p.answers:
			if set := d.accept(answer); set != nil {
				return set, nil
			}
		}
	}
}

// introduction returns the query by which this host introduces itself.
func (d *Discovery) introduction() *message.FounderQuery {
	return &message.FounderQuery{Self: d.opts.Self, FirstStart: d.isFirstStart()}
}

// accept returns the set of an answer if it contains this host and is no older than the one known here. Otherwise it records the hosts in the
// answer and returns nil.
func (d *Discovery) accept(answer *message.Founders) []message.Founder {
	if d.includesSelf(answer.Decided) && setVersion(answer.Decided) >= setVersion(d.known()) {
		return answer.Decided
	}
	d.Hear(answer.Decided)
	d.Hear(answer.Seen)
	return nil
}

// AskVote asks the other control hosts for up to queryTimeout whether the disk with which this host was a voter still counts. It returns the
// set without this host once a majority has confirmed that another process has the vote for good, and nil otherwise.
func (d *Discovery) AskVote(ctx context.Context, voter host.ID, g quorum.Generation) []message.Founder {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	p := d.newPoll(&message.FounderQuery{Self: d.opts.Self, Voter: voter, Generation: uint64(g)})
	p.start(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case answer := <-p.answers:
			if answer.Replaced && setVersion(answer.Decided) > setVersion(d.known()) && !d.includesSelf(answer.Decided) {
				return answer.Decided
			}
		}
	}
}

// targets returns the addresses of all known hosts but this one.
func (d *Discovery) targets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	targets := slices.Clone(d.opts.Seeds)
	for _, f := range d.decided {
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
