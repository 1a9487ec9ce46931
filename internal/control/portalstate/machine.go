// Package portalstate is the replicated state of the portal: the operators' document with the
// highest committed version, the addresses of the voters that were moved to another host, the keys of
// requests that are held back, the endpoints that drained or left last, and the failure domains that are evacuated.
package portalstate

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// Document is a configuration as its operator sent it.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	Bytes   []byte `cbor:"2,keyasint"`
}

// Encode returns the command that brings d into force.
func (d Document) Encode() ([]byte, error) { return encode(command{Document: &d}) }

// Voter is a voting member of the quorum. Its ID stays the same when another process, at another
// address and with an empty disk, replaces it.
type Voter struct {
	Host    host.ID `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
	// Sequence counts the processes that have replaced the voter.
	Sequence uint64 `cbor:"3,keyasint"`
}

// Encode returns the command that moves the voter.
func (v Voter) Encode() ([]byte, error) { return encode(command{Voter: &v}) }

// command is an entry of the log. One field is set.
type command struct {
	Document *Document        `cbor:"1,keyasint,omitempty"`
	Voter    *Voter           `cbor:"2,keyasint,omitempty"`
	Hold     *quarantine.Hold `cbor:"3,keyasint,omitempty"`
	// Departures are announcements of endpoints that drain or have left.
	Departures []roster.Endpoint `cbor:"4,keyasint,omitempty"`
	Evacuation *Evacuation       `cbor:"5,keyasint,omitempty"`
}

// decoding reads commands and snapshots whatever the bytes of their texts are: a committed command must be applied by all hosts.
var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeHold returns the command that holds a key of requests back, or releases it if there are no strikes.
func EncodeHold(h quarantine.Hold) ([]byte, error) { return encode(command{Hold: &h}) }

func encode(c command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode command")
}

// snapshot is the whole state.
type snapshot struct {
	Document Document                `cbor:"1,keyasint"`
	Voters   []Voter                 `cbor:"2,keyasint,omitempty"`
	Holds    quarantine.HoldSnapshot `cbor:"3,keyasint"`
	// Departures are in the order of their indexes.
	Departures  []departure `cbor:"4,keyasint,omitempty"`
	Evacuations Evacuations `cbor:"5,keyasint"`
}

// Result is the effect of a committed command.
type Result struct {
	// Index is that of the command's entry in the log.
	Index uint64
	// Version is the version in force after the command.
	Version uint64
	// Applied is true if the command's document came into force.
	Applied bool
}

// Machine holds the state. The zero value holds version 0 and no moved voters. It implements
// replication.StateMachine.
type Machine struct {
	mu       sync.Mutex
	document Document
	voters   map[host.ID]Voter
	holds    quarantine.HoldSet
	// departures are those of the last endpoints that drained or left.
	departures  departureSet
	evacuations Evacuations
	changed     chan struct{}
}

// Apply implements replication.StateMachine. A document whose version is not above the one in
// force changes nothing, and neither does a voter whose sequence is not above the stored one.
func (m *Machine) Apply(index uint64, data []byte) any {
	var c command
	if err := decoding.Unmarshal(data, &c); err != nil {
		return errors.Wrap(err, "decode command")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Voter != nil {
		m.moveVoter(*c.Voter)
	}
	if c.Hold != nil && m.holds.Apply(index, *c.Hold) {
		m.notify()
	}
	if m.departures.add(newDepartures(index, c.Departures)) {
		m.notify()
	}
	if c.Evacuation != nil {
		return m.evacuate(index, *c.Evacuation)
	}
	if c.Document == nil || c.Document.Version <= m.document.Version {
		return Result{Index: index, Version: m.document.Version}
	}
	m.document = *c.Document
	m.notify()
	return Result{Index: index, Version: m.document.Version, Applied: true}
}

// moveVoter applies the move of a voter. mu is held.
func (m *Machine) moveVoter(v Voter) {
	if v.Sequence <= m.voters[v.Host].Sequence {
		return
	}
	if m.voters == nil {
		m.voters = map[host.ID]Voter{}
	}
	m.voters[v.Host] = v
	m.notify()
}

// notify wakes the goroutines that wait for a change. mu is held.
func (m *Machine) notify() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Snapshot implements replication.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{Document: m.Current(), Voters: m.MovedVoters()}
	m.mu.Lock()
	s.Holds, s.Departures, s.Evacuations = m.holds.Snapshot(), m.departures.list, m.evacuations
	m.mu.Unlock()
	data, err := cbor.Marshal(s)
	return data, errors.Wrap(err, "encode snapshot")
}

// Restore implements replication.StateMachine. It keeps newer state that this host has already
// applied, because a log that is opened again starts with an older snapshot.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := decoding.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, voter := range s.Voters {
		m.moveVoter(voter)
	}
	if m.holds.Restore(s.Holds) {
		m.notify()
	}
	if m.departures.add(s.Departures) {
		m.notify()
	}
	m.restoreEvacuations(s.Evacuations)
	if s.Document.Version > m.document.Version {
		m.document = s.Document
		m.notify()
	}
	return nil
}

// MovedVoters returns the voters that have been moved to another host, sorted by ID.
func (m *Machine) MovedVoters() []Voter {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.SortedFunc(maps.Values(m.voters), func(a, b Voter) int {
		return strings.Compare(string(a.Host), string(b.Host))
	})
}

// Holds returns the keys of requests that are held back, sorted.
func (m *Machine) Holds() []quarantine.Hold {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holds.List()
}

// Current returns the document in force.
func (m *Machine) Current() Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}

// Changed returns a channel that is closed at the next change of the document, of a voter, of
// the held keys, of the departures or of the evacuations.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}
