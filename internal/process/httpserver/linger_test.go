package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// readWhole reads a response with a body of responseSize bytes.
func readWhole(t *testing.T, c net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err, "after %d of %d bytes", len(body), responseSize)
	require.Len(t, body, responseSize)
}

const simpleRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// respondAndClose sends a response of responseSize bytes, after which the connection is closed.
func respondAndClose(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	_, _ = io.WriteString(w, strings.Repeat("x", responseSize))
}

// bigRequest is a request of which a server that doesn't serve it leaves a part unread.
var bigRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("y", 64<<10)

// send writes requests.
func send(t *testing.T, c net.Conn, requests string) {
	_, err := io.WriteString(c, requests)
	require.NoError(t, err)
}

// TestResponseArrivesWholeBesideAnUnreadRequest guards against a connection that is closed while its caller still reads the response and has
// sent its next request already: the kernel resets such a connection and drops what it has not sent.
func TestResponseArrivesWholeBesideAnUnreadRequest(t *testing.T) {
	_, l := serveTCP(t, respondAndClose)
	c := dialSlow(t, l)
	send(t, c, simpleRequest)
	send(t, c, bigRequest)
	<-l.ended
	readWhole(t, c)
}

// TestResponseArrivesWholeBesideALateRequest guards against a connection that is closed while its caller still reads the response, and that
// is reset by the caller's next request.
func TestResponseArrivesWholeBesideALateRequest(t *testing.T) {
	_, l := serveTCP(t, respondAndClose)
	c := dialSlow(t, l)
	send(t, c, simpleRequest)
	<-l.ended
	send(t, c, bigRequest)
	readWhole(t, c)
}

// TestStopWaitsUntilResponsesAreReceived guards against a planned stop that ends the process while callers still read.
func TestStopWaitsUntilResponsesAreReceived(t *testing.T) {
	s, l := serveTCP(t, respondAndClose)
	c := dialSlow(t, l)
	send(t, c, simpleRequest+bigRequest)
	<-l.ended
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, s.Stop(ended), context.Canceled, "the caller has not received the response")
	require.Equal(t, 1, s.InFlight())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context()) }()
	readWhole(t, c)
	require.NoError(t, <-stopped, "the caller has received the response, and keeps its connection")
	require.Zero(t, s.openCount())
}

// TestNothingIsReadFromAClosedConnection guards against a request that crosses the close of an idle connection, is read and runs although its
// response can't be sent.
func TestNothingIsReadFromAClosedConnection(t *testing.T) {
	l := listenTCP(t)
	s := New(&http.Server{}, handle(503, "refused", 0))
	t.Cleanup(func() { _ = s.Close() })
	caller := dialSlow(t, l)
	inner, err := l.Accept()
	require.NoError(t, err)
	served := s.admit(inner)
	send(t, served, strings.Repeat("x", responseSize))
	reads := make(chan error, 1)
	go func() {
		var b [1]byte
		_, err := served.Read(b[:])
		reads <- err
	}()
	require.NoError(t, served.Close())
	<-l.ended
	send(t, caller, simpleRequest)
	require.ErrorIs(t, <-reads, net.ErrClosed)
	require.ErrorIs(t, served.SetReadDeadline(time.Time{}), net.ErrClosed)
}

// TestReceivedResponseIsNotInFlight guards against a planned stop that counts a response as cut although its caller, which keeps its
// connection, has received it.
func TestReceivedResponseIsNotInFlight(t *testing.T) {
	s, l := serveTCP(t, respondAndClose)
	c := dialSlow(t, l)
	send(t, c, simpleRequest)
	<-l.ended
	require.Equal(t, 1, s.InFlight())
	readWhole(t, c)
	<-s.lingering.unreceived.WhenIdle()
	require.Zero(t, s.InFlight())
}

// TestEndOfAStopLeavesTheRestToTheKernel guards against a response that the end of a planned stop cuts although the kernel can send the rest,
// against one of which no log line tells, and against a log that takes it for cut.
func TestEndOfAStopLeavesTheRestToTheKernel(t *testing.T) {
	var lines bytes.Buffer
	budget := NewBudget(BudgetOptions{Logger: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}})
	s, l := serveTCP(t, func(w http.ResponseWriter, r *http.Request) {
		NameRequest(r.Context(), "request-1")
		respondAndClose(w, r)
	}, CallerLimits{Budget: budget})
	c := dialSlow(t, l)
	send(t, c, simpleRequest)
	<-l.ended
	require.NoError(t, s.Close())
	readWhole(t, c)
	require.Contains(t, lines.String(), `"name":"response_unsent","request":"request-1","reason":"stop, the kernel sends the rest"`)
	require.Zero(t, s.Unanswered(), "no request is cut")
	require.Zero(t, s.openCount())
	require.Zero(t, used(s).held, "everything is given back")
}

// TestClosingConnectionCountsUntilItsCallerHasLeft guards against callers that take more connections than they may by not reading.
func TestClosingConnectionCountsUntilItsCallerHasLeft(t *testing.T) {
	s, l := serveTCP(t, respondAndClose, CallerLimits{Connections: 1})
	c := dialSlow(t, l)
	send(t, c, simpleRequest)
	<-l.ended
	refused := dialSlow(t, l)
	answer, err := read(refused)
	require.NoError(t, err)
	require.Equal(t, "503 ", answer)
	require.NoError(t, c.Close())
	<-s.lingering.conns.WhenIdle()
	require.Zero(t, used(s).held)
}

// TestReceiptEndsOrStalls guards against a connection that stays open although its caller has received everything or reads nothing, and
// against one that is closed while its caller reads slowly.
func TestReceiptEndsOrStalls(t *testing.T) {
	const received, stalled = int(lingerAfterReceipt / lingerCheckInterval), int(transferTimeout / lingerCheckInterval)
	var p receiptProgress
	for unsent := 3 * stalled; unsent > 0; unsent-- {
		require.Equal(t, receiptPending, p.next(unsent))
	}
	for range received {
		require.Equal(t, receiptPending, p.next(0))
	}
	require.Equal(t, receiptDone, p.next(0))

	p = receiptProgress{}
	for range stalled {
		require.Equal(t, receiptPending, p.next(1))
	}
	require.Equal(t, receiptStalled, p.next(1))
}
