package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// respondOn begins a response at once and ends it, with size bytes, when end is closed.
func respondOn(begun chan<- struct{}, end <-chan struct{}, size int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		begun <- struct{}{}
		<-end
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}
}

// twoResponses is what a caller receives for a request and the one that it has sent ahead.
type twoResponses struct {
	body          []byte
	first, second *http.Response
	err           error
}

// readBoth reads two responses.
func readBoth(c net.Conn) (r twoResponses) {
	reader := bufio.NewReader(c)
	if r.first, r.err = http.ReadResponse(reader, nil); r.err != nil {
		return r
	}
	if r.body, r.err = io.ReadAll(r.first.Body); r.err != nil {
		return r
	}
	if r.second, r.err = http.ReadResponse(reader, nil); r.err != nil {
		return r
	}
	_, r.err = io.Copy(io.Discard, r.second.Body)
	return r
}

// requireRefusal checks that the first response has size bytes and that the second one is a refusal, behind which the connection ends.
func (r twoResponses) requireRefusal(t *testing.T, size int) {
	require.Len(t, r.body, size)
	require.NoError(t, r.err, "the request that was sent ahead got no response")
	require.False(t, r.first.Close, "the caller expects a response to its next request")
	require.Equal(t, http.StatusServiceUnavailable, r.second.StatusCode)
	require.True(t, r.second.Close)
}

// TestStopRefusesARequestThatWasSentAhead guards against a planned stop that closes a connection after a response that had begun before, and
// drops the next request of the caller, which can't know whether it has run.
func TestStopRefusesARequestThatWasSentAhead(t *testing.T) {
	for name, ahead := range map[string]string{"behind the first": simpleRequest, "after the stop began": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun, end := make(chan struct{}, 1), make(chan struct{})
				s := New(&http.Server{Handler: respondOn(begun, end, 10)}, handle(503, "refused", 0))
				l := memnet.NewListener("h")
				go func() { _ = s.Serve(l) }()
				c, err := l.Dial(t.Context(), "", "")
				require.NoError(t, err)
				go func() { _, _ = io.WriteString(c, simpleRequest+ahead) }()
				got := make(chan twoResponses, 1)
				go func() { got <- readBoth(c) }()
				<-begun
				stopped := make(chan error, 1)
				go func() { stopped <- s.Stop(t.Context()) }()
				synctest.Wait()
				if ahead == "" {
					go func() { _, _ = io.WriteString(c, simpleRequest) }()
					synctest.Wait()
				}
				close(end)
				(<-got).requireRefusal(t, 10)
				require.NoError(t, <-stopped)
			})
		})
	}
}

// TestSlowCallerGetsTheRefusalOfWhatItSentAhead guards against the same where the caller has not received the response yet, and where the stop
// takes its turn to wait for callers.
func TestSlowCallerGetsTheRefusalOfWhatItSentAhead(t *testing.T) {
	begun, end := make(chan struct{}, 1), make(chan struct{})
	s, l := serveTCP(t, respondOn(begun, end, responseSize))
	c := dialSlow(t, l)
	send(t, c, simpleRequest)
	<-begun
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.Stop(ended), context.Canceled)
	send(t, c, simpleRequest)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	close(end)
	readBoth(c).requireRefusal(t, responseSize)
	require.NoError(t, <-stopped)
}

// TestResponseThatBeginsInAStopEndsItsConnection guards against callers that are not told that their connection ends, and send their next
// request on it.
func TestResponseThatBeginsInAStopEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(&http.Server{Handler: handle(200, "served", time.Second)}, handle(503, "refused", 0))
		l := memnet.NewListener("h")
		go func() { _ = s.Serve(l) }()
		c, err := l.Dial(t.Context(), "", "")
		require.NoError(t, err)
		go func() { _, _ = io.WriteString(c, simpleRequest) }()
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(t.Context()) }()
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.True(t, response.Close)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, <-stopped)
	})
}

// TestStopEndsConnectionsOfCallersThatSendEmptyLines guards against a planned stop that waits for a connection on which bytes arrive that are
// no request.
func TestStopEndsConnectionsOfCallersThatSendEmptyLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun, end := make(chan struct{}, 1), make(chan struct{})
		s := New(&http.Server{Handler: respondOn(begun, end, 10)}, handle(503, "refused", 0))
		l := memnet.NewListener("h")
		go func() { _ = s.Serve(l) }()
		c, err := l.Dial(t.Context(), "", "")
		require.NoError(t, err)
		go func() { _, _ = io.WriteString(c, simpleRequest+"\r\n") }()
		go func() { _, _ = io.Copy(io.Discard, c) }()
		<-begun
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(t.Context()) }()
		synctest.Wait()
		close(end)
		at := time.Now()
		require.NoError(t, <-stopped)
		require.LessOrEqual(t, time.Since(at), 2*idleExpiry)
	})
}
