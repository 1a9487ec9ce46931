// Package transport sends message frames between the processes of the fleet over QUIC
// (RFC 9000) with mutual TLS. A link is a QUIC connection, and each call on it is one
// bidirectional stream.
package transport

import (
	"context"
	"crypto/hkdf"
	"crypto/sha256"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/process/inflight"
)

// Timeouts and limits of a link. A link on which nothing arrives for idleTimeout, or for longer if round trips
// take longer than a third of it, is closed, regardless of the state that network devices between the peers hold for it.
const (
	keepAlive        = 600 * time.Millisecond
	idleTimeout      = 1500 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	maxStreams       = 1 << 16
	// A call whose receiver does not read takes only initialStreamWindow of the
	// connectionWindow of its link, so that many stalled calls do not block the others.
	initialStreamWindow = 64 << 10
	maxStreamWindow     = 512 << 10
	connectionWindow    = 16 << 20
)

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:                keepAlive,
		MaxIdleTimeout:                 idleTimeout,
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
		DisablePathMTUDiscovery:        true,
	}
}

// Socket accepts links on a UDP socket and dials links.
type Socket struct {
	transport   *quic.Transport
	credentials *identity.Credentials
	opts        Options
	dialSockets socketSet
	// unreceived counts the answers that peers have not received.
	unreceived inflight.Requests
}

// basicPacketConn hides the system-call interface of a socket, so that quic-go uses
// neither UDP segmentation offload nor ECN. Some kernels and networks do not support
// them.
type basicPacketConn struct{ net.PacketConn }

// SetReadBuffer sets the size of the receive buffer if the socket supports that.
func (c basicPacketConn) SetReadBuffer(bytes int) error {
	if socket, ok := c.PacketConn.(interface{ SetReadBuffer(bytes int) error }); ok {
		return socket.SetReadBuffer(bytes)
	}
	return nil
}

// SetWriteBuffer sets the size of the send buffer if the socket supports that.
func (c basicPacketConn) SetWriteBuffer(bytes int) error {
	if socket, ok := c.PacketConn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		return socket.SetWriteBuffer(bytes)
	}
	return nil
}

// Options are the settings of a Socket.
type Options struct {
	// Offload allows quic-go to use UDP segmentation offload and ECN.
	Offload bool
	// NewDialSocket opens a UDP socket for each link that is dialed. The link that
	// replaces a lost one then uses another port, so that a device of the network that
	// has lost the state of the first one does not drop its packets as well. If it is
	// nil, all links are dialed from the socket that was passed to New.
	NewDialSocket func() (net.PacketConn, error)
	// Logger may be nil.
	Logger *log.Logger
}

func (o Options) wrapConn(pc net.PacketConn) net.PacketConn {
	if o.Offload {
		return pc
	}
	return basicPacketConn{pc}
}

// New returns a Socket that uses pc and authenticates with credentials. The Socket owns
// pc and closes it. It resets links that it doesn't know any more (RFC 9000, section 10.3): a peer whose round trip
// time was measured across a standstill would go on with them for many times idleTimeout.
func New(pc net.PacketConn, credentials *identity.Credentials, opts Options) *Socket {
	transport := &quic.Transport{Conn: opts.wrapConn(pc), StatelessResetKey: resetKey(credentials)}
	return &Socket{transport: transport, credentials: credentials, opts: opts}
}

// resetLabel tells the key of resets from other keys that are derived from the same secret.
const resetLabel = "egretreach link reset"

// resetKey returns a key that a process has again after a restart, so that it resets the links of the process before it. It returns nil, with
// which no link is reset, if the secret can't be read.
func resetKey(credentials *identity.Credentials) *quic.StatelessResetKey {
	secret, err := credentials.LastingSecret()
	if err != nil {
		return nil
	}
	derived, err := hkdf.Key(sha256.New, secret, nil, resetLabel, len(quic.StatelessResetKey{}))
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(derived)
	return &key
}

// Address returns the local address on which links are accepted.
func (s *Socket) Address() net.Addr { return s.transport.Conn.LocalAddr() }

// Self returns the identity by which links that are opened now identify this process.
func (s *Socket) Self() identity.Identity { return s.credentials.Self() }

// Close ends all links and closes their UDP sockets.
func (s *Socket) Close() error {
	s.dialSockets.close()
	err := s.transport.Close()
	if closeErr := s.transport.Conn.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "close socket")
}

// Dial opens a link to the process at address, an IP address and port. It returns
// ErrDial if that fails.
func (s *Socket) Dial(ctx context.Context, address string) (*Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, ErrDial{Address: address, Cause: err}
	}
	self := s.Self() // Before the certificate is read, which may be of a later identity.
	conn, err := s.dial(ctx, udp)
	if err != nil {
		return nil, ErrDial{Address: address, Cause: err}
	}
	return newConn(conn, self, s.opts.Logger)
}

func (s *Socket) dial(ctx context.Context, to *net.UDPAddr) (*quic.Conn, error) {
	if s.opts.NewDialSocket == nil {
		return s.transport.Dial(ctx, to, s.credentials.Client(), quicConfig())
	}
	pc, err := s.opts.NewDialSocket()
	if err != nil {
		return nil, err
	}
	if !s.dialSockets.add(pc) {
		return nil, net.ErrClosed
	}
	conn, err := quic.Dial(ctx, s.opts.wrapConn(pc), to, s.credentials.Client(), quicConfig())
	if err != nil {
		s.dialSockets.remove(pc)
		return nil, err
	}
	context.AfterFunc(conn.Context(), func() { s.dialSockets.remove(pc) })
	return conn, nil
}

// Handler serves one call. The stream is closed when the handler returns, or, after Stream.Answer, once the peer has received the answer.
type Handler func(ctx context.Context, s *Stream)

// Serve accepts links until ctx ends and calls handle in a goroutine of its own for
// each of their streams.
func (s *Socket) Serve(ctx context.Context, handle Handler) error {
	listener, err := s.transport.Listen(s.credentials.Server(), quicConfig())
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
		conn, err := newConn(accepted, s.Self(), s.opts.Logger)
		if err != nil {
			_ = accepted.CloseWithError(codeIdentity, err.Error())
			continue
		}
		conn.receipts = &receipts{all: &s.unreceived, logger: s.opts.Logger}
		go conn.serve(ctx, handle)
	}
}
