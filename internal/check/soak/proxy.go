package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// mode is how a proxy treats connections and the bytes on them.
type mode uint8

// The modes of a proxy.
const (
	modePass mode = iota
	// modeDelay delays every chunk by proxyDelay.
	modeDelay
	// modeSilent passes nothing on in either direction, and keeps connections open.
	modeSilent
	// modeOneWay passes requests on and holds responses back.
	modeOneWay
	// modeReset resets all open and new connections.
	modeReset
)

func (m mode) String() string {
	return [...]string{"pass", "delay", "silent", "one way", "reset"}[m]
}

const (
	// proxyDelay is the delay of each chunk in modeDelay.
	proxyDelay = 80 * time.Millisecond
	// proxyChunkBytes is the maximum size of a chunk, in bytes.
	proxyChunkBytes = 16 << 10
	// modePollInterval is the time between two checks of the mode while a chunk is held back.
	modePollInterval = 20 * time.Millisecond
)

// proxy forwards the connections of gateways to the endpoint of one backend, and disturbs them.
type proxy struct {
	ctx     context.Context //nolint:containedctx // It ends with the run.
	address string
	mu      sync.Mutex
	// listener is nil while there is no target, so that connections are refused as on a host whose process ended.
	listener net.Listener
	target   string
	mode     mode
	// changed is the time at which the mode was last set.
	changed time.Time
	conns   map[net.Conn]bool
}

func newProxy(ctx context.Context, address string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ctx: ctx, address: listener.Addr().String(), listener: listener, conns: map[net.Conn]bool{}}
	go p.serve(listener)
	return p, nil
}

func (p *proxy) serve(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return // The run is over, or the target has ended.
		}
		go p.handle(p.ctx, c)
	}
}

// handle forwards one connection until it ends.
func (p *proxy) handle(ctx context.Context, gateway net.Conn) {
	target, m := p.state()
	if m == modeReset || target == "" {
		reset(gateway)
		return
	}
	endpoint, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		reset(gateway)
		return
	}
	p.track(gateway, endpoint)
	go p.copyBytes(endpoint, gateway, false)
	p.copyBytes(gateway, endpoint, true)
	p.untrack(gateway, endpoint)
}

// copyBytes copies bytes in one direction until the connection ends, and closes both sides. A reset
// is passed on as a reset.
func (p *proxy) copyBytes(to, from net.Conn, responses bool) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	chunk := make([]byte, proxyChunkBytes)
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			p.waitForMode(responses)
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// waitForMode waits as long as the mode holds a chunk back.
func (p *proxy) waitForMode(responses bool) {
	if _, m := p.state(); m == modeDelay {
		time.Sleep(proxyDelay)
	}
	for {
		_, m := p.state()
		if m != modeSilent && (m != modeOneWay || !responses) {
			return
		}
		time.Sleep(modePollInterval)
	}
}

func (p *proxy) state() (target string, m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target, p.mode
}

// setMode sets the mode. modeReset resets the open connections at once.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	p.mode, p.changed = m, time.Now()
	var open []net.Conn
	if m == modeReset {
		for c := range p.conns {
			open = append(open, c)
		}
	}
	p.mu.Unlock()
	for _, c := range open {
		reset(c)
	}
}

// setTarget sets the address that new connections are forwarded to; "" refuses them.
func (p *proxy) setTarget(target string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	if target == "" {
		if p.listener != nil {
			_ = p.listener.Close()
			p.listener = nil
		}
		return nil
	}
	if p.listener != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(p.ctx, "tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	p.listener = listener
	go p.serve(listener)
	return nil
}

// undisturbed reports whether the proxy has been in modePass since a time.
func (p *proxy) undisturbed(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == modePass && p.changed.Before(since)
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Makes Close reset the connection.
	}
	_ = c.Close()
}
