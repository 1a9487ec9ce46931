package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// standInHeaderTimeout bounds the time in which a stand-in reads the header of a request.
const standInHeaderTimeout = 5 * time.Second

// Loopback implements Sockets with real sockets on free ports of 127.0.0.1. CallerAddress, if
// set, is the address at which the first entry listens for callers.
type Loopback struct{ CallerAddress string }

// ListenPacket implements Sockets.
func (Loopback) ListenPacket(host.ID) (net.PacketConn, error) {
	return net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// DialPacket implements Sockets.
func (l Loopback) DialPacket(id host.ID) (net.PacketConn, error) { return l.ListenPacket(id) }

// ListenStream implements Sockets.
func (l Loopback) ListenStream(name string) (net.Listener, http.RoundTripper, error) {
	address := "127.0.0.1:0"
	if name == "entry-1" && l.CallerAddress != "" {
		address = l.CallerAddress
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, nil, err
}

// Memory implements Sockets on an in-memory network. Each host gets its own IP address, counted
// from 10.0.0.1 in the order in which their addresses are first used.
type Memory struct {
	Network memnet.Network

	mu        sync.Mutex
	addresses map[host.ID]string
	lastPort  int
}

// linkPort is the port of the hosts' link sockets. The sockets of dialed links count on from it.
const linkPort = 7000

// ListenPacket implements Sockets.
func (m *Memory) ListenPacket(id host.ID) (net.PacketConn, error) {
	return m.Network.Listen(fmt.Sprintf("%s:%d", m.IP(id), linkPort))
}

// DialPacket implements Sockets. Each socket gets a port that has not been used before.
func (m *Memory) DialPacket(id host.ID) (net.PacketConn, error) {
	m.mu.Lock()
	m.lastPort++
	port := linkPort + m.lastPort
	m.mu.Unlock()
	return m.Network.Listen(fmt.Sprintf("%s:%d", m.IP(id), port))
}

// IP returns the IP address of a host, and assigns one if it has none yet.
func (m *Memory) IP(id host.ID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.addresses == nil {
		m.addresses = map[host.ID]string{}
	}
	if m.addresses[id] == "" {
		m.addresses[id] = fmt.Sprintf("10.0.0.%d", len(m.addresses)+1)
	}
	return m.addresses[id]
}

// IPs returns the IP addresses assigned so far, in no particular order.
func (m *Memory) IPs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ips := make([]string, 0, len(m.addresses))
	for _, ip := range m.addresses {
		ips = append(ips, ip)
	}
	return ips
}

// ListenStream implements Sockets.
func (m *Memory) ListenStream(name string) (net.Listener, http.RoundTripper, error) {
	listener := memnet.NewListener(name)
	return listener, &http.Transport{DialContext: listener.Dial}, nil
}
