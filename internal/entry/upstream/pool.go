package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection: many times the way between two
	// failure domains, and less than the wait for a lost opening packet.
	dialTimeout = 400 * time.Millisecond
	// refusalTimeout bounds the wait for a refused connection: many times the way there.
	refusalTimeout = 100 * time.Millisecond
	// unstatedIdle is how long a connection counts as kept if the endpoint does not say.
	unstatedIdle = 500 * time.Millisecond
	// idleGuard is how long before the endpoint's time-out a connection is not used any more.
	idleGuard = 700 * time.Millisecond
	// maxIdle bounds the kept connections to one endpoint.
	maxIdle = 64
)

// Dialer opens a connection to an IP address and TCP port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps idle connections. The zero value is ready.
type Pool struct {
	// Dial opens connections; nil is TCP.
	Dial Dialer

	mu    sync.Mutex
	idle  map[string][]*conn
	stats Stats
}

// Stats are what a pool has done since its start.
type Stats struct {
	// Dialled and Reused count the connections that requests were sent on.
	Dialled, Reused uint64
}

// Stats returns the pool's counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// get returns a connection: a kept one if it is certain to be open, or a new one.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.kept(address); c != nil {
			return c, nil
		}
	}
	p.mu.Lock()
	p.stats.Dialled++
	p.mu.Unlock()
	if p.Dial != nil {
		c, err := p.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, address), nil
	}
	return dial(ctx, address, dialTimeout)
}

// RefusesConnections reports whether nobody listens at an address. An address that does not answer in
// time refuses nothing.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	c, err := p.get(ctx, address, true)
	if err != nil {
		return IsConnectionRefused(err)
	}
	p.put(c, 0)
	return false
}

// kept takes the connection that was used last.
func (p *Pool) kept(address string) *conn {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.idleLimit && c.clean() {
			p.mu.Lock()
			p.stats.Reused++
			p.mu.Unlock()
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(c *conn, stated time.Duration) {
	c.used, c.idleSince, c.idleLimit = true, time.Now(), unstatedIdle
	if stated > 0 {
		c.idleLimit = max(stated-idleGuard, stated/2)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}
