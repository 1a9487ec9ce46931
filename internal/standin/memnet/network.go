// Package memnet is an in-memory network for tests: packet connections in place of UDP, whose
// links a test can cut in one direction or both, and stream listeners for HTTP.
package memnet

import (
	"net"
	"os"
	"sync"
	"time"
)

// socketBufferPackets is the size of a receive buffer, in packets.
const socketBufferPackets = 4096

// Network carries packets between PacketConns in memory. The zero value is a network without
// cuts and delay.
type Network struct {
	mu      sync.Mutex
	sockets map[string]*PacketConn
	cuts    map[[2]string]bool
	// flows holds the pairs of source and destination address that have carried a packet,
	// droppedFlows those that DropFlows has ended.
	flows        map[[2]string]bool
	droppedFlows map[[2]string]bool
	delay        time.Duration
	// held holds the IP addresses whose packets wait in heldDatagrams.
	held          map[string]bool
	heldDatagrams []heldDatagram
}

// SetDelay sets the one-way delay of all packets sent from now on.
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

// Heal undoes Cut for one direction.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, [2]string{from, to})
}

// DropFlows drops all later packets of the flows seen so far, in both directions, as a NAT or
// firewall does that has lost its state. Packets between other pairs of addresses pass.
func (n *Network) DropFlows() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.droppedFlows == nil {
		n.droppedFlows = map[[2]string]bool{}
	}
	for flow := range n.flows {
		n.droppedFlows[flow] = true
		n.droppedFlows[[2]string{flow[1], flow[0]}] = true
	}
}

// Listen opens a connection bound to address, an IP address and port. It replaces an earlier
// one at the same address.
func (n *Network) Listen(address string) (*PacketConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	s := &PacketConn{
		network: n, address: udp, queue: make(chan datagram, socketBufferPackets),
		closed: make(chan struct{}), deadlineChanged: make(chan struct{}),
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
	dest := n.sockets[to.String()]
	udp, ok := to.(*net.UDPAddr)
	flow := [2]string{from.String(), to.String()}
	if !ok || dest == nil || n.droppedFlows[flow] || n.cuts[[2]string{from.IP.String(), udp.IP.String()}] {
		return
	}
	if n.flows == nil {
		n.flows = map[[2]string]bool{}
	}
	n.flows[flow] = true
	d := datagram{payload: append([]byte(nil), payload...), from: from}
	if n.hold(from, udp, dest, d) {
		return
	}
	if n.delay == 0 {
		dest.deliver(d)
		return
	}
	time.AfterFunc(n.delay, func() { dest.deliver(d) })
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

// PacketConn is an in-memory net.PacketConn.
type PacketConn struct {
	network *Network
	address *net.UDPAddr
	queue   chan datagram
	closed  chan struct{}
	once    sync.Once

	mu              sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{}
}

func (s *PacketConn) deliver(d datagram) {
	select {
	case s.queue <- d:
	default: // The receive buffer is full: drop the packet, as UDP does.
	}
}

// ReadFrom implements net.PacketConn.
func (s *PacketConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		s.mu.Lock()
		deadline, changed := s.deadline, s.deadlineChanged
		s.mu.Unlock()
		expired, stop := deadlineChannel(deadline)
		select {
		case d := <-s.queue:
			stop()
			return copy(p, d.payload), d.from, nil
		case <-s.closed:
			stop()
			return 0, nil, net.ErrClosed
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case <-changed:
			stop()
		}
	}
}

// deadlineChannel returns a channel that is closed at the deadline, and a function that stops
// its timer. It avoids the channel of a time.Timer that has already expired: the race detector's
// runtime crashes on it in virtual time (Go 1.26).
func deadlineChannel(deadline time.Time) (<-chan struct{}, func()) {
	if deadline.IsZero() {
		return nil, func() {}
	}
	expired := make(chan struct{})
	remaining := time.Until(deadline)
	if remaining <= 0 {
		close(expired)
		return expired, func() {}
	}
	timer := time.AfterFunc(remaining, func() { close(expired) })
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
	close(s.deadlineChanged)
	s.deadlineChanged = make(chan struct{})
	return nil
}

// SetWriteDeadline implements net.PacketConn. It does nothing, since WriteTo never blocks.
func (s *PacketConn) SetWriteDeadline(time.Time) error { return nil }
