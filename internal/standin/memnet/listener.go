package memnet

import (
	"context"
	"net"
	"sync"
)

// Listener is an in-memory net.Listener, for HTTP in virtual time. Create it with NewListener.
type Listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// NewListener returns a listener that accepts connections from its Dial only. The address is
// only what Addr returns.
func NewListener(address string) *Listener {
	return &Listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener and ignores network and address. Its signature is that of
// net.Dialer.DialContext.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return listenerAddr(l.address) }

type listenerAddr string

func (listenerAddr) Network() string { return "tcp" }

func (a listenerAddr) String() string { return string(a) }
