package server

import (
	"context"
	"sync"
	"time"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// reopenDelay is the pause before a control host is started again after a failure of its disk.
const reopenDelay = time.Second

// Daemon is a control host that outlasts failures of its disk: its Server ends, since what a failed write has left on the disk is not known, and a new
// one starts from what the journal holds as soon as the disk works again. Create it with NewDaemon.
type Daemon struct {
	opts Options

	mu sync.Mutex
	// server is nil while the disk doesn't work.
	server   *Server
	stopping bool
	// stop ends Run.
	stop context.CancelFunc
}

// NewDaemon returns a control host with the options of its Server. It returns the errors of New.
func NewDaemon(opts Options) (*Daemon, error) {
	s, err := New(opts)
	if err != nil {
		return nil, err
	}
	return &Daemon{opts: opts, server: s, stop: func() {}}, nil
}

// Run serves until ctx ends, Shutdown is done or the replicated state fails for another reason than the disk.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for s := d.begin(cancel); s != nil; s = d.reopen(ctx) {
		err := s.Run(ctx)
		if ctx.Err() != nil || !isDiskFailure(err) || !d.end() {
			return err
		}
		event.LogRestarted.On(d.opts.Logger).Err(err).Msg("")
	}
	return nil
}

// begin returns the first server, or nil if the daemon was stopped before.
func (d *Daemon) begin(cancel context.CancelFunc) *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stop = cancel
	if d.stopping {
		return nil
	}
	return d.server
}

// end forgets the server, which has failed. It returns false if the daemon is stopping.
func (d *Daemon) end() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server = nil
	return !d.stopping
}

// reopen returns a new server once the disk works, or nil if ctx has ended.
func (d *Daemon) reopen(ctx context.Context) *Server {
	for pause.For(ctx, reopenDelay) {
		s, err := New(d.opts)
		if err != nil {
			event.JournalFailed.On(d.opts.Logger).Str("reason", err.Error()).Msg("")
			continue
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.stopping {
			return nil
		}
		d.server = s
		return s
	}
	return nil
}

// isDiskFailure reports whether a server ended because the disk refused a write. A damaged journal is no such failure.
func isDiskFailure(err error) bool { return journal.IsErrDiskFull(err) || journal.IsErrIO(err) }

// current returns the running server, or nil while the disk doesn't work.
func (d *Daemon) current() *Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server
}

// Ready reports whether this control host knows the leader, which may be itself, and is not stopping.
func (d *Daemon) Ready() bool {
	s := d.current()
	return s != nil && s.Ready()
}

// CallsInProgress returns the number of calls whose callers have not yet read the answer.
func (d *Daemon) CallsInProgress() int {
	if s := d.current(); s != nil {
		return s.CallsInProgress()
	}
	return 0
}

// Shutdown transfers the leadership, waits for the calls in progress and ends Run.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.mu.Lock()
	d.stopping = true
	s, stop := d.server, d.stop
	d.mu.Unlock()
	defer stop()
	if s == nil {
		return nil
	}
	return s.Shutdown(ctx)
}
