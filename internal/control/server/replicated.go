package server

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/control/voter"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// ReplicatedLogOptions holds the options of a log that the control hosts replicate and keep on
// disk.
type ReplicatedLogOptions struct {
	ID         host.ID
	Hosts      map[host.ID]string
	FileSystem journal.FileSystem
	Folder     string
	Pool       *pool.Pool
	// Logger may be nil.
	Logger *log.Logger
	// Timing holds the heartbeat and election times.
	Timing quorum.Timing
	// Metrics gets the gauges of the log. It may be nil.
	Metrics *metric.Registry
}

// Open opens the journal and returns the log that applies its commands to machine. It is meant for
// Options.Log.
func (r ReplicatedLogOptions) Open(machine StateMachine) (Log, error) {
	opened, err := journal.Open(r.FileSystem, r.Folder)
	if err != nil {
		return nil, err
	}
	l := &replicatedLog{journal: opened, changed: make(chan struct{})}
	l.Log = replication.New(replication.Options{
		Self: r.ID, Voters: voter.NewDirectory(r.Hosts), Journal: opened, StateMachine: machine, Pool: r.Pool, Logger: r.Logger,
		Timing: r.Timing, OnStatusChange: l.onStatusChange,
	})
	replication.RegisterMetrics(r.Metrics, l.Log.Status)
	return l, nil
}

// replicatedLog adapts a replication.Log to Log.
type replicatedLog struct {
	*replication.Log
	journal *journal.Journal

	mu sync.Mutex
	// changed is closed and replaced on each change of the status.
	changed chan struct{}
}

// Run implements Log. It closes the journal when the log has stopped.
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
	return result, l.translateError(err)
}

// Barrier implements Log.
func (l *replicatedLog) Barrier(ctx context.Context) error {
	return l.translateError(l.Log.Barrier(ctx))
}

// TransferLeadership implements Log. It does nothing at a host that is not the leader. A leader
// without a successor remains the leader until it stops, which is not an error.
func (l *replicatedLog) TransferLeadership(ctx context.Context) error {
	if !l.Log.Status().IsLeader() {
		return nil
	}
	err := l.Log.TransferLeadership(ctx)
	if replication.IsErrNoSuccessor(err) {
		return nil
	}
	return l.translateError(err)
}

// Serve implements Log.
func (l *replicatedLog) Serve(ctx context.Context, stream *transport.Stream, first *message.Quorum) {
	l.Log.Serve(ctx, stream, first)
}

// translateError returns the server's error for an error of the replication package.
func (l *replicatedLog) translateError(err error) error {
	switch {
	case err == nil:
		return nil
	case replication.IsErrNotLeader(err):
		return ErrNotLeader{Leader: l.Log.Status().Leader}
	case replication.IsErrUncertain(err):
		return ErrUncertain{Cause: err}
	default:
		return ErrFailure{Code: codeUnavailable, Reason: err.Error()}
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

func (l *replicatedLog) onStatusChange(replication.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// WaitStatusChange implements Log.
func (l *replicatedLog) WaitStatusChange(ctx context.Context, old LogStatus) {
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
