package daemon

import (
	"bytes"
	"context"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/process/settings"
)

// fixture is a supervised daemon with one request in flight, which ends after work.
type fixture struct {
	work    time.Duration
	signals chan os.Signal
	lines   bytes.Buffer
	// started is when the daemon began to run, stoppedAfter how long it ran, and cut the number of
	// requests that were in flight at the end.
	started      time.Time
	stoppedAfter time.Duration
	cut          int
	// fails is the error with which the daemon ends by itself after work. It may be nil.
	fails error
}

func newFixture(work time.Duration) *fixture {
	return &fixture{work: work, signals: make(chan os.Signal, 2), started: time.Now()}
}

// run runs the daemon with the auxiliary functions until it ends.
func (f *fixture) run(ctx context.Context, auxiliary ...func(context.Context) error) error {
	var ended atomic.Bool
	s := supervisor{
		daemon: Daemon{
			Run: func(ctx context.Context) error {
				if f.fails != nil {
					time.Sleep(f.work)
					return f.fails
				}
				<-ctx.Done()
				f.stoppedAfter = time.Since(f.started)
				return nil
			},
			InFlight: func() int { return f.inFlight(&ended) },
			Shutdown: func(ctx context.Context) int {
				timer := time.NewTimer(time.Until(f.started.Add(f.work)))
				defer timer.Stop()
				select {
				case <-timer.C:
					ended.Store(true)
				case <-ctx.Done():
				}
				f.cut = f.inFlight(&ended)
				return f.cut
			},
		},
		name: "gateway", stop: settings.Stop{ShutdownDelay: 2 * time.Second, DrainTimeout: 5 * time.Second}, signals: f.signals,
		logger: &log.Logger{Writer: &log.IOWriter{Writer: &f.lines}},
	}
	return s.run(ctx, auxiliary...)
}

func (f *fixture) inFlight(ended *atomic.Bool) int {
	if ended.Load() {
		return 0
	}
	return 1
}

// TestLogShowsHowAStopWent guards against a planned stop of which the log doesn't show what it cut.
func TestLogShowsHowAStopWent(t *testing.T) {
	for name, c := range map[string]struct {
		work time.Duration
		want string
	}{
		"the request ends":     {3 * time.Second, `"name":"process_stopped","role":"gateway","cut":0,"took":2000`},
		"the stop's time ends": {time.Minute, `"name":"process_stopped","role":"gateway","cut":1,"took":7000`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.work)
				time.AfterFunc(time.Second, func() { f.signals <- syscall.SIGTERM })
				require.NoError(t, f.run(t.Context()))
				require.Contains(t, f.lines.String(), `"name":"process_stopping","role":"gateway","signal":"terminated","in_flight":1`)
				require.Contains(t, f.lines.String(), c.want)
			})
		})
	}
}

// TestFurtherSignalsDoNotShortenAStop guards against a second SIGTERM or SIGINT that cuts the requests
// in flight.
func TestFurtherSignalsDoNotShortenAStop(t *testing.T) {
	for name, further := range map[string][]os.Signal{
		"one more":     {syscall.SIGTERM},
		"another kind": {syscall.SIGINT},
		"many":         {syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(4 * time.Second)
				time.AfterFunc(time.Second, func() { f.signals <- syscall.SIGTERM })
				for i, s := range further {
					time.AfterFunc(time.Second+time.Duration(i+1)*150*time.Millisecond, func() { f.signals <- s })
				}
				require.NoError(t, f.run(t.Context()))
				require.Zero(t, f.cut)
				require.Equal(t, 4*time.Second, f.stoppedAfter)
				require.Equal(t, len(further), strings.Count(f.lines.String(), `"name":"stop_signal_repeated"`))
			})
		})
	}
}

// TestFailedSideTaskStopsTheDaemonGracefully guards against a health listener whose failure cuts the
// requests in flight, at once or during a planned stop.
func TestFailedSideTaskStopsTheDaemonGracefully(t *testing.T) {
	for name, signalAfter := range map[string]time.Duration{"while it runs": time.Hour, "while it stops": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(4 * time.Second)
				signal := time.AfterFunc(signalAfter, func() { f.signals <- syscall.SIGTERM })
				err := f.run(t.Context(), func(context.Context) error {
					time.Sleep(time.Second)
					return errors.New("listener failed")
				})
				signal.Stop()
				require.Zero(t, f.cut)
				require.Equal(t, 4*time.Second, f.stoppedAfter)
				require.EqualError(t, err, "listener failed")
			})
		})
	}
}

// TestSignalDuringTheStartEndsTheProcess guards against a planned stop of a daemon that doesn't run yet.
func TestSignalDuringTheStartEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(time.Minute)
		f.signals <- syscall.SIGTERM
		require.NoError(t, f.run(t.Context(), func(context.Context) error {
			t.Error("a side task has started")
			return nil
		}))
		require.Zero(t, time.Since(f.started))
		require.Contains(t, f.lines.String(), `"name":"process_stopped","role":"gateway","cut":0,"took":0`)
	})
}

// TestFailureOfTheDaemonIsLogged guards against a daemon that ends and cuts requests without a line in
// its log.
func TestFailureOfTheDaemonIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(time.Second)
		f.fails = errors.New("disk failed")
		require.EqualError(t, f.run(t.Context()), "disk failed")
		require.Contains(t, f.lines.String(), `"name":"process_failed","role":"gateway","in_flight":1,"error":"disk failed"`)
	})
}
