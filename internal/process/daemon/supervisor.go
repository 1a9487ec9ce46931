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

// run runs the daemon and the auxiliary functions until the daemon fails, ctx ends, or a signal or
// the failure of an auxiliary function has stopped the daemon. It returns the first error.
func (s *supervisor) run(ctx context.Context, auxiliary ...func(context.Context) error) error {
	if s.stoppedBeforeStart() {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	failed := make(chan error, len(auxiliary))
	group.Go(func() error {
		defer cancel()
		err := s.daemon.Run(ctx)
		if err != nil {
			event.ProcessFailed.On(s.logger).Str("role", s.name).Int("in_flight", s.inFlight()).Err(err).Msg("")
		}
		return err
	})
	for _, run := range auxiliary {
		group.Go(func() error {
			if err := run(ctx); err != nil {
				failed <- err
			}
			return nil
		})
	}
	group.Go(func() error {
		defer cancel()
		return s.awaitStop(ctx, failed)
	})
	return group.Wait()
}

// stoppedBeforeStart reports whether a signal has arrived while the process started. The daemon has
// accepted nothing yet, and its Shutdown need not work before its Run.
func (s *supervisor) stoppedBeforeStart() bool {
	select {
	case received := <-s.signals:
		event.ProcessStopping.On(s.logger).Str("role", s.name).Str("signal", received.String()).Int("in_flight", 0).Msg("")
		event.ProcessStopped.On(s.logger).Str("role", s.name).Int("cut", 0).Dur("took", 0).Msg("")
		return true
	default:
		return false
	}
}

// awaitStop waits for a signal or the failure of an auxiliary function and carries out a planned
// stop, or returns when ctx ends. It returns the error of that function.
func (s *supervisor) awaitStop(ctx context.Context, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case received := <-s.signals:
		event.ProcessStopping.On(s.logger).Str("role", s.name).Str("signal", received.String()).Int("in_flight", s.inFlight()).Msg("")
		s.shutdown(ctx)
	case err := <-failed:
		event.ProcessStopping.On(s.logger).Str("role", s.name).Err(err).Int("in_flight", s.inFlight()).Msg("")
		s.shutdown(ctx)
		return err
	}
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// shutdown calls the daemon's Shutdown with the time limit of a planned stop. Further signals are
// logged and change nothing.
func (s *supervisor) shutdown(ctx context.Context) {
	startedAt := time.Now()
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
