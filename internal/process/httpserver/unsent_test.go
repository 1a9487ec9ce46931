package httpserver

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// TestUnsentResponseIsLogged guards against a response that is cut when its connection is closed, and of which no log line tells.
func TestUnsentResponseIsLogged(t *testing.T) {
	var lines bytes.Buffer
	budget := NewBudget(BudgetOptions{Logger: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}})
	written, end := make(chan struct{}), make(chan struct{})
	defer close(end)
	s, l := serveTCP(t, func(w http.ResponseWriter, r *http.Request) {
		NameRequest(r.Context(), "request-1")
		_, _ = io.WriteString(w, strings.Repeat("x", responseSize))
		_ = http.NewResponseController(w).Flush()
		close(written)
		<-end
	}, CallerLimits{Budget: budget})
	c := dialSlow(t, l)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("y", 64<<10))
	require.NoError(t, err)
	<-written
	require.NoError(t, s.Close())
	require.Contains(t, lines.String(), `"name":"response_unsent","request":"request-1","reason":"stop"`)
}

// TestUnsentResponsesAreLoggedWithinABound guards against a crowd whose cut responses fill the log.
func TestUnsentResponsesAreLoggedWithinABound(t *testing.T) {
	var l lineLimit
	now := time.Now()
	for range maxUnsentLines {
		omitted, ok := l.take(now)
		require.True(t, ok)
		require.Zero(t, omitted)
	}
	for range 3 {
		_, ok := l.take(now)
		require.False(t, ok)
	}
	omitted, ok := l.take(now.Add(unsentLogInterval))
	require.True(t, ok)
	require.Equal(t, 3, omitted)
}

// TestResponseOfACallerThatLeavesIsLogged guards against a response that its caller has not received, and of which no log line tells.
func TestResponseOfACallerThatLeavesIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*net.TCPConn) error
		want string
	}{
		"reset":              {func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, `"reason":"caller left"`},
		"end of the sending": {(*net.TCPConn).CloseWrite, `"reason":"caller ended, the kernel sends the rest"`},
	} {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			budget := NewBudget(BudgetOptions{Logger: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}})
			s, l := serveTCP(t, func(w http.ResponseWriter, r *http.Request) {
				NameRequest(r.Context(), "request-1")
				respondAndClose(w, r)
			}, CallerLimits{Budget: budget})
			caller := dialSlow(t, l)
			send(t, caller, simpleRequest)
			<-l.ended
			require.NoError(t, c.end(caller))
			<-s.lingering.conns.WhenIdle()
			require.Contains(t, lines.String(), `"name":"response_left","request":"request-1",`+c.want)
		})
	}
}
