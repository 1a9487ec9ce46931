package replication

import (
	"context"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// write makes the machine's writes durable. Those that queue up while a sync runs
// share the next one.
func (l *Log) write(ctx context.Context) error {
	for {
		writes := l.writes.take(ctx)
		if writes == nil {
			return nil
		}
		if err := l.opts.Journal.Write(writes); err != nil {
			event.JournalFailed.On(l.opts.Logger).Str("reason", err.Error()).Msg("")
			return ErrJournal{Cause: err}
		}
		l.feed(ctx, quorum.Persisted{Sequence: writes[len(writes)-1].Sequence})
	}
}

// feed hands an event to the loop.
func (l *Log) feed(ctx context.Context, e quorum.Event) {
	select {
	case l.events <- inputEvent{event: e}:
	case <-ctx.Done():
	}
}

// applyJob is one thing for the state machine to do. One of its fields is set.
type applyJob struct {
	entries []quorum.Entry
	// waiters are the proposals among entries, by index.
	waiters  map[quorum.Index]*waiter
	snapshot *quorum.Snapshot
	barrier  *waiter
}

func (l *Log) applyJob(entries []quorum.Entry) applyJob {
	job := applyJob{entries: entries}
	if len(l.pending) == 0 {
		return job
	}
	job.waiters = map[quorum.Index]*waiter{}
	for _, e := range entries {
		if w := l.pending[e.Index]; w != nil {
			job.waiters[e.Index] = w
			delete(l.pending, e.Index)
		}
	}
	return job
}

// growth is how much the log has grown since the last snapshot.
type growth struct {
	entries int
	bytes   int
}

// apply is the one goroutine that calls the state machine.
func (l *Log) apply(ctx context.Context) error {
	var grown growth
	for {
		jobs := l.applies.take(ctx)
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
			// Another entry stands in the place of the proposal.
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
	l.feed(ctx, quorum.SnapshotTaken{Index: index, Data: data})
}
