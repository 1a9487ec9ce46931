// Package bootstrap discovers the set of control hosts, which no setting lists in full.
//
// At the first start of the system each control host knows a few seeds, the same ones on all
// hosts, and introduces itself to them. The seed with the lowest address waits until it knows all
// seeds and has learned of no new host for a while. Then it saves the set to its disk and returns
// it to every host that asks. Each host saves the set to its disk before it uses it, so that the
// set stays the same. Package quorum then bootstraps the log on these hosts.
//
// A host that starts later with an empty disk decides nothing and only asks. If its address is
// not in the set, it goes on asking until control has moved the voter of a dead host to it.
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
	// queryInterval is the time between two rounds of queries.
	queryInterval = 150 * time.Millisecond
	// queryTimeout bounds one round of queries.
	queryTimeout = 700 * time.Millisecond
	// minGatherTime is the least time that a first start waits for hosts. The set is decided when
	// no new host has become known for quietTime. The hosts of a system start within a fraction of
	// a second of each other.
	minGatherTime = 1500 * time.Millisecond
	quietTime     = 700 * time.Millisecond
)

// Options configure the discovery on one control host.
type Options struct {
	Self message.Founder
	// Seeds are the link addresses of some control hosts. At the first start they must be the
	// same on all hosts.
	Seeds []string
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	Store      Store
	Pool       *pool.Pool
	// Logger may be nil.
	Logger *log.Logger
}

// Discovery is one control host's view of the set of control hosts. Create it with New, then call
// Run.
type Discovery struct {
	opts Options

	mu      sync.Mutex
	decided []message.Founder
	seen    map[string]message.Founder
	// lastNew is when the last unknown host was seen.
	lastNew time.Time
}

// New returns a Discovery.
func New(opts Options) *Discovery {
	return &Discovery{opts: opts, seen: map[string]message.Founder{opts.Self.Address: opts.Self}}
}

// includesSelf reports whether a set contains this host's address.
func (d *Discovery) includesSelf(set []message.Founder) bool {
	return slices.ContainsFunc(set, func(f message.Founder) bool { return f.Address == d.opts.Self.Address })
}

// VoterID returns the ID that a set has for this host's address, or "" if it has none.
func (d *Discovery) VoterID(set []message.Founder) host.ID {
	for _, f := range set {
		if f.Address == d.opts.Self.Address {
			return f.Host
		}
	}
	return ""
}

// SaveControlHosts replaces the set of control hosts after voters have been moved, and saves it.
func (d *Discovery) SaveControlHosts(set []message.Founder) error {
	d.mu.Lock()
	d.decided = set
	d.mu.Unlock()
	return d.opts.Store.Save(set)
}

// Answer returns the answer to a host that introduces itself.
func (d *Discovery) Answer(q *message.FounderQuery) *message.Founders {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q.Self.Address != "" && q.FirstStart {
		d.addSeen(q.Self)
	}
	return &message.Founders{Decided: d.decided, Seen: d.sortedSeen()}
}

// addSeen records a host. mu is held.
func (d *Discovery) addSeen(f message.Founder) {
	if _, known := d.seen[f.Address]; !known {
		d.seen[f.Address] = f
		d.lastNew = time.Now()
	}
}

func (d *Discovery) sortedSeen() []message.Founder {
	list := make([]message.Founder, 0, len(d.seen))
	for _, f := range d.seen {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b message.Founder) int { return strings.Compare(a.Address, b.Address) })
	return list
}

// Run returns the set once it is decided and saved on this host's disk.
func (d *Discovery) Run(ctx context.Context) ([]message.Founder, error) {
	controlHosts, err := d.opts.Store.Load()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	for len(controlHosts) == 0 {
		if controlHosts = d.queryHosts(ctx); len(controlHosts) == 0 {
			controlHosts = d.decide(began)
		}
		if len(controlHosts) > 0 {
			if err := d.opts.Store.Save(controlHosts); err != nil {
				return nil, err
			}
			break
		}
		if !pause.For(ctx, queryInterval) {
			return nil, ctx.Err()
		}
	}
	d.mu.Lock()
	d.decided = controlHosts
	d.mu.Unlock()
	event.FoundersKnown.On(d.opts.Logger).Int("hosts", len(controlHosts)).Bool("fresh", d.opts.FirstStart).Msg("")
	return controlHosts, nil
}

// queryHosts asks all known hosts. It returns the decided set if one of them has a set that
// contains this host, and nil otherwise.
func (d *Discovery) queryHosts(ctx context.Context) []message.Founder {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	targets := d.targets()
	answers := make(chan *message.Founders, len(targets))
	for _, address := range targets {
		go func() { answers <- d.query(ctx, address) }()
	}
	for range targets {
		answer := <-answers
		if answer == nil {
			continue
		}
		if d.includesSelf(answer.Decided) {
			return answer.Decided
		}
		d.mu.Lock()
		for _, f := range answer.Decided {
			d.addSeen(f)
		}
		for _, f := range answer.Seen {
			d.addSeen(f)
		}
		d.mu.Unlock()
	}
	return nil
}

func (d *Discovery) targets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	targets := slices.Clone(d.opts.Seeds)
	for address := range d.seen {
		if !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	return slices.DeleteFunc(targets, func(a string) bool { return a == d.opts.Self.Address })
}

func (d *Discovery) query(ctx context.Context, address string) *message.Founders {
	stream, err := d.opts.Pool.Open(ctx, address)
	if err != nil {
		return nil // The host is not up yet; the next round asks it again.
	}
	defer stream.Cancel()
	stop := stream.CancelOn(ctx)
	defer stop()
	if stream.Send(&message.FounderQuery{Self: d.opts.Self, FirstStart: d.opts.FirstStart}) != nil {
		return nil
	}
	answer, err := stream.Receive()
	if err != nil {
		return nil
	}
	founders, _ := answer.(*message.Founders)
	return founders
}

// decide returns the set if this host has to decide it and no other host is expected, and nil
// otherwise.
func (d *Discovery) decide(began time.Time) []message.Founder {
	if !d.opts.FirstStart || len(d.opts.Seeds) == 0 || lowestAddress(d.opts.Seeds) != d.opts.Self.Address {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, seed := range d.opts.Seeds {
		if _, seen := d.seen[seed]; !seen {
			return nil
		}
	}
	if time.Since(began) < minGatherTime || time.Since(d.lastNew) < quietTime {
		return nil
	}
	return d.sortedSeen()
}

// lowestAddress returns the lowest of some addresses, ordered by IP address and port.
func lowestAddress(addresses []string) string {
	return slices.MinFunc(addresses, func(a, b string) int {
		x, errX := net.ResolveTCPAddr("tcp", a)
		y, errY := net.ResolveTCPAddr("tcp", b)
		if errX != nil || errY != nil {
			return strings.Compare(a, b) // Not reached: validated settings hold only IP addresses.
		}
		return x.AddrPort().Compare(y.AddrPort())
	})
}
