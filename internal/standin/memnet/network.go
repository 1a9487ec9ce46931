// Package memnet is a stand-in for the UDP network: an in-memory network of
// net.PacketConn, whose links a test can cut, in one direction or both.
package memnet

import (
	"net"
	"os"
	"sync"
	"time"
)

const queueLength = 4096

// Network joins sockets in memory. The zero value is a whole network.
type Network struct {
	mu      sync.Mutex
	sockets map[string]*PacketConn
	cuts    map[[2]string]bool
	// seen are the flows, from address to address, that carried a packet, and lost
	// those that Forget has ended.
	seen  map[[2]string]bool
	lost  map[[2]string]bool
	delay time.Duration
}

// SetDelay sets the one-way delay of all packets.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// Cut drops all packets from one IP address to another until Heal.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = map[[2]string]bool{}
	}
	n.cuts[[2]string{from, to}] = true
}

// Heal undoes Cut.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, [2]string{from, to})
}

// DropFlows loses track of every flow so far: their packets are dropped from now on,
// while packets between other addresses pass.
func (n *Network) DropFlows() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lost == nil {
		n.lost = map[[2]string]bool{}
	}
	for flow := range n.seen {
		n.lost[flow] = true
		n.lost[[2]string{flow[1], flow[0]}] = true
	}
}

// Listen opens a socket at address, an IP address and port.
func (n *Network) Listen(address string) (*PacketConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	s := &PacketConn{
		network: n, address: udp, queue: make(chan datagram, queueLength),
		closed: make(chan struct{}), wake: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets == nil {
		n.sockets = map[string]*PacketConn{}
	}
	n.sockets[udp.String()] = s
	return s, nil
}

func (n *Network) send(from *net.UDPAddr, to net.Addr, payload []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.sockets[to.String()]
	udp, ok := to.(*net.UDPAddr)
	flow := [2]string{from.String(), to.String()}
	if !ok || target == nil || n.lost[flow] || n.cuts[[2]string{from.IP.String(), udp.IP.String()}] {
		return
	}
	if n.seen == nil {
		n.seen = map[[2]string]bool{}
	}
	n.seen[flow] = true
	d := datagram{payload: append([]byte(nil), payload...), from: from}
	if n.delay == 0 {
		target.deliver(d)
		return
	}
	time.AfterFunc(n.delay, func() { target.deliver(d) })
}

func (n *Network) remove(s *PacketConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets[s.address.String()] == s {
		delete(n.sockets, s.address.String())
	}
}

type datagram struct {
	payload []byte
	from    net.Addr
}

// PacketConn is one in-memory net.PacketConn.
type PacketConn struct {
	network *Network
	address *net.UDPAddr
	queue   chan datagram
	closed  chan struct{}
	once    sync.Once

	mu       sync.Mutex
	deadline time.Time
	wake     chan struct{}
}

func (s *PacketConn) deliver(d datagram) {
	select {
	case s.queue <- d:
	default: // A full socket buffer drops, as UDP does.
	}
}

// ReadFrom implements net.PacketConn.
func (s *PacketConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		s.mu.Lock()
		deadline, wake := s.deadline, s.wake
		s.mu.Unlock()
		expired, stop := expiry(deadline)
		select {
		case d := <-s.queue:
			stop()
			return copy(p, d.payload), d.from, nil
		case <-s.closed:
			stop()
			return 0, nil, net.ErrClosed
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case <-wake:
			stop()
		}
	}
}

// expiry returns a channel that is closed at the deadline. It keeps clear of channel
// timers that have expired already: the race detector's runtime crashes on them in
// virtual time (Go 1.26).
func expiry(deadline time.Time) (<-chan struct{}, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	expired := make(chan struct{})
	left := time.Until(deadline)
	if left <= 0 {
		close(expired)
		return expired, func() {}
	}
	timer := time.AfterFunc(left, func() { close(expired) })
	return expired, func() { timer.Stop() }
}

// WriteTo implements net.PacketConn.
func (s *PacketConn) WriteTo(p []byte, to net.Addr) (int, error) {
	select {
	case <-s.closed:
		return 0, net.ErrClosed
	default:
	}
	s.network.send(s.address, to, p)
	return len(p), nil
}

// Close implements net.PacketConn.
func (s *PacketConn) Close() error {
	s.once.Do(func() {
		s.network.remove(s)
		close(s.closed)
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (s *PacketConn) LocalAddr() net.Addr { return s.address }

// SetDeadline implements net.PacketConn.
func (s *PacketConn) SetDeadline(t time.Time) error { return s.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (s *PacketConn) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	close(s.wake)
	s.wake = make(chan struct{})
	return nil
}

// SetWriteDeadline implements net.PacketConn.
func (s *PacketConn) SetWriteDeadline(time.Time) error { return nil }
