package memnet

import "net"

// heldDatagram is a packet that waits for the release of the IP address it comes from or goes to.
type heldDatagram struct {
	from, to string
	dest     *PacketConn
	datagram datagram
}

// Hold keeps all packets from and to an IP address until Release delivers them, as for a process
// that is stopped and continued: its socket keeps what arrives.
func (n *Network) Hold(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.held == nil {
		n.held = map[string]bool{}
	}
	n.held[ip] = true
}

// Release undoes Hold for one IP address and delivers the packets that were kept, in their order.
func (n *Network) Release(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.held, ip)
	var kept []heldDatagram
	for _, h := range n.heldDatagrams {
		if n.isHeld(h.from, h.to) {
			kept = append(kept, h)
			continue
		}
		h.dest.deliver(h.datagram)
	}
	n.heldDatagrams = kept
}

func (n *Network) isHeld(from, to string) bool { return n.held[from] || n.held[to] }

// hold keeps a packet if the IP address of its sender or of its receiver is held.
func (n *Network) hold(from, to *net.UDPAddr, dest *PacketConn, d datagram) bool {
	if !n.isHeld(from.IP.String(), to.IP.String()) {
		return false
	}
	n.heldDatagrams = append(n.heldDatagrams, heldDatagram{
		from: from.IP.String(), to: to.IP.String(), dest: dest, datagram: d,
	})
	return true
}
