// Package revision is the replicated state of the operators' configuration: one
// document under the highest version that was committed.
package revision

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Document is a configuration as its operator sent it.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Bytes   []byte `cbor:"2,keyasint"`
}

// Encode returns the command that puts d in force.
func (d Document) Encode() ([]byte, error) {
	command, err := cbor.Marshal(d)
	return command, errors.Wrap(err, "encode document")
}

// Result says what a committed command did.
type Result struct {
	// Held is the version in force behind the command.
	Held uint64
	// Taken says that the command's document is now in force.
	Taken bool
}

// Machine holds the document in force. The zero value holds version 0. It implements
// replication.StateMachine.
type Machine struct {
	mu      sync.Mutex
	held    Document
	changed chan struct{}
}

// Apply implements replication.StateMachine. A document whose version is not above the
// one in force changes nothing.
func (m *Machine) Apply(_ uint64, command []byte) any {
	var d Document
	if err := cbor.Unmarshal(command, &d); err != nil {
		return errors.Wrap(err, "decode document")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Version <= m.held.Version {
		return Result{Held: m.held.Version}
	}
	m.set(d)
	return Result{Held: d.Version, Taken: true}
}

// set replaces the document; mu is held.
func (m *Machine) set(d Document) {
	m.held = d
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Snapshot implements replication.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) { return m.Held().Encode() }

// Restore implements replication.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	var d Document
	if err := cbor.Unmarshal(snapshot, &d); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(d)
	return nil
}

// Held returns the document in force.
func (m *Machine) Held() Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Changed returns a channel that is closed when the document changes.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}
