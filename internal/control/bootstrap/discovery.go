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
// itself, by which it gives up its vote (GiveUp), and asks like a host with an empty disk. Its journal keeps the log. Package voter
// describes how a vote moves as a whole. The set itself is a voter.Directory.
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
	"github.com/egretreach/egretreach/internal/control/voter"
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

// The sources of what Discovery adds to the voter.Directory.
const (
	sourceDisk     = "disk"
	sourceAnswer   = "answer"
	sourceDecision = "decision"
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
	// Voters is where the set of control hosts is kept while the process runs. It must be set.
	Voters *voter.Directory
	Pool   *pool.Pool
	// Logger may be nil.
	Logger *log.Logger
}

// Discovery is one control host's view of the set of control hosts. Create it with New, then call
// Run.
type Discovery struct {
	opts Options

	// saving is held while the set is saved. It guards own and saved.
	saving sync.Mutex
	// own is the vote that this host has on its disk, zero if it has none.
	own message.Founder
	// saved is the set that was last saved.
	saved []message.Founder

	mu sync.Mutex
	// seen are the control hosts to ask, by address.
	seen map[string]message.Founder
	// lastNew is when the last unknown host was seen.
	lastNew time.Time
}

// New returns a Discovery.
func New(opts Options) *Discovery {
	return &Discovery{
		opts: opts, seen: map[string]message.Founder{opts.Self.Address: opts.Self},
	}
}

// includesSelf reports whether a vote has this host's address.
func (d *Discovery) includesSelf() bool {
	_, included := d.opts.Voters.VoteAt(d.opts.Self.Address)
	return included
}

// isIn reports whether a set contains this host's address.
func (d *Discovery) isIn(set []message.Founder) bool {
	return slices.ContainsFunc(set, func(f message.Founder) bool { return f.Address == d.opts.Self.Address })
}

// Save saves the known set of control hosts. This host's own vote stays in it, also if that has been moved, until GiveUp.
func (d *Discovery) Save() error {
	d.saving.Lock()
	defer d.saving.Unlock()
	return d.save()
}

// save is Save while saving is held.
func (d *Discovery) save() error {
	set := slices.Clone(d.opts.Voters.Votes())
	for i, v := range set {
		if v.Host == d.own.Host && v.Address != d.opts.Self.Address {
			set[i] = d.own
		}
	}
	if slices.Equal(set, d.saved) {
		return nil
	}
	if err := d.opts.Store.Save(set); err != nil {
		return err
	}
	d.saved = set
	return nil
}

// GiveUp saves a set without this host, whose vote another process has for good. The next Run takes the vote from the journal.
func (d *Discovery) GiveUp() error {
	d.saving.Lock()
	defer d.saving.Unlock()
	own := d.own
	d.own = message.Founder{}
	if err := d.save(); err != nil {
		d.own = own
		return err
	}
	return nil
}

// isFirstStart reports whether the whole system starts for the first time and no set is known yet. A host that knows one decides none.
func (d *Discovery) isFirstStart() bool { return d.opts.FirstStart && len(d.opts.Voters.Votes()) == 0 }

// Answer returns the answer to a host that introduces itself.
func (d *Discovery) Answer(q *message.FounderQuery) *message.Founders {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q.Self.Address != "" && q.FirstStart {
		d.addSeen(q.Self)
	}
	return &message.Founders{Decided: d.opts.Voters.Votes(), Seen: d.sortedSeen()}
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

// Run returns the ID of this host's vote once the set is decided, contains this host and is saved on its disk. It may be called again after
// GiveUp.
func (d *Discovery) Run(ctx context.Context) (host.ID, error) {
	if err := d.load(); err != nil {
		return "", err
	}
	fresh := d.isFirstStart()
	var own host.ID
	for own == "" {
		if err := d.find(ctx); err != nil {
			return "", err
		}
		var err error
		if own, err = d.keepVote(); err != nil {
			return "", err
		}
	}
	event.FoundersKnown.On(d.opts.Logger).Int("hosts", len(d.opts.Voters.Votes())).Bool("fresh", fresh).Msg("")
	return own, nil
}

// find asks other hosts until a set is known that contains this host.
func (d *Discovery) find(ctx context.Context) error {
	switch {
	case d.includesSelf():
		return nil
	case d.isFirstStart():
		return d.gather(ctx)
	default:
		return d.discover(ctx)
	}
}

// keepVote saves the set with this host's vote, and returns the ID of the vote. It returns "" if the vote has been moved meanwhile.
func (d *Discovery) keepVote() (host.ID, error) {
	d.saving.Lock()
	defer d.saving.Unlock()
	own, found := d.opts.Voters.VoteAt(d.opts.Self.Address)
	if !found {
		return "", nil
	}
	d.own = own
	if err := d.save(); err != nil {
		d.own = message.Founder{}
		return "", err
	}
	return own.Host, nil
}

// load takes over the saved set, if there is one. If this host is not in it, the host has given up its vote, and load takes it from the journal.
func (d *Discovery) load() error {
	saved, err := d.opts.Store.Load()
	if err != nil || len(saved) == 0 {
		return err
	}
	d.opts.Voters.Adopt(saved, sourceDisk)
	d.setSaved(saved)
	if d.isIn(saved) {
		return nil
	}
	return journal.GiveUpVote(d.opts.Store.Files, d.opts.Store.Folder)
}

func (d *Discovery) setSaved(set []message.Founder) {
	d.saving.Lock()
	defer d.saving.Unlock()
	d.saved = set
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

// adoptDecision saves a set that this host has decided, and uses it and tells it to others from then on: after a restart it could decide
// another one.
func (d *Discovery) adoptDecision(set []message.Founder) error {
	d.saving.Lock()
	defer d.saving.Unlock()
	if err := d.opts.Store.Save(set); err != nil {
		return err
	}
	d.saved = set
	d.opts.Voters.Adopt(set, sourceDecision)
	return nil
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
