package health

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/standin/memnet"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

func TestPagesAreServedUntilContextEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	registry := metric.New()
	registry.Counter("starts_total", "Starts.").Inc(1)
	var reason error
	server := Server{Metrics: registry, Ready: func() error { return reason }}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()

	get := func(path string) (int, string) {
		response, err := http.Get("http://" + listener.Addr().String() + path)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(body)
	}
	status, body := get("/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "egretreach_starts_total 1\n")
	status, _ = get("/readyz")
	require.Equal(t, http.StatusOK, status)
	reason = errors.New("no revision is confirmed")
	status, body = get("/readyz")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, reason.Error())
	status, _ = get("/healthz")
	require.Equal(t, http.StatusOK, status)

	cancel()
	require.NoError(t, <-done)
}

// TestSilentConnectionDoesNotDelayTheExit guards against a process that is killed at the end of its
// planned stop, because a connection to the health pages has sent no request.
func TestSilentConnectionDoesNotDelayTheExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := memnet.NewListener("health")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- Server{}.Serve(ctx, listener) }()
		c, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		synctest.Wait()
		endedAt := time.Now()
		cancel()
		require.NoError(t, <-done)
		require.Less(t, time.Since(endedAt), 500*time.Millisecond)
		_ = c.Close()
	})
}

// TestFurtherPagesAreServedBesideTheOthers guards against a daemon's page that hides the three of all daemons or isn't served.
func TestFurtherPagesAreServedBesideTheOthers(t *testing.T) {
	page := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
	handler := Server{Pages: map[string]http.Handler{"GET /further": page}}.Handler()
	for path, status := range map[string]int{"/further": http.StatusAccepted, "/healthz": http.StatusOK, "/none": http.StatusNotFound} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		require.Equal(t, status, w.Code, path)
	}
}
