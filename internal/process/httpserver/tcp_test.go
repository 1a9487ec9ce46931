package httpserver

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// callerBuffer is the receive buffer of a caller that reads slowly, in bytes.
	callerBuffer = 64 << 10
	// responseSize is more than a caller's receive buffer and less than a send buffer holds, in bytes.
	responseSize = 512 << 10
	// sendBuffer is the send buffer of a server's connections, in bytes.
	sendBuffer = 4 << 20
)

// observedListener accepts TCP connections with large send buffers and tells when the server ends the sending direction of one.
type observedListener struct {
	net.Listener
	ended chan struct{}
	once  sync.Once
}

func (l *observedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	if err := tcp.SetWriteBuffer(sendBuffer); err != nil {
		return nil, err
	}
	return &observedConn{TCPConn: tcp, listener: l}, nil
}

func (l *observedListener) noteEnd() { l.once.Do(func() { close(l.ended) }) }

type observedConn struct {
	*net.TCPConn
	listener *observedListener
}

func (c *observedConn) CloseWrite() error {
	defer c.listener.noteEnd()
	return c.TCPConn.CloseWrite()
}

func (c *observedConn) Close() error {
	defer c.listener.noteEnd()
	return c.TCPConn.Close()
}

// listenTCP listens on a loopback address.
func listenTCP(t *testing.T) *observedListener {
	var config net.ListenConfig
	inner, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	return &observedListener{Listener: inner, ended: make(chan struct{})}
}

// serveTCP serves handler on a loopback address until the test ends.
func serveTCP(t *testing.T, handler http.HandlerFunc, limits ...CallerLimits) (*Server, *observedListener) {
	l := listenTCP(t)
	s := New(&http.Server{Handler: handler}, handle(503, "refused", 0), limits...)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		require.NoError(t, <-served)
	})
	return s, l
}

// dialSlow connects a caller with a small receive buffer.
func dialSlow(t *testing.T, l net.Listener) *net.TCPConn {
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	tcp := c.(*net.TCPConn)
	require.NoError(t, tcp.SetReadBuffer(callerBuffer))
	return tcp
}
