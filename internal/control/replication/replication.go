// Package replication runs the replicated log of the control hosts: a thin loop
// round the state machine of package quorum, its journal and its links.
package replication

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// StateMachine is the state that the log replicates. One goroutine calls it.
type StateMachine interface {
	// Apply carries out a committed command. It must be deterministic.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// The defaults of Options.
const (
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 16 << 20
)

const (
	eventQueue = 512
	// batchEvents bounds the events that are taken in before their writes start.
	batchEvents = 512
)

// Options describe one control host's log.
type Options struct {
	Self host.ID
	// Hosts are the link addresses of all control hosts, this one included.
	Hosts        map[host.ID]string
	Journal      *journal.Journal
	StateMachine StateMachine
	Pool         *pool.Pool
	// Logger may be nil.
	Logger *log.Logger
	// Timing is the pace of elections and heartbeats.
	Timing quorum.Timing
	// SnapshotEntries and SnapshotBytes are how much the log grows between snapshots.
	SnapshotEntries int
	SnapshotBytes   int
	// OnStatusChange, if set, is told each change of role, term or leader. It is called
	// from one goroutine and may miss changes that were overtaken by later ones.
	OnStatusChange func(Status)
}

// Log is one control host's replicated log. Use New, then Run.
type Log struct {
	opts    Options
	timing  quorum.Timing
	events  chan input
	writes  queue[quorum.Persist]
	applies queue[applyJob]
	senders map[host.ID]*sender
	// addresses are where the peers are now.
	addresses *addresses
	changes   chan Status
	done      chan struct{}

	// mu guards machine against Status.
	mu   sync.Mutex
	node *quorum.Node

	// The fields below belong to the loop.
	sequence  uint64
	proposals map[uint64]*waiter
	pending   map[quorum.Index]*waiter
	transfers []*waiter
	warned    time.Time
}

// New returns the log of one control host.
func New(opts Options) *Log {
	if opts.SnapshotEntries == 0 {
		opts.SnapshotEntries = DefaultSnapshotEntries
	}
	if opts.SnapshotBytes == 0 {
		opts.SnapshotBytes = DefaultSnapshotBytes
	}
	l := &Log{
		opts:      opts,
		events:    make(chan input, eventQueue),
		writes:    newQueue[quorum.Persist](),
		applies:   newQueue[applyJob](),
		senders:   map[host.ID]*sender{},
		addresses: newAddresses(opts.Hosts),
		changes:   make(chan Status, 1),
		done:      make(chan struct{}),
		proposals: map[uint64]*waiter{},
		pending:   map[quorum.Index]*waiter{},
	}
	hosts := make([]host.ID, 0, len(opts.Hosts))
	for id := range opts.Hosts {
		hosts = append(hosts, id)
		if id != opts.Self {
			l.senders[id] = newSender(l, id)
		}
	}
	l.node = quorum.New(time.Now(), quorum.Options{
		Self: opts.Self, Hosts: hosts, Timing: opts.Timing, Seed: rand.Uint64(), //nolint:gosec // Spreads timeouts only.
	}, opts.Journal.RecoveredState())
	l.timing = l.node.Timing()
	return l
}

// Run runs the log until ctx ends or the journal fails. It is called once. The
// journal may be closed when it has returned.
func (l *Log) Run(ctx context.Context) error {
	defer close(l.done)
	report := l.opts.Journal.OpenReport()
	event.JournalOpened.On(l.opts.Logger).Bool("created", report.Created).
		Int("segments", report.Segments).Int("entries", report.Entries).Msg("")
	if report.TornBytes > 0 {
		event.JournalTorn.On(l.opts.Logger).Int("bytes", report.TornBytes).Msg("")
	}
	hosts := slices.Sorted(maps.Keys(l.opts.Hosts))
	if founders := l.opts.Journal.RecoveredState().InitialHosts(); founders != nil && !slices.Equal(founders, hosts) {
		return ErrHostsDiffer{InitialHosts: founders, Settings: hosts}
	}
	if snapshot := l.opts.Journal.RecoveredState().Snapshot; snapshot.Index > 0 {
		if err := l.opts.StateMachine.Restore(snapshot.Data); err != nil {
			return ErrRestore{Cause: err}
		}
	}
	l.opts.Journal.DropRecoveredState()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.loop(ctx) })
	group.Go(func() error { return l.write(ctx) })
	group.Go(func() error { return l.apply(ctx) })
	group.Go(func() error { return l.notify(ctx) })
	for _, s := range l.senders {
		group.Go(func() error { return s.run(ctx) })
	}
	return group.Wait()
}

// notify hands changes to OnLeader.
func (l *Log) notify(ctx context.Context) error {
	if l.opts.OnStatusChange == nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case status := <-l.changes:
			l.opts.OnStatusChange(status)
		}
	}
}

// changed offers the latest status in place of one that was not yet taken.
func (l *Log) changed(status Status) {
	for {
		select {
		case l.changes <- status:
			return
		default:
		}
		select {
		case <-l.changes:
		default:
		}
	}
}
