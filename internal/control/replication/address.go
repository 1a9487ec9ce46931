package replication

import (
	"maps"
	"sync"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// addresses are the link addresses of the control hosts, which may change while their IDs
// stay.
type addresses struct {
	mu   sync.Mutex
	byID map[host.ID]string
}

func newAddresses(peers map[host.ID]string) *addresses { return &addresses{byID: maps.Clone(peers)} }

func (a *addresses) of(id host.ID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[id]
}

// set changes an address and reports whether it was another before.
func (a *addresses) set(id host.ID, address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, known := a.byID[id]; !known || old == address {
		return false
	}
	a.byID[id] = address
	return true
}

// SetAddress tells the log that a control host is at another address now, where another process
// has taken its place with an empty disk.
func (l *Log) SetAddress(id host.ID, address string) {
	if l.addresses.set(id, address) {
		if s := l.senders[id]; s != nil {
			s.move()
		}
	}
}
