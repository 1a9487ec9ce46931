// Package portalstate is the replicated state of control: the operators' document under the
// highest version that was committed, and where the control hosts are.
package portalstate

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Document is a configuration as its operator sent it.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Bytes   []byte `cbor:"2,keyasint"`
}

// Encode returns the command that puts d in force.
func (d Document) Encode() ([]byte, error) { return encode(command{Document: &d}) }

// Voter is one control host's place in the quorum. Its ID stays when another process, at
// another address and with an empty disk, takes it over.
type Voter struct {
	Host    host.ID `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
	// Sequence counts the processes that have had the seat.
	Sequence uint64 `cbor:"3,keyasint"`
}

// Encode returns the command that moves the seat.
func (s Voter) Encode() ([]byte, error) { return encode(command{Seat: &s}) }

// command is one entry of the log; one field is set.
type command struct {
	Document *Document `cbor:"1,keyasint,omitempty"`
	Seat     *Voter    `cbor:"2,keyasint,omitempty"`
}

func encode(c command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}

// snapshot is the whole state.
type snapshot struct {
	Document Document `cbor:"1,keyasint"`
	Seats    []Voter  `cbor:"2,keyasint,omitempty"`
}

// Result says what a committed command did.
type Result struct {
	// Version is the version in force behind the command.
	Version uint64
	// Applied says that the command's document is now in force.
	Applied bool
}

// Machine holds the state. The zero value holds version 0 and no moved seat. It implements
// replication.StateMachine.
type Machine struct {
	mu      sync.Mutex
	held    Document
	seats   map[host.ID]Voter
	changed chan struct{}
}

// Apply implements replication.StateMachine. A document whose version is not above the
// one in force, and a seat that has been moved since, change nothing.
func (m *Machine) Apply(_ uint64, data []byte) any {
	var c command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return errors.Wrap(err, "decode command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Seat != nil {
		m.move(*c.Seat)
	}
	if c.Document == nil || c.Document.Version <= m.held.Version {
		return Result{Version: m.held.Version}
	}
	m.held = *c.Document
	m.signal()
	return Result{Version: m.held.Version, Applied: true}
}

// move moves a seat; mu is held.
func (m *Machine) move(s Voter) {
	if s.Sequence <= m.seats[s.Host].Sequence {
		return
	}
	if m.seats == nil {
		m.seats = map[host.ID]Voter{}
	}
	m.seats[s.Host] = s
	m.signal()
}

// signal wakes those that wait for a change; mu is held.
func (m *Machine) signal() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Snapshot implements replication.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(snapshot{Document: m.Current(), Seats: m.Voters()})
	return data, errors.Wrap(err, "encode snapshot")
}

// Restore implements replication.StateMachine. What this host has applied already stays:
// a log that is opened again begins with an older snapshot.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seat := range s.Seats {
		m.move(seat)
	}
	if s.Document.Version > m.held.Version {
		m.held = s.Document
		m.signal()
	}
	return nil
}

// Voters returns the seats that have been moved, by ID.
func (m *Machine) Voters() []Voter {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.SortedFunc(maps.Values(m.seats), func(a, b Voter) int {
		return strings.Compare(string(a.Host), string(b.Host))
	})
}

// Current returns the document in force.
func (m *Machine) Current() Document {
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
