// Package bootstrap finds the set of control hosts when nobody has been told of it.
//
// At the first start each control host knows a few seeds, the same ones everywhere. It
// introduces itself to them. The seed with the lowest address waits until no new host
// has come for a while, writes the set to its disk and tells it to whoever asks. Every
// host keeps the set on its disk before it acts on it, so that it stays the same.
// A host with an empty disk that starts later decides nothing and asks. If its address is
// not in the set it goes on asking until control has moved a dead host's place to it.
package bootstrap

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// askEvery is the time between two rounds of questions.
	askEvery = 150 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 700 * time.Millisecond
	// gatherTime is how long a first start waits for hosts at least, and quietTime how
	// long no new host may have come before the set is decided. Hosts of one system
	// start within a fraction of a second of each other.
	gatherTime = 1500 * time.Millisecond
	quietTime  = 700 * time.Millisecond
)

// Options describe one control host's part.
type Options struct {
	Self message.Founder
	// Seeds are the link addresses of some control hosts, the same on all at the first start.
	Seeds []string
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	Store      Store
	Pool       *pool.Pool
	// Logger may be nil.
	Logger *log.Logger
}

// Discovery is one control host's view of the set. Use New, then Run.
type Discovery struct {
	opts Options

	mu      sync.Mutex
	decided []message.Founder
	seen    map[string]message.Founder
	// newest is when the last unknown host was seen.
	newest time.Time
}

// New returns the council of one host.
func New(opts Options) *Discovery {
	return &Discovery{opts: opts, seen: map[string]message.Founder{opts.Self.Address: opts.Self}}
}

// seated reports whether a set has a place for this host.
func (c *Discovery) seated(set []message.Founder) bool {
	return slices.ContainsFunc(set, func(f message.Founder) bool { return f.Address == c.opts.Self.Address })
}

// VoterID returns this host's ID in a set: that of the place at its address.
func (c *Discovery) VoterID(set []message.Founder) host.ID {
	for _, f := range set {
		if f.Address == c.opts.Self.Address {
			return f.Host
		}
	}
	return ""
}

// SaveMembers takes in that the set's places have moved, and keeps that.
func (c *Discovery) SaveMembers(set []message.Founder) error {
	c.mu.Lock()
	c.decided = set
	c.mu.Unlock()
	return c.opts.Store.Save(set)
}

// Answer answers a host that introduces itself.
func (c *Discovery) Answer(q *message.FounderQuery) *message.Founders {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.Self.Address != "" && q.FirstStart {
		c.meet(q.Self)
	}
	return &message.Founders{Decided: c.decided, Seen: c.sorted()}
}

// meet takes note of a host; mu is held.
func (c *Discovery) meet(f message.Founder) {
	if _, known := c.seen[f.Address]; !known {
		c.seen[f.Address] = f
		c.newest = time.Now()
	}
}

func (c *Discovery) sorted() []message.Founder {
	list := make([]message.Founder, 0, len(c.seen))
	for _, f := range c.seen {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b message.Founder) int { return strings.Compare(a.Address, b.Address) })
	return list
}

// Run returns the set once it is decided and kept on this host's disk.
func (c *Discovery) Run(ctx context.Context) ([]message.Founder, error) {
	kept, err := c.opts.Store.Load()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	for len(kept) == 0 {
		if kept = c.learn(ctx); len(kept) == 0 {
			kept = c.decide(began)
		}
		if len(kept) > 0 {
			if err := c.opts.Store.Save(kept); err != nil {
				return nil, err
			}
			break
		}
		if !pause.For(ctx, askEvery) {
			return nil, ctx.Err()
		}
	}
	c.mu.Lock()
	c.decided = kept
	c.mu.Unlock()
	event.FoundersKnown.On(c.opts.Logger).Int("hosts", len(kept)).Bool("fresh", c.opts.FirstStart).Msg("")
	return kept, nil
}

// learn asks all known hosts and returns a decided set, if one of them has it.
func (c *Discovery) learn(ctx context.Context) []message.Founder {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	targets := c.targets()
	answers := make(chan *message.Founders, len(targets))
	for _, address := range targets {
		go func() { answers <- c.ask(ctx, address) }()
	}
	for range targets {
		answer := <-answers
		if answer == nil {
			continue
		}
		if c.seated(answer.Decided) {
			return answer.Decided
		}
		c.mu.Lock()
		for _, f := range answer.Decided {
			c.meet(f)
		}
		for _, f := range answer.Seen {
			c.meet(f)
		}
		c.mu.Unlock()
	}
	return nil
}

func (c *Discovery) targets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets := slices.Clone(c.opts.Seeds)
	for address := range c.seen {
		if !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	return slices.DeleteFunc(targets, func(a string) bool { return a == c.opts.Self.Address })
}

func (c *Discovery) ask(ctx context.Context, address string) *message.Founders {
	stream, err := c.opts.Pool.Open(ctx, address)
	if err != nil {
		return nil // The host is not up yet; it is asked again.
	}
	defer stream.Cancel()
	stop := stream.CancelOn(ctx)
	defer stop()
	if stream.Send(&message.FounderQuery{Self: c.opts.Self, FirstStart: c.opts.FirstStart}) != nil {
		return nil
	}
	answer, err := stream.Receive()
	if err != nil {
		return nil
	}
	founders, _ := answer.(*message.Founders)
	return founders
}

// decide returns the set if it is this host that decides it and nobody else is expected.
func (c *Discovery) decide(began time.Time) []message.Founder {
	if !c.opts.FirstStart || len(c.opts.Seeds) == 0 || lowest(c.opts.Seeds) != c.opts.Self.Address {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seed := range c.opts.Seeds {
		if _, here := c.seen[seed]; !here {
			return nil
		}
	}
	if time.Since(began) < gatherTime || time.Since(c.newest) < quietTime {
		return nil
	}
	return c.sorted()
}

// lowest returns the lowest of some addresses by IP number and port.
func lowest(addresses []string) string {
	return slices.MinFunc(addresses, func(a, b string) int {
		x, errX := net.ResolveTCPAddr("tcp", a)
		y, errY := net.ResolveTCPAddr("tcp", b)
		if errX != nil || errY != nil {
			return strings.Compare(a, b) // Checked settings hold IP addresses only.
		}
		return x.AddrPort().Compare(y.AddrPort())
	})
}
