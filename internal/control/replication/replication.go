// Package replication runs the replicated log of the control hosts. It connects the Raft node of
// package quorum with the journal, the links to the peers and the application's state machine.
package replication

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/voter"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// StateMachine is the application state that the log replicates. It is not called concurrently.
type StateMachine interface {
	// Apply applies a committed command. It must be deterministic. Propose returns its result.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Defaults of Options.
const (
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 16 << 20
)

const (
	inputQueueSize = 512
	// maxBatchInputs limits the inputs that are handled before their writes start.
	maxBatchInputs = 512
)

// Options configures the log of one control host.
type Options struct {
	Self host.ID
	// Voters has the link addresses of all control hosts, including this one. Links follow its changes. It must be set.
	Voters       *voter.Directory
	Journal      *journal.Journal
	StateMachine StateMachine
	Pool         *pool.Pool
	// Logger may be nil.
	Logger *log.Logger
	// Timing configures heartbeats and elections.
	Timing quorum.Timing
	// SnapshotEntries and SnapshotBytes limit how much the log grows between snapshots, in entries
	// and in bytes of commands. 0 means the default.
	SnapshotEntries int
	SnapshotBytes   int
	// OnStatusChange, if set, is called after a change of role, term or leader. It is called from
	// one goroutine and may miss changes that were followed by later ones.
	OnStatusChange func(Status)
}

// Log is the replicated log on one control host. Create it with New and start it with Run.
type Log struct {
	opts       Options
	timing     quorum.Timing
	inputs     chan input
	writeQueue queue[quorum.Persist]
	applyQueue queue[applyJob]
	senders    map[host.ID]*sender
	// hosts are the IDs of all control hosts, sorted.
	hosts         []host.ID
	statusChanges chan Status
	done          chan struct{}

	// mu guards node, which the loop steps while Status reads it.
	mu   sync.Mutex
	node *quorum.Node

	// The fields below are used by the loop's goroutine only. waiters has the proposals and reads
	// that the node has not answered, by ID; pendingProposals those accepted, by index.
	lastID           uint64
	waiters          map[uint64]*waiter
	pendingProposals map[quorum.Index]*waiter
	transferWaiters  []*waiter
	lastWarning      time.Time
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
		opts:             opts,
		inputs:           make(chan input, inputQueueSize),
		writeQueue:       newQueue[quorum.Persist](),
		applyQueue:       newQueue[applyJob](),
		senders:          map[host.ID]*sender{},
		hosts:            opts.Voters.Hosts(),
		statusChanges:    make(chan Status, 1),
		done:             make(chan struct{}),
		waiters:          map[uint64]*waiter{},
		pendingProposals: map[quorum.Index]*waiter{},
	}
	for _, id := range l.hosts {
		if id != opts.Self {
			l.senders[id] = newSender(l, id)
		}
	}
	l.node = quorum.New(time.Now(), quorum.Options{
		Self: opts.Self, Hosts: l.hosts, Timing: opts.Timing, Seed: rand.Uint64(), //nolint:gosec // Spreads timeouts only.
	}, opts.Journal.RecoveredState())
	l.timing = l.node.Timing()
	return l
}

// Run runs the log until ctx ends. It returns ErrHostsDiffer if the journal belongs to other
// hosts, ErrRestore if the state machine refuses a snapshot, and ErrJournal if the journal fails.
// It may be called once. The journal may be closed after it has returned.
func (l *Log) Run(ctx context.Context) error {
	defer close(l.done)
	report := l.opts.Journal.OpenReport()
	recovered := l.opts.Journal.RecoveredState()
	event.JournalOpened.On(l.opts.Logger).Bool("created", report.Created).
		Int("segments", report.Segments).Int("entries", report.Entries).
		Uint64("snapshot", uint64(recovered.Snapshot.Index)).Uint64("last", uint64(recovered.LastIndex())).
		Uint64("term", uint64(recovered.Hard.Term)).Bool("admitted", recovered.Hard.Admitted).Msg("")
	if report.TornBytes > 0 {
		event.JournalTorn.On(l.opts.Logger).Int("bytes", report.TornBytes).Msg("")
	}
	if initial := recovered.InitialHosts(); initial != nil && !slices.Equal(initial, l.hosts) {
		return ErrHostsDiffer{InitialHosts: initial, Settings: l.hosts}
	}
	if snapshot := recovered.Snapshot; snapshot.Index > 0 {
		if err := l.opts.StateMachine.Restore(snapshot.Data); err != nil {
			return ErrRestore{Cause: err}
		}
	}
	l.opts.Journal.DropRecoveredState()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.loop(ctx) })
	group.Go(func() error { return l.write(ctx) })
	group.Go(func() error { return l.apply(ctx) })
	group.Go(func() error { return l.deliverStatus(ctx) })
	for _, s := range l.senders {
		group.Go(func() error { return s.run(ctx) })
	}
	return group.Wait()
}

// deliverStatus passes status changes to OnStatusChange.
func (l *Log) deliverStatus(ctx context.Context) error {
	if l.opts.OnStatusChange == nil {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case status := <-l.statusChanges:
			l.opts.OnStatusChange(status)
		}
	}
}

// publishStatus queues status for deliverStatus and replaces one that is still queued.
func (l *Log) publishStatus(status Status) {
	for {
		select {
		case l.statusChanges <- status:
			return
		default:
		}
		select {
		case <-l.statusChanges:
		default:
		}
	}
}
