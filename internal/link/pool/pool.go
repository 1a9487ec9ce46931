// Package pool keeps one live link to each peer process and replaces it when it
// ends or falls silent.
package pool

import (
	"context"
	"sync"

	"golang.org/x/sync/singleflight"

	"github.com/egretreach/egretreach/internal/link/transport"
)

// Pool opens calls by address over links it keeps. Use New.
type Pool struct {
	endpoint *transport.Socket
	dials    singleflight.Group

	mu    sync.Mutex
	conns map[string]*transport.Conn
}

// New returns a pool that dials from endpoint.
func New(endpoint *transport.Socket) *Pool {
	return &Pool{endpoint: endpoint, conns: map[string]*transport.Conn{}}
}

// Open starts a call to the process at address. If the kept link turns out to have
// ended, the call is started on a new one; nothing was sent on the old.
func (p *Pool) Open(ctx context.Context, address string) (*transport.Stream, error) {
	conn, err := p.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.Open(ctx)
	if err == nil || ctx.Err() != nil {
		return stream, err
	}
	// The link has ended, though its Done may not be closed yet.
	p.forget(address, conn)
	conn, err = p.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn.Open(ctx)
}

// Conn returns the live link to address, dialling if there is none.
func (p *Pool) Conn(ctx context.Context, address string) (*transport.Conn, error) {
	if conn := p.live(address); conn != nil {
		return conn, nil
	}
	dialled := p.dials.DoChan(address, func() (any, error) { return p.dial(address) })
	select {
	case <-ctx.Done():
		return nil, transport.ErrDial{Address: address, Cause: ctx.Err()}
	case result := <-dialled:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*transport.Conn), nil
	}
}

// dial is shared by all who wait for the same address, so no single caller's
// context ends it; the transport's handshake timeout does.
func (p *Pool) dial(address string) (*transport.Conn, error) {
	if conn := p.live(address); conn != nil {
		return conn, nil
	}
	conn, err := p.endpoint.Dial(context.Background(), address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[address] = conn
	return conn, nil
}

func (p *Pool) live(address string) *transport.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	if conn == nil {
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

func (p *Pool) forget(address string, conn *transport.Conn) {
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
