package replication

import (
	"context"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// write writes the queued Persist actions to the journal. Those queued while a sync runs share
// the next sync.
func (l *Log) write(ctx context.Context) error {
	for {
		writes := l.writeQueue.takeAll(ctx)
		if writes == nil {
			return nil
		}
		if err := l.opts.Journal.Write(writes); err != nil {
			event.JournalFailed.On(l.opts.Logger).Str("reason", err.Error()).Msg("")
			return ErrJournal{Cause: err}
		}
		l.enqueueEvent(ctx, quorum.Persisted{Sequence: writes[len(writes)-1].Sequence})
	}
}

// enqueueEvent passes an event to the loop, unless ctx ends first.
func (l *Log) enqueueEvent(ctx context.Context, e quorum.Event) {
	select {
	case l.inputs <- inputEvent{event: e}:
	case <-ctx.Done():
	}
}

// applyJob is a job of the apply goroutine: committed entries, a snapshot to restore, or a
// barrier to answer. waiters is set together with entries only.
type applyJob struct {
	entries []quorum.Entry
	// waiters has the calls that proposed some of the entries, by index.
	waiters  map[quorum.Index]*waiter
	snapshot *quorum.Snapshot
	barrier  *waiter
}

func (l *Log) newApplyJob(entries []quorum.Entry) applyJob {
	job := applyJob{entries: entries}
	if len(l.pendingProposals) == 0 {
		return job
	}
	job.waiters = map[quorum.Index]*waiter{}
	for _, e := range entries {
		if w := l.pendingProposals[e.Index]; w != nil {
			job.waiters[e.Index] = w
			delete(l.pendingProposals, e.Index)
		}
	}
	return job
}

// growth is how much the log has grown since the last snapshot.
type growth struct {
	entries int
	bytes   int
}

// apply runs the queued jobs. Its goroutine is the only one that calls the state machine.
func (l *Log) apply(ctx context.Context) error {
	var grown growth
	for {
		jobs := l.applyQueue.takeAll(ctx)
		if jobs == nil {
			return nil
		}
		for _, job := range jobs {
			switch {
			case job.snapshot != nil:
				if err := l.opts.StateMachine.Restore(job.snapshot.Data); err != nil {
					return ErrRestore{Cause: err}
				}
				grown = growth{}
			case job.barrier != nil:
				job.barrier.finish(nil, nil)
			default:
				l.applyEntries(ctx, job, &grown)
			}
		}
	}
}

func (l *Log) applyEntries(ctx context.Context, job applyJob, grown *growth) {
	for _, e := range job.entries {
		var value any
		if e.Kind == quorum.EntryCommand {
			value = l.opts.StateMachine.Apply(uint64(e.Index), e.Command)
		}
		grown.entries++
		grown.bytes += len(e.Command)
		w := job.waiters[e.Index]
		switch {
		case w == nil:
		case w.term == e.Term:
			w.finish(value, nil)
		default:
			// A different entry was committed at the proposal's index.
			w.finish(nil, ErrNotLeader{})
		}
	}
	if grown.entries >= l.opts.SnapshotEntries || grown.bytes >= l.opts.SnapshotBytes {
		l.takeSnapshot(ctx, job.entries[len(job.entries)-1].Index)
		*grown = growth{}
	}
}

func (l *Log) takeSnapshot(ctx context.Context, index quorum.Index) {
	data, err := l.opts.StateMachine.Snapshot()
	if err != nil {
		event.SnapshotFailed.On(l.opts.Logger).Str("reason", err.Error()).Msg("")
		return
	}
	l.enqueueEvent(ctx, quorum.SnapshotTaken{Index: index, Data: data})
}
