package server

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
)

// Replicated describes a log that control hosts replicate and keep on disk.
type Replicated struct {
	ID     host.ID
	Peers  map[host.ID]string
	Files  journal.FileSystem
	Folder string
	Pool   *pool.Pool
	// Logger may be nil.
	Logger *log.Logger
	// Timing is the pace of elections.
	Timing quorum.Timing
}

// Open opens the journal and returns the log over machine, for Options.Log.
func (r Replicated) Open(machine Machine) (Log, error) {
	kept, err := journal.Open(r.Files, r.Folder)
	if err != nil {
		return nil, err
	}
	l := &replicatedLog{journal: kept, changed: make(chan struct{})}
	l.Log = replication.New(replication.Options{
		Self: r.ID, Hosts: r.Peers, Journal: kept, StateMachine: machine, Pool: r.Pool, Logger: r.Logger,
		Timing: r.Timing, OnStatusChange: l.onLeader,
	})
	return l, nil
}

// replicatedLog turns a replication.Log into a Log.
type replicatedLog struct {
	*replication.Log
	journal *journal.Journal

	mu      sync.Mutex
	changed chan struct{}
}

// Run implements Log. It closes the journal when the log has ended.
func (l *replicatedLog) Run(ctx context.Context) error {
	err := l.Log.Run(ctx)
	if closeErr := l.journal.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Propose implements Log.
func (l *replicatedLog) Propose(ctx context.Context, command []byte) (any, error) {
	result, err := l.Log.Propose(ctx, command)
	return result, l.translate(err)
}

// Barrier implements Log.
func (l *replicatedLog) Barrier(ctx context.Context) error { return l.translate(l.Log.Barrier(ctx)) }

// Transfer implements Log. A host that does not lead has nothing to hand over, and
// one without a successor leads until it ends.
func (l *replicatedLog) Transfer(ctx context.Context) error {
	if !l.Log.Status().IsLeader() {
		return nil
	}
	err := l.Log.TransferLeadership(ctx)
	if replication.IsErrNoSuccessor(err) {
		return nil
	}
	return l.translate(err)
}

// Serve implements Log.
func (l *replicatedLog) Serve(ctx context.Context, stream *transport.Stream, first *message.Quorum) {
	l.Log.Serve(ctx, stream, first)
}

func (l *replicatedLog) translate(err error) error {
	switch {
	case err == nil:
		return nil
	case replication.IsErrNotLeader(err):
		return ErrNotLeader{Leader: l.Log.Status().Leader}
	case replication.IsErrUncertain(err):
		return ErrUncertain{Cause: err}
	default:
		return ErrCall{Code: codeUnavailable, Reason: err.Error()}
	}
}

// Status implements Log.
func (l *replicatedLog) Status() LogStatus {
	now := l.Log.Status()
	status := LogStatus{Leading: now.IsLeader(), Term: now.Term, Leader: now.Leader, Match: map[host.ID]uint64{}}
	if now.IsLeader() {
		status.Match[now.Leader] = now.LastIndex
	}
	for _, p := range now.Peers {
		if !p.Silent {
			status.Match[p.Host] = p.Match
		}
	}
	return status
}

func (l *replicatedLog) onLeader(replication.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// WaitChange implements Log.
func (l *replicatedLog) WaitChange(ctx context.Context, old LogStatus) {
	for {
		l.mu.Lock()
		changed := l.changed
		l.mu.Unlock()
		now := l.Status()
		if now.Leading != old.Leading || now.Term != old.Term || now.Leader != old.Leader {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
