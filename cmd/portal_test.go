package cmd

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// fakePortal is a portal that does nothing by itself.
type fakePortal struct {
	// transfer transfers the leadership. nil is a portal that does not lead.
	transfer func(ctx context.Context)
	// unreceived is the number of answers that control hosts do not receive.
	unreceived int
}

func (*fakePortal) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (p *fakePortal) Stop(ctx context.Context) {
	if p.transfer != nil {
		p.transfer(ctx)
	}
}

func (p *fakePortal) Drain(context.Context) error {
	if p.unreceived == 0 {
		return nil
	}
	return transport.ErrUnreceived{Answers: p.unreceived, Cause: context.DeadlineExceeded}
}

// TestStopCountsUnreceivedAnswers guards against a planned stop of a portal that does not wait until control hosts have received its answers,
// or does not count those that it cuts.
func TestStopCountsUnreceivedAnswers(t *testing.T) {
	d := portalDaemon(&fakePortal{unreceived: 2}, http.NotFoundHandler(), memnet.NewListener("portal"), httpserver.CallerLimits{})
	require.Equal(t, 2, d.Shutdown(t.Context()))
}

// TestStoppingPortalAnswersWhatItHasAccepted guards against a planned stop of a portal that closes the
// connection of an operator whose configuration it is committing.
func TestStoppingPortalAnswersWhatItHasAccepted(t *testing.T) {
	var body []byte
	var responseErr error
	cut := -1
	synctest.Test(t, func(t *testing.T) {
		api := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(600 * time.Millisecond)
			_, _ = io.WriteString(w, "acknowledged")
		})
		listener := memnet.NewListener("portal")
		d := portalDaemon(&fakePortal{}, api, listener, httpserver.CallerLimits{})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		answered := make(chan struct{})
		client := &http.Transport{DialContext: listener.Dial}
		go func() {
			defer close(answered)
			response, err := (&http.Client{Transport: client}).Get("http://portal/config")
			if err != nil {
				responseErr = err
				return
			}
			defer func() { _ = response.Body.Close() }()
			body, responseErr = io.ReadAll(response.Body)
		}()
		time.Sleep(100 * time.Millisecond)
		cut = d.Shutdown(ctx)
		cancel()
		<-answered
		require.NoError(t, <-ended)
		time.Sleep(time.Second) // The handler ends in any case.
	})
	require.NoError(t, responseErr)
	require.Equal(t, "acknowledged", string(body))
	require.Zero(t, cut)
}

// TestPortalWithoutSuccessorStopsInTime guards against a planned stop that looks for another leader
// until its time is up, and then cuts the calls in flight.
func TestPortalWithoutSuccessorStopsInTime(t *testing.T) {
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		listener := memnet.NewListener("portal")
		p := &fakePortal{transfer: func(ctx context.Context) { <-ctx.Done() }}
		d := portalDaemon(p, http.NotFoundHandler(), listener, httpserver.CallerLimits{})
		runCtx, cancelRun := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(runCtx) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 7500*time.Millisecond)
		defer cancel()
		startedAt := time.Now()
		d.Shutdown(ctx)
		took = time.Since(startedAt)
		cancelRun()
		require.NoError(t, <-ended)
	})
	require.LessOrEqual(t, took, 5*time.Second)
}
