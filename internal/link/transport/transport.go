// Package transport carries message frames between the fleet's processes over
// QUIC (RFC 9000) with mutual TLS. Each call is one bidirectional QUIC stream.
package transport

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/egretreach/egretreach/internal/link/identity"
)

// Timing of a link. A link on which nothing arrives for idleTimeout is closed,
// whatever the state in between holds.
const (
	keepAlive        = 600 * time.Millisecond
	idleTimeout      = 1500 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	maxStreams       = 1 << 16
	// A call whose receiver reads nothing holds initialWindow of its link's
	// connectionWindow, so that many stalled calls leave room for the others.
	initialWindow    = 64 << 10
	streamWindow     = 512 << 10
	connectionWindow = 16 << 20
)

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:                keepAlive,
		MaxIdleTimeout:                 idleTimeout,
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     initialWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
		DisablePathMTUDiscovery:        true,
	}
}

// Socket is where a process listens for links and dials them from.
type Socket struct {
	transport   *quic.Transport
	credentials *identity.Credentials
	opts        Options
	dialled     sockets
}

// plainConn hides the socket's system-call interface, so that quic-go uses neither
// UDP segmentation offload nor ECN, which some kernels and networks lack.
type plainConn struct{ net.PacketConn }

// SetReadBuffer sets the socket's receive buffer where there is one.
func (c plainConn) SetReadBuffer(bytes int) error {
	if socket, ok := c.PacketConn.(interface{ SetReadBuffer(bytes int) error }); ok {
		return socket.SetReadBuffer(bytes)
	}
	return nil
}

// SetWriteBuffer sets the socket's send buffer where there is one.
func (c plainConn) SetWriteBuffer(bytes int) error {
	if socket, ok := c.PacketConn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		return socket.SetWriteBuffer(bytes)
	}
	return nil
}

// Options are the settings of an Endpoint.
type Options struct {
	// Offload lets quic-go use UDP segmentation offload and ECN.
	Offload bool
	// NewDialSocket opens a socket of its own for each link that is dialled. Something in
	// between that has lost track of a link then does not hold its successor back
	// too, which comes from another port. Without it, links are dialled from the
	// endpoint's one socket.
	NewDialSocket func() (net.PacketConn, error)
}

func (o Options) wrap(pc net.PacketConn) net.PacketConn {
	if o.Offload {
		return pc
	}
	return plainConn{pc}
}

// New uses pc for links under credentials. The endpoint owns pc.
func New(pc net.PacketConn, credentials *identity.Credentials, opts Options) *Socket {
	return &Socket{transport: &quic.Transport{Conn: opts.wrap(pc)}, credentials: credentials, opts: opts}
}

// Address returns the local address.
func (e *Socket) Address() net.Addr { return e.transport.Conn.LocalAddr() }

// Close ends all links of the endpoint.
func (e *Socket) Close() error {
	e.dialled.close()
	err := e.transport.Close()
	if closeErr := e.transport.Conn.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "close endpoint")
}

// Dial opens a link to the process at address, an IP address and port.
func (e *Socket) Dial(ctx context.Context, address string) (*Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, ErrDial{Address: address, Cause: err}
	}
	conn, err := e.dial(ctx, udp)
	if err != nil {
		return nil, ErrDial{Address: address, Cause: err}
	}
	return newConn(conn)
}

func (e *Socket) dial(ctx context.Context, to *net.UDPAddr) (*quic.Conn, error) {
	if e.opts.NewDialSocket == nil {
		return e.transport.Dial(ctx, to, e.credentials.Client(), quicConfig())
	}
	pc, err := e.opts.NewDialSocket()
	if err != nil {
		return nil, err
	}
	if !e.dialled.add(pc) {
		return nil, net.ErrClosed
	}
	conn, err := quic.Dial(ctx, e.opts.wrap(pc), to, e.credentials.Client(), quicConfig())
	if err != nil {
		e.dialled.remove(pc)
		return nil, err
	}
	context.AfterFunc(conn.Context(), func() { e.dialled.remove(pc) })
	return conn, nil
}

// Handler serves one call. The stream is closed when it returns.
type Handler func(ctx context.Context, s *Stream)

// Serve accepts links and hands each of their streams to handle until ctx ends.
func (e *Socket) Serve(ctx context.Context, handle Handler) error {
	listener, err := e.transport.Listen(e.credentials.Server(), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	defer func() { _ = listener.Close() }()
	for {
		accepted, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		conn, err := newConn(accepted)
		if err != nil {
			_ = accepted.CloseWithError(codeIdentity, err.Error())
			continue
		}
		go conn.serve(ctx, handle)
	}
}
