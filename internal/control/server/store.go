package server

import (
	"sync"

	"github.com/egretreach/egretreach/internal/control/ledger"
	"github.com/egretreach/egretreach/internal/control/state"
)

// store guards the replicated state and tells of its changes.
type store struct {
	mu      sync.RWMutex
	machine *state.Machine
	changed chan struct{}
}

func newStore() *store {
	return &store{machine: state.New(ledger.Policy{}), changed: make(chan struct{}, 1)}
}

// Apply implements Machine.
func (s *store) Apply(index uint64, command []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.tell()
	return s.machine.Apply(index, command)
}

// Snapshot implements Machine.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Snapshot()
}

// Restore implements Machine.
func (s *store) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.tell()
	return s.machine.Restore(data)
}

func (s *store) tell() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// read calls f with the state, which f must not keep.
func (s *store) read(f func(m *state.Machine)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.machine)
}
