package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// handle answers with a text.
func handle(status int, text string, after time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(after)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	})
}

// get sends a request on an open connection and returns the status and body of the response.
func get(c net.Conn) (string, error) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return "", err
	}
	return read(c)
}

func read(c net.Conn) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return fmt.Sprint(response.StatusCode, " ", string(body)), err
}

// TestStopAnswersOrRefusesWhatItReads guards against a planned stop that drops a request, whether it
// began before or arrives on an open connection.
func TestStopAnswersOrRefusesWhatItReads(t *testing.T) {
	var early, late string
	var earlyErr, lateErr, stopErr, serveErr error
	synctest.Test(t, func(t *testing.T) {
		s := New(&http.Server{Handler: handle(200, "served", time.Second)}, handle(503, "refused", 0))
		listener := memnet.NewListener("h")
		served := make(chan error, 1)
		go func() { served <- s.Serve(listener) }()
		first, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		second, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			early, earlyErr = get(first)
		}()
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(t.Context()) }()
		synctest.Wait()
		late, lateErr = get(second)
		<-answered
		stopErr, serveErr = <-stopped, <-served
	})
	require.NoError(t, earlyErr)
	require.Equal(t, "200 served", early)
	require.NoError(t, lateErr)
	require.Equal(t, "503 refused", late)
	require.NoError(t, stopErr)
	require.NoError(t, serveErr)
}

// TestStopWaitsUntilResponsesAreSent guards against a planned stop that ends when the handlers have
// returned, although a caller has not read the response yet.
func TestStopWaitsUntilResponsesAreSent(t *testing.T) {
	var got string
	var gotErr, stopErr error
	synctest.Test(t, func(t *testing.T) {
		s := New(&http.Server{Handler: handle(200, "served", 0)}, handle(503, "refused", 0))
		listener := memnet.NewListener("h")
		go func() { _ = s.Serve(listener) }()
		c, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		require.Zero(t, s.InFlight())
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(t.Context()) }()
		time.Sleep(time.Second)
		got, gotErr = read(c)
		stopErr = <-stopped
	})
	require.NoError(t, gotErr)
	require.Equal(t, "200 served", got)
	require.NoError(t, stopErr)
}

// TestStopEndsWithItsContext guards against a planned stop without a limit.
func TestStopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(&http.Server{Handler: handle(200, "served", time.Minute)}, handle(503, "refused", 0))
		listener := memnet.NewListener("h")
		go func() { _ = s.Serve(listener) }()
		c, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		go func() { _, _ = get(c) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, s.Stop(ctx), context.DeadlineExceeded)
		require.Equal(t, 1, s.InFlight())
		require.NoError(t, s.Close())
		<-s.WhenIdle()
	})
}

// TestIdleServerStopsWithoutTime guards against a planned stop that reports cut requests although none
// are in flight, because its time is up when it begins.
func TestIdleServerStopsWithoutTime(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		s := New(&http.Server{Handler: handle(200, "served", 0)}, handle(503, "refused", 0))
		require.NoError(t, s.Stop(ctx))
	}
}

// TestStopRefusesWhatArrivesOnAnIdleConnection guards against a planned stop that closes an idle
// connection in the moment at which a request arrives on it: on a busy machine that request is read, and
// its connection ends without a response.
func TestStopRefusesWhatArrivesOnAnIdleConnection(t *testing.T) {
	var first, late string
	var lateErr, stopErr error
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		s := New(&http.Server{Handler: handle(200, "served", 0)}, handle(503, "refused", 0))
		listener := memnet.NewListener("h")
		go func() { _ = s.Serve(listener) }()
		kept, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		unused, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		first, err = get(kept)
		require.NoError(t, err)
		_, err = get(unused)
		require.NoError(t, err)
		synctest.Wait()
		stopped := make(chan error, 1)
		began := time.Now()
		go func() { stopped <- s.Stop(t.Context()) }()
		time.Sleep(idleExpiry / 2)
		late, lateErr = get(kept)
		stopErr = <-stopped
		took = time.Since(began)
	})
	require.Equal(t, "200 served", first)
	require.NoError(t, lateErr)
	require.Equal(t, "503 refused", late)
	require.NoError(t, stopErr)
	require.LessOrEqual(t, took, 2*idleExpiry, "an idle connection doesn't delay the stop")
}

// TestStopAnswersRequestsWhileItWaitsForCallers guards against a planned stop that waits for a slow caller and closes the connection of
// another one, whose request it has read meanwhile, without a response.
func TestStopAnswersRequestsWhileItWaitsForCallers(t *testing.T) {
	var late string
	var lateErr, stopErr error
	synctest.Test(t, func(t *testing.T) {
		s := New(&http.Server{Handler: handle(200, "served", 0)}, handle(503, "refused", time.Second))
		listener := memnet.NewListener("h")
		go func() { _ = s.Serve(listener) }()
		c, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		s.lingering.conns.Begin() // The connection of the slow caller.
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(t.Context()) }()
		synctest.Wait()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			late, lateErr = get(c)
		}()
		synctest.Wait()
		s.lingering.conns.End()
		<-answered
		stopErr = <-stopped
	})
	require.NoError(t, lateErr)
	require.Equal(t, "503 refused", late)
	require.NoError(t, stopErr)
}
