package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/platform"
	"github.com/egretreach/egretreach/platform/standin"
)

// answer says what a gateway does with one request. The zero answer is complete.
type answer struct {
	// status is that of the response, 200 if it is zero, and header further lines of its header.
	status int
	header string
	// cut is the number of bytes that lack at the end of the body.
	cut int
	// otherID is the ID of the response in place of the request's.
	otherID string
	// none closes the connection after wait in place of a response, and ran reports that an endpoint got the request all the same.
	none, ran bool
	wait      time.Duration
	// early responds before the body has come.
	early bool
}

const closeLine = "Connection: close\r\n"

// playGateway answers the requests on a connection in their order, and closes it after the last answer, one that lacks bytes or none.
func playGateway(conn net.Conn, tb *testbed, answers []answer) {
	defer func() { _ = conn.Close() }()
	requests := make(chan *http.Request, len(answers)+1)
	go readRequests(conn, requests, len(answers) > 0 && answers[0].early)
	for _, a := range answers {
		r, ok := <-requests
		if !ok {
			return
		}
		id := r.Header.Get(platform.Dialect().Headers.RequestID)
		if !a.none || a.ran {
			tb.recorder.RequestStarted(id, "be1")
		}
		if a.none {
			time.Sleep(a.wait)
			return
		}
		a.write(conn, id, r.URL.Path)
		if a.cut > 0 {
			return
		}
	}
}

// readRequests reads requests until the connection ends. If early is set, it reports them before it has read their bodies.
func readRequests(conn net.Conn, requests chan<- *http.Request, early bool) {
	defer close(requests)
	buffered := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(buffered)
		if err != nil {
			return
		}
		if early {
			requests <- r
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !early {
			requests <- r
		}
	}
}

func (a answer) write(w io.Writer, id, path string) {
	names := platform.Dialect().Headers
	body, events := standin.PlainBody(id), 0
	if n, err := fmt.Sscanf(path, "/stream/%d", &events); n == 1 && err == nil {
		body = expectedBody(kindStream, id, events)
	}
	if a.otherID != "" {
		id = a.otherID
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: be1\r\nRetry-After: 1\r\n%sContent-Length: %d\r\n\r\n%s",
		max(a.status, http.StatusOK), names.RequestID, id, names.Signature, a.header, len(body), body[:len(body)-a.cut]) // The caller may have left.
}

// refusingConn takes no more than a number of bytes, as one whose peer has closed it while its response is on the way.
type refusingConn struct {
	net.Conn
	left int
}

// Write implements net.Conn.
func (c *refusingConn) Write(p []byte) (int, error) {
	if c.left == 0 {
		return 0, syscall.EPIPE
	}
	n, err := c.Conn.Write(p[:min(len(p), c.left)])
	c.left -= n
	if err == nil && n < len(p) {
		err = syscall.EPIPE
	}
	return n, err
}

// exchangeWith lets a caller of a new testbed send up to a number of bytes to a gateway with answers. It returns the testbed and whether
// the connection goes on.
func exchangeWith(t *testing.T, size int, answers []answer, exchange func(*connCaller) bool) (*testbed, bool) {
	tb := newQuietTestbed()
	var goesOn bool
	synctest.Test(t, func(*testing.T) {
		own, other := net.Pipe()
		played := make(chan struct{})
		go func() {
			defer close(played)
			playGateway(other, tb, answers)
		}()
		c := newConnCaller("c", newRunning(time.Now()), tb, newRand(1, 1))
		c.use(&refusingConn{own, size})
		goesOn = exchange(c)
		_ = own.Close()
		<-played
	})
	return tb, goesOn
}

// TestAheadCallerChecksItsConnection guards against a caller that takes a response that is cut, another request's, or behind the end of the
// connection for a good one, or counts a request that crossed the end of the connection as lost.
func TestAheadCallerChecksItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		answers []answer
		goesOn  bool
		count   string
		want    string
	}{
		"both complete":                  {[]answer{{}, {}}, true, "answered", ""},
		"the first ends the connection":  {[]answer{{header: closeLine}}, false, "excused: sent to a connection that ended", ""},
		"the second ran all the same":    {[]answer{{header: closeLine}, {none: true, ran: true}}, false, "answered", "LOST without any cause"},
		"answered after the end":         {[]answer{{header: closeLine}, {}}, true, "answered", "on a connection that had ended"},
		"the first is cut":               {[]answer{{cut: 10}}, false, "excused: sent to a connection that ended", "LOST without any cause"},
		"the second is cut":              {[]answer{{}, {cut: 10}}, false, "answered", "LOST without any cause"},
		"another order":                  {[]answer{{otherID: "c-stream-2"}, {}}, true, "answered", "without its request ID"},
		"closed between the two":         {[]answer{{}}, false, "excused: crossed a close", ""},
		"the second is read and dropped": {[]answer{{}, {none: true, wait: time.Second}}, false, "answered", "LOST without any cause"},
		"the first stops midway":         {[]answer{{none: true, ran: true, wait: time.Minute}}, false, "given up behind another request", ""},
	} {
		tb, goesOn := exchangeWith(t, unknownBodySize, c.answers, func(caller *connCaller) bool { return caller.sendAhead(t.Context()) })
		require.Equal(t, c.goesOn, goesOn, name)
		require.Positive(t, tb.recorder.counts[c.count], "%s: %v", name, tb.recorder.counts)
		require.Equal(t, c.want == "", len(tb.recorder.violations) == 0, "%s: %v", name, tb.recorder.violations)
		require.Contains(t, strings.Join(tb.recorder.violations, "\n"), c.want, name)
	}
}

// TestEarlyResponseMustBeWhole guards against a caller that excuses a response which was cut because the body had not come to its end.
func TestEarlyResponseMustBeWhole(t *testing.T) {
	denial := answer{status: http.StatusNotFound, header: closeLine, early: true}
	cut := denial
	cut.cut = 10
	for name, c := range map[string]struct {
		answer answer
		count  string
		want   string
	}{
		"whole":   {denial, "denied", ""},
		"cut":     {cut, "broken off", "LOST without any cause"},
		"missing": {answer{none: true, early: true, wait: time.Second}, "not sent whole", ""},
	} {
		tb, _ := exchangeWith(t, maxBodySize, []answer{c.answer}, func(caller *connCaller) bool {
			return caller.sendBody(t.Context(), kindUnknown, unknownBodySize)
		})
		require.Positive(t, tb.recorder.counts[c.count], "%s: %v", name, tb.recorder.counts)
		require.Equal(t, c.want == "", len(tb.recorder.violations) == 0, "%s: %v", name, tb.recorder.violations)
		require.Contains(t, strings.Join(tb.recorder.violations, "\n"), c.want, name)
	}
}

// TestLateBodyComesWhole guards against a caller whose parts of a body are not the whole one, which nothing would answer.
func TestLateBodyComesWhole(t *testing.T) {
	tb, _ := exchangeWith(t, unknownBodySize, []answer{{}}, func(caller *connCaller) bool { return caller.sendBody(t.Context(), kindUnsafe, maxBodySize) })
	require.Equal(t, 1, tb.recorder.counts["answered"])
	require.Empty(t, tb.recorder.violations)
}
