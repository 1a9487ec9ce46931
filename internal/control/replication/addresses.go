package replication

import (
	"maps"
	"sync"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// addresses holds the link addresses of the control hosts. An address may change while the ID
// stays the same.
type addresses struct {
	mu   sync.Mutex
	byID map[host.ID]string
}

func newAddresses(controlHosts map[host.ID]string) *addresses {
	return &addresses{byID: maps.Clone(controlHosts)}
}

func (a *addresses) get(id host.ID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[id]
}

// set changes the address of a known host and reports whether it differs from the old one.
func (a *addresses) set(id host.ID, address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, known := a.byID[id]; !known || old == address {
		return false
	}
	a.byID[id] = address
	return true
}

// SetAddress sets the address of a control host that another process has replaced.
func (l *Log) SetAddress(id host.ID, address string) {
	if l.addresses.set(id, address) {
		if s := l.senders[id]; s != nil {
			s.notifyAddressChange()
		}
	}
}
