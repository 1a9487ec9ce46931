package daemon

import (
	"context"
	"os"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// supervisor runs a daemon and stops it at a signal.
type supervisor struct {
	daemon Daemon
	// name is the daemon's name in the log.
	name string
	stop settings.Stop
	// signals receives the signals that start a planned stop.
	signals <-chan os.Signal
	// logger may be nil.
	logger *log.Logger
}

// run runs the daemon and the auxiliary functions until one of them fails, ctx ends or a signal has
// stopped the daemon.
func (s *supervisor) run(ctx context.Context, auxiliary ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		return s.daemon.Run(ctx)
	})
	for _, run := range auxiliary {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		s.awaitStop(ctx)
		return nil
	})
	return group.Wait()
}

// awaitStop waits for a signal and carries out a planned stop, or returns when ctx ends.
func (s *supervisor) awaitStop(ctx context.Context) {
	select {
	case <-ctx.Done():
	case received := <-s.signals:
		s.shutdown(ctx, received)
	}
}

// shutdown calls the daemon's Shutdown with the time limit of a planned stop. Further signals are
// logged and change nothing.
func (s *supervisor) shutdown(ctx context.Context, received os.Signal) {
	startedAt := time.Now()
	event.ProcessStopping.On(s.logger).Str("role", s.name).Str("signal", received.String()).Int("in_flight", s.inFlight()).Msg("")
	ctx, cancel := context.WithTimeout(ctx, s.stop.ShutdownDelay+s.stop.DrainTimeout)
	defer cancel()
	done := make(chan int)
	go func() { done <- s.daemon.Shutdown(ctx) }()
	for {
		select {
		case cut := <-done:
			event.ProcessStopped.On(s.logger).Str("role", s.name).Int("cut", cut).Dur("took", time.Since(startedAt)).Msg("")
			return
		case again := <-s.signals:
			event.StopSignalRepeated.On(s.logger).Str("role", s.name).Str("signal", again.String()).
				Dur("after", time.Since(startedAt)).Int("in_flight", s.inFlight()).Msg("")
		}
	}
}

// inFlight returns how many requests the daemon is serving.
func (s *supervisor) inFlight() int {
	if s.daemon.InFlight == nil {
		return 0
	}
	return s.daemon.InFlight()
}
