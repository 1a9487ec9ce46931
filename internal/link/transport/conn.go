package transport

import (
	"context"
	"fmt"
	"sync"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// Error codes with which a link is closed.
const (
	codeClosed   quic.ApplicationErrorCode = 0
	codeIdentity quic.ApplicationErrorCode = 1
)

// ErrDial is returned for a link that could not be opened. Nothing was sent over it.
type ErrDial struct {
	Address string
	Cause   error
}

func (e ErrDial) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e ErrDial) Unwrap() error { return e.Cause }

// IsErrDial reports whether err is an ErrDial.
func IsErrDial(err error) bool {
	var e ErrDial
	return errors.As(err, &e)
}

// Conn is one link, a QUIC connection to a peer process.
type Conn struct {
	conn *quic.Conn
	// self is the identity in the certificate that this process has shown to the peer.
	self identity.Identity
	peer identity.Identity
	// receipts counts the answers to the peer's calls. It is nil on a link that this process has dialed.
	receipts *receipts
	memory   *frameMemory
	// refused limits the log to the first frame of the link that is refused for want of memory.
	refused sync.Once
	logger  *log.Logger
}

func newConn(c *quic.Conn, self identity.Identity, logger *log.Logger) (*Conn, error) {
	peer, err := identity.FromConnectionState(c.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: c, self: self, peer: peer, memory: newFrameMemory(), logger: logger}, nil
}

// Self returns the identity by which the peer knows this process.
func (c *Conn) Self() identity.Identity { return c.self }

// Peer returns the identity in the peer's certificate.
func (c *Conn) Peer() identity.Identity { return c.peer }

// Done is closed when the link has ended, also if it ended by the idle timeout.
func (c *Conn) Done() <-chan struct{} { return c.conn.Context().Done() }

// Open starts a call on a new stream.
func (c *Conn) Open(ctx context.Context) (*Stream, error) {
	s, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	return newStream(s, c), nil
}

// Close ends the link and every call on it.
func (c *Conn) Close() { _ = c.conn.CloseWithError(codeClosed, "") }

// reserve reserves the memory of a large frame. It waits for it until ctx or the link ends.
func (c *Conn) reserve(ctx context.Context, bytes, window int) (release func(), err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(c.conn.Context(), func() { cancel(context.Cause(c.conn.Context())) })
	defer stop()
	release, err = c.memory.reserve(ctx, bytes, window)
	if IsErrFramesWaiting(err) {
		c.refused.Do(func() {
			event.FrameRejected.On(c.logger).Str("peer", c.peer.String()).Str("reason", err.Error()).Msg("")
		})
	}
	return release, err
}

// serve handles the calls that the peer starts on the link until ctx or the link ends. The link ends with it.
func (c *Conn) serve(ctx context.Context, handle Handler) {
	defer c.logUnreceived()
	defer c.Close() // The function below doesn't run if AcceptStream notices the end of ctx first.
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	for {
		s, err := c.conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go func() {
			stream := newStream(s, c)
			stream.receipts = c.receipts
			defer stream.Close()
			handle(s.Context(), stream)
			stream.awaitReceipt()
		}()
	}
}
