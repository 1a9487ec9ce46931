package dispatch

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/httpserver"
)

// TestRequestWhoseCallerLeftIsNotDispatched guards against work for callers that closed the connection before the entry, whose
// scheduling was delayed, accepted it. Without a pool of links, an attempt that is made fails the test.
func TestRequestWhoseCallerLeftIsNotDispatched(t *testing.T) {
	ended := make(chan execution.Ended, 1)
	s := httpserver.New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ended <- (&executor{}).streamAttempt(r.Context(), execution.Dispatch{}, time.Now())
	})}, http.NotFoundHandler())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	got := <-ended
	require.Equal(t, execution.EndNotRun, got.Kind)
	require.Equal(t, codeCallerGone, got.Code)
	require.True(t, got.Final)
	require.NoError(t, s.Close())
	require.NoError(t, <-served)
}

// TestHeadWithInvalidStatusIsNoAnswer guards against an agent of an earlier version that passes on the answer of a service in trouble.
func TestHeadWithInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []int{-1, 0, 20, 99, 100, 101, 600, 999} {
		ended, last := (&executor{}).handleFrame(&message.Head{Status: status}, message.Ref{}, time.Now())
		require.True(t, last, status)
		require.Equal(t, execution.EndLost, ended.Kind)
		require.Equal(t, execution.CodeEndpointFailed, ended.Code)
	}
	_, last := (&executor{}).handleFrame(&message.Head{Status: http.StatusOK}, message.Ref{}, time.Now())
	require.False(t, last)
}

// TestAnswerWithoutHeadIsNoAnswer guards against a call to a service that ends as complete although its head has not arrived.
func TestAnswerWithoutHeadIsNoAnswer(t *testing.T) {
	e := &executor{}
	e.progress.work.Body = ServiceCall{}
	ended := e.handleEnd(&message.End{Outcome: request.OutcomeComplete})
	require.Equal(t, execution.EndLost, ended.Kind)
	require.Equal(t, execution.CodeEndpointFailed, ended.Code)
}
