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
//
// The voter of a host that stands still may be moved as well. That host learns of it once it goes on (AskVote), saves a set without
// itself, by which it gives up its vote, and asks like a host with an empty disk. Its journal keeps the log. Package voter describes
// how a vote moves as a whole.
package bootstrap

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// queryInterval is the time between the end of a query and the next one to the same host.
	queryInterval = 150 * time.Millisecond
	// queryTimeout bounds one query.
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

	// saving is held while the set is saved.
	saving sync.Mutex

	mu sync.Mutex
	// firstStart is Options.FirstStart until a set is known.
	firstStart bool
	decided    []message.Founder
	seen       map[string]message.Founder
	// lastNew is when the last unknown host was seen.
	lastNew time.Time
}

// New returns a Discovery.
func New(opts Options) *Discovery {
	return &Discovery{
		opts: opts, firstStart: opts.FirstStart, seen: map[string]message.Founder{opts.Self.Address: opts.Self},
	}
}

// setVersion returns the number of moves of voters that led to a set. Moves are entries of one log, so that of two sets the one with the
// higher version is newer.
func setVersion(set []message.Founder) uint64 {
	var version uint64
	for _, f := range set {
		version += f.Sequence
	}
	return version
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

// SaveControlHosts replaces the set of control hosts after voters have been moved, and saves it. A set without this host gives up its vote:
// the next Run takes it from the journal.
func (d *Discovery) SaveControlHosts(set []message.Founder) error {
	d.saving.Lock()
	defer d.saving.Unlock()
	if setVersion(set) < setVersion(d.known()) {
		return nil
	}
	if err := d.opts.Store.Save(set); err != nil {
		return err
	}
	d.setKnown(set)
	return nil
}

// known returns the newest set that this host knows, empty if there is none.
func (d *Discovery) known() []message.Founder {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decided
}

// setKnown records a set. A host that knows one decides none.
func (d *Discovery) setKnown(set []message.Founder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decided, d.firstStart = set, false
}

func (d *Discovery) isFirstStart() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.firstStart
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

// Hear records control hosts of which another one has told, so that this host asks them too.
func (d *Discovery) Hear(hosts []message.Founder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range hosts {
		d.addSeen(f)
	}
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

// Run returns the set once it is decided, contains this host and is saved on its disk. It may be called again after SaveControlHosts with a
// set without this host.
func (d *Discovery) Run(ctx context.Context) ([]message.Founder, error) {
	controlHosts, err := d.load()
	if err != nil {
		return nil, err
	}
	fresh := d.isFirstStart()
	if len(controlHosts) == 0 {
		if fresh {
			controlHosts, err = d.gather(ctx)
		} else {
			controlHosts, err = d.discover(ctx)
		}
		if err != nil {
			return nil, err
		}
		if err := d.opts.Store.Save(controlHosts); err != nil {
			return nil, err
		}
	}
	d.setKnown(controlHosts)
	event.FoundersKnown.On(d.opts.Logger).Int("hosts", len(controlHosts)).Bool("fresh", fresh).Msg("")
	return controlHosts, nil
}

// load returns the saved set, or nil if there is none or this host is not in it. In the latter case the host has given up its vote, and load
// takes it from the journal.
func (d *Discovery) load() ([]message.Founder, error) {
	saved, err := d.opts.Store.Load()
	if err != nil || len(saved) == 0 {
		return nil, err
	}
	d.setKnown(saved)
	if d.includesSelf(saved) {
		return saved, nil
	}
	return nil, journal.GiveUpVote(d.opts.Store.Files, d.opts.Store.Folder)
}

// decide returns the set if this host has to decide it and no other host is expected, and nil
// otherwise.
func (d *Discovery) decide(began time.Time) []message.Founder {
	if !d.isFirstStart() || len(d.opts.Seeds) == 0 || lowestAddress(d.opts.Seeds) != d.opts.Self.Address {
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
