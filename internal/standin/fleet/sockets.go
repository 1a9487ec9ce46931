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

const standinHeaderTimeout = 5 * time.Second

// Loopback opens real sockets on free ports of 127.0.0.1. CallerAddress, if set, is
// where the first entry listens for callers.
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

// Memory opens sockets on an in-memory network. Each host has an IP address of its
// own, in the order in which hosts are started, from 10.0.0.1 on.
type Memory struct {
	Network memnet.Network

	mu        sync.Mutex
	addresses map[host.ID]string
	port      int
}

const memoryPort = 7000

// ListenPacket implements Sockets.
func (m *Memory) ListenPacket(id host.ID) (net.PacketConn, error) {
	return m.Network.Listen(fmt.Sprintf("%s:%d", m.IP(id), memoryPort))
}

// DialPacket implements Sockets. Each socket has a port that none had before.
func (m *Memory) DialPacket(id host.ID) (net.PacketConn, error) {
	m.mu.Lock()
	m.port++
	port := memoryPort + m.port
	m.mu.Unlock()
	return m.Network.Listen(fmt.Sprintf("%s:%d", m.IP(id), port))
}

// IP returns a host's address.
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

// IPs returns the addresses of all hosts so far.
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
