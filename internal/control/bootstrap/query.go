package bootstrap

import (
	"context"
	"iter"
	"slices"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

// queryHosts asks all known hosts. It returns the decided set if one of them has a set that
// contains this host and is no older than the one known here, and nil otherwise.
func (d *Discovery) queryHosts(ctx context.Context) []message.Founder {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	known := setVersion(d.known())
	for answer := range d.answers(ctx, &message.FounderQuery{Self: d.opts.Self, FirstStart: d.isFirstStart()}) {
		if d.includesSelf(answer.Decided) && setVersion(answer.Decided) >= known {
			return answer.Decided
		}
		d.Hear(answer.Decided)
		d.Hear(answer.Seen)
	}
	return nil
}

// AskVote asks the other control hosts whether the disk with which this host was a voter still counts. It returns the set without this host
// once a majority has confirmed that another process has the vote for good, and nil otherwise.
func (d *Discovery) AskVote(ctx context.Context, voter host.ID, g quorum.Generation) []message.Founder {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	known := setVersion(d.known())
	for answer := range d.answers(ctx, &message.FounderQuery{Self: d.opts.Self, Voter: voter, Generation: uint64(g)}) {
		if answer.Replaced && setVersion(answer.Decided) > known && !d.includesSelf(answer.Decided) {
			return answer.Decided
		}
	}
	return nil
}

// answers sends a query to all known hosts and returns their answers as they arrive, until ctx ends.
func (d *Discovery) answers(ctx context.Context, q *message.FounderQuery) iter.Seq[*message.Founders] {
	targets := d.targets()
	answers := make(chan *message.Founders, len(targets))
	for _, address := range targets {
		go func() { answers <- d.query(ctx, address, q) }()
	}
	return func(yield func(*message.Founders) bool) {
		for range targets {
			if answer := <-answers; answer != nil && !yield(answer) {
				return
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
