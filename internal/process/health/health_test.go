package health

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

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
