package server

import (
	"sync"

	"github.com/egretreach/egretreach/internal/control/state"
)

// store holds the replicated state under a lock and signals its changes.
type store struct {
	mu      sync.RWMutex
	machine *state.Machine
	// changed is signalled after every command other than claims and settlements, and after a
	// restore.
	changed chan struct{}
	// failed receives the error after which the state can no longer be used.
	failed chan error
}

func newStore() *store {
	return &store{machine: state.New(), changed: make(chan struct{}, 1), failed: make(chan error, 1)}
}

// Apply implements StateMachine.
func (s *store) Apply(index uint64, command []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.machine.Apply(index, command)
	switch result.(type) {
	case state.Claimed, state.Settled:
	default:
		s.notifyChanged()
	}
	if err := s.machine.Err(); err != nil {
		s.reportFailure(err)
	}
	return result
}

// Snapshot implements StateMachine.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.machine.Snapshot()
}

// Restore implements StateMachine.
func (s *store) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notifyChanged()
	return s.machine.Restore(data)
}

func (s *store) reportFailure(err error) {
	select {
	case s.failed <- err:
	default:
	}
}

func (s *store) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// read calls f with the state under the read lock. f must not keep the pointer.
func (s *store) read(f func(m *state.Machine)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.machine)
}
