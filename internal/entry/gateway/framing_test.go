package gateway

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// piecesConn delivers a text in pieces of a size.
type piecesConn struct {
	net.Conn
	rest []byte
	size int
}

func (c *piecesConn) Read(b []byte) (int, error) {
	n := copy(b[:min(len(b), c.size)], c.rest)
	c.rest = c.rest[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// TestBothFramingsAreSeenInAnyPieces guards against a request with two framings that is not detected because a name arrives in
// pieces.
func TestBothFramingsAreSeenInAnyPieces(t *testing.T) {
	const both = "POST / HTTP/1.1\r\nHost: h\r\nCONTENT-Length: 5\r\nX-Content-Length: 1\r\ntransfer-ENCODING: chunked\r\n\r\n"
	one := strings.Replace(both, "\r\nCONTENT", "\r\nXCONTENT", 1)
	for size := 1; size <= len(both); size++ {
		for text, ambiguous := range map[string]bool{both: true, one: false} {
			c := &framingConn{Conn: &piecesConn{rest: []byte(text), size: size}}
			_, err := io.Copy(io.Discard, c)
			require.NoError(t, err)
			require.Equal(t, ambiguous, c.takeAmbiguous(), "%q in pieces of %d", text, size)
		}
	}
}

// TestLookingForFramingsAllocatesNothing guards against allocations of twice the size of all bodies.
func TestLookingForFramingsAllocatesNothing(t *testing.T) {
	body := bytes.Repeat([]byte("a line of a body\n"), 4<<10)
	c := &framingConn{}
	require.Zero(t, testing.AllocsPerRun(100, func() { c.lookAt(body) }))
}

// TestFramingConnEndsItsSendingDirection guards against a connection whose caller doesn't receive the end of the response before the
// connection is closed, which resets it if the caller sends more.
func TestFramingConnEndsItsSendingDirection(t *testing.T) {
	var config net.ListenConfig
	inner, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = inner.Close() }()
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	served, err := framingListener{inner}.Accept()
	require.NoError(t, err)
	defer func() { _ = served.Close() }()

	_, err = io.WriteString(served, "response")
	require.NoError(t, err)
	closer, ok := served.(interface{ CloseWrite() error })
	require.True(t, ok)
	require.NoError(t, closer.CloseWrite())
	received, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.Equal(t, "response", string(received))
	_, err = io.WriteString(caller, "request")
	require.NoError(t, err)
	var sent [len("request")]byte
	_, err = io.ReadFull(served, sent[:])
	require.NoError(t, err, "the other direction stays open")
}

// TestFramingConnMayHaveTwoReaders guards against a data race while an idle connection is closed: both net/http and the server's discarding
// of further data read it then. The race detector reports it.
func TestFramingConnMayHaveTwoReaders(t *testing.T) {
	const size = 1 << 10
	served, caller := net.Pipe()
	c := &framingConn{Conn: served}
	reads := make(chan error, 2)
	for range cap(reads) {
		go func() {
			var b [1]byte
			var err error
			for err == nil {
				_, err = c.Read(b[:])
			}
			reads <- err
		}()
	}
	_, err := io.WriteString(caller, strings.Repeat("x", size))
	require.NoError(t, err)
	require.NoError(t, caller.Close())
	for range cap(reads) {
		require.ErrorIs(t, <-reads, io.EOF)
	}
}
