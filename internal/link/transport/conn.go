package transport

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/egretreach/egretreach/internal/link/identity"
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
}

func newConn(c *quic.Conn, self identity.Identity) (*Conn, error) {
	peer, err := identity.FromConnectionState(c.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: c, self: self, peer: peer}, nil
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
	return newStream(s, c.peer), nil
}

// Close ends the link and every call on it.
func (c *Conn) Close() { _ = c.conn.CloseWithError(codeClosed, "") }

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
			stream := newStream(s, c.peer)
			stream.receipts = c.receipts
			defer stream.Close()
			handle(s.Context(), stream)
			stream.awaitReceipt()
		}()
	}
}
