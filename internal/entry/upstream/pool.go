package upstream

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection. It is many times the round trip between
	// two failure domains, and less than the retransmission time of a lost SYN.
	dialTimeout = 400 * time.Millisecond
	// probeTimeout bounds a probe. It is many times the round trip to an endpoint.
	probeTimeout = 100 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is used if the endpoint does not
	// announce its timeout.
	defaultIdleTimeout = 500 * time.Millisecond
	// idleMargin is how long before the announced timeout a connection is no longer used. Of a
	// short timeout at least half is used.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 64
	// idleCheckInterval is the time between two checks of the idle connections while there are any.
	idleCheckInterval = 500 * time.Millisecond
)

// Dialer opens a connection to an IP address and TCP port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Pool sends requests and keeps idle connections for reuse. The zero value is ready to use. It
// is safe for concurrent use.
type Pool struct {
	// Dial opens connections; nil uses TCP.
	Dial Dialer
	// MaxHeld bounds the memory that the responses of all endpoints take, in bytes: heads, events, and bodies that are
	// read whole. 0 is DefaultMaxHeld.
	MaxHeld int

	mu   sync.Mutex
	idle map[string][]*conn
	// checking says that a check of the idle connections is due.
	checking bool
	stats    Stats
	// held counts the memory that responses take.
	held heldMemory
}

// Stats counts what a pool has done.
type Stats struct {
	// Dialed counts the attempts to open a connection, and Reused the idle connections that
	// were used again.
	Dialed, Reused uint64
}

// Stats returns the counts since the pool's first use.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// get returns an idle connection that is open, or a new one if there is none or newConnection
// is set.
func (p *Pool) get(ctx context.Context, address string, newConnection bool) (*conn, error) {
	if !newConnection {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	p.mu.Lock()
	p.stats.Dialed++
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

// Reaction is how an address reacts to a new connection.
type Reaction uint8

const (
	// ReactionNone is none in time.
	ReactionNone Reaction = iota
	// ReactionAccepts says that something listens there.
	ReactionAccepts
	// ReactionRefuses says that nothing listens there.
	ReactionRefuses
)

// Probe opens a connection to an address, which it keeps for reuse, and returns how the address reacts.
func (p *Pool) Probe(ctx context.Context, address string) Reaction {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.get(ctx, address, true)
	switch {
	case err == nil:
		p.put(c, 0)
		return ReactionAccepts
	case IsConnectionRefused(err):
		return ReactionRefuses
	default:
		return ReactionNone
	}
}

// takeIdle removes and returns the most recently used idle connection that is usable, or nil.
func (p *Pool) takeIdle(address string) *conn {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.idleTimeout && c.isUsable() {
			p.mu.Lock()
			p.stats.Reused++
			p.mu.Unlock()
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used idle connection, or nil.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// put keeps a connection for reuse. announced is the endpoint's idle timeout, 0 if unknown.
func (p *Pool) put(c *conn, announced time.Duration) {
	c.reused, c.idleSince, c.idleTimeout = true, time.Now(), defaultIdleTimeout
	if announced > 0 {
		c.idleTimeout = max(announced-idleMargin, announced/2)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.scheduleCheck()
}

// scheduleCheck lets the idle connections be checked after idleCheckInterval. mu is held.
func (p *Pool) scheduleCheck() {
	if p.checking || len(p.idle) == 0 {
		return
	}
	p.checking = true
	time.AfterFunc(idleCheckInterval, func() {
		p.CloseExpired(time.Now())
		p.mu.Lock()
		defer p.mu.Unlock()
		p.checking = false
		p.scheduleCheck()
	})
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseExpired closes the connections that have been idle for longer than their timeout, and those that the endpoint
// has closed or on which it has sent something since: that can't be a response, and fills the buffer of the socket. It
// is called every idleCheckInterval.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleTimeout && c.isUsable() {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}
