package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// mode is what a proxy does to the bytes that pass it.
type mode uint8

// The modes of a proxy.
const (
	modePass mode = iota
	// modeDelay holds every piece back for a while.
	modeDelay
	// modeSilent takes bytes and passes nothing on, either way.
	modeSilent
	// modeOneWay passes requests on and keeps answers back.
	modeOneWay
	// modeReset resets the connections that are open, and each new one.
	modeReset
)

func (m mode) String() string {
	return [...]string{"pass", "delay", "silent", "one way", "reset"}[m]
}

const (
	// proxyDelay is what modeDelay adds to each piece.
	proxyDelay = 80 * time.Millisecond
	// proxyPiece is the size of a piece, in bytes.
	proxyPiece = 16 << 10
	// silentLook is how often a held-back piece looks whether the mode has changed.
	silentLook = 20 * time.Millisecond
)

// proxy stands between gateways and one back end.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	mode     mode
	// changed is when the mode last changed.
	changed time.Time
	conns   map[net.Conn]bool
}

func newProxy(ctx context.Context, address string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, conns: map[net.Conn]bool{}}
	go p.serve(ctx)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve(ctx context.Context) {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // The run is over.
		}
		go p.join(ctx, c)
	}
}

// join carries one connection to the back end and back.
func (p *proxy) join(ctx context.Context, caller net.Conn) {
	target, m := p.now()
	if m == modeReset || target == "" {
		reset(caller)
		return
	}
	back, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		reset(caller)
		return
	}
	p.keep(caller, back)
	go p.carry(back, caller, false)
	p.carry(caller, back, true)
	p.drop(caller, back)
}

// carry passes bytes on until one side ends.
func (p *proxy) carry(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	piece := make([]byte, proxyPiece)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			p.hold(answers)
			if _, err := to.Write(piece[:n]); err != nil {
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

// hold waits as long as the mode keeps a piece back.
func (p *proxy) hold(answers bool) {
	if _, m := p.now(); m == modeDelay {
		time.Sleep(proxyDelay)
	}
	for {
		_, m := p.now()
		if m != modeSilent && (m != modeOneWay || !answers) {
			return
		}
		time.Sleep(silentLook)
	}
}

func (p *proxy) now() (target string, m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target, p.mode
}

// set changes what the proxy does, and resets open connections if it says so.
func (p *proxy) set(m mode) {
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

// lead sets where new connections go.
func (p *proxy) lead(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// calm reports whether the proxy has passed everything on since a moment.
func (p *proxy) calm(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == modePass && p.changed.Before(since)
}

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The close below then resets the connection.
	}
	_ = c.Close()
}
