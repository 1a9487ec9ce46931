package server

import (
	"sync"

	"github.com/egretreach/egretreach/internal/control/state"
)

// store guards the replicated state and tells of its changes.
type store struct {
	mu      sync.RWMutex
	machine *state.Machine
	changed chan struct{}
	// failed holds the error that ended the state.
	failed chan error
}

func newStore() *store {
	return &store{machine: state.New(), changed: make(chan struct{}, 1), failed: make(chan error, 1)}
}

// Apply implements Machine.
func (s *store) Apply(index uint64, command []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.machine.Apply(index, command)
	switch result.(type) {
	case state.Claimed, state.Settled:
	default:
		s.tell()
	}
	if err := s.machine.Err(); err != nil {
		s.fail(err)
	}
	return result
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

func (s *store) fail(err error) {
	select {
	case s.failed <- err:
	default:
	}
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
