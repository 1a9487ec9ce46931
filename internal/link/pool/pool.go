// Package pool keeps one open link to each peer process. It replaces a link that has
// ended, also by the idle timeout, or that identifies this process by an earlier identity.
package pool

import (
	"context"
	"sync"

	"golang.org/x/sync/singleflight"

	"github.com/egretreach/egretreach/internal/link/transport"
)

// Pool opens calls to addresses over cached links. It is created by New.
type Pool struct {
	socket *transport.Socket
	dials  singleflight.Group

	mu    sync.Mutex
	conns map[string]*transport.Conn
}

// New returns a pool that dials from socket.
func New(socket *transport.Socket) *Pool {
	return &Pool{socket: socket, conns: map[string]*transport.Conn{}}
}

// Open starts a call to the process at address. If the cached link has ended, the call
// is started on a new one. Nothing was sent on the old one.
func (p *Pool) Open(ctx context.Context, address string) (*transport.Stream, error) {
	conn, err := p.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.Open(ctx)
	if err == nil || ctx.Err() != nil {
		return stream, err
	}
	// The link has ended, although its Done channel may not be closed yet.
	p.removeConn(address, conn)
	conn, err = p.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn.Open(ctx)
}

// Conn returns the open link to address and dials one if there is none.
func (p *Pool) Conn(ctx context.Context, address string) (*transport.Conn, error) {
	if conn := p.liveConn(address); conn != nil {
		return conn, nil
	}
	dialed := p.dials.DoChan(address, func() (any, error) { return p.dial(address) })
	select {
	case <-ctx.Done():
		return nil, transport.ErrDial{Address: address, Cause: ctx.Err()}
	case result := <-dialed:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*transport.Conn), nil
	}
}

// dial opens a link to address. All callers that wait for the address share it, so it
// is bounded by the handshake timeout of the transport instead of a caller's context.
func (p *Pool) dial(address string) (*transport.Conn, error) {
	if conn := p.liveConn(address); conn != nil {
		return conn, nil
	}
	for {
		conn, err := p.socket.Dial(context.Background(), address)
		if err != nil {
			return nil, err
		}
		if p.isOutdated(conn) {
			conn.Close() // The identity has changed during the handshake.
			continue
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns[address] = conn
		return conn, nil
	}
}

// isOutdated reports whether the peer knows this process by an earlier identity.
func (p *Pool) isOutdated(conn *transport.Conn) bool { return conn.Self() != p.socket.Self() }

// liveConn returns the open link to address, or nil if there is none. It closes a link with an earlier identity of this process.
func (p *Pool) liveConn(address string) *transport.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	if conn == nil {
		return nil
	}
	if p.isOutdated(conn) {
		delete(p.conns, address)
		conn.Close()
		return nil
	}
	select {
	case <-conn.Done():
		delete(p.conns, address)
		return nil
	default:
		return conn
	}
}

// CloseOutdated closes the links that identify this process by an earlier identity.
func (p *Pool) CloseOutdated() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if p.isOutdated(conn) {
			delete(p.conns, address)
			conn.Close()
		}
	}
}

func (p *Pool) removeConn(address string, conn *transport.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
}

// Drop closes the link to address, so that the next call uses a new one.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	conn := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}
