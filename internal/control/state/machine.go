// Package state implements the replicated state machine of the control hosts. Its state
// is the configuration with its history, the admitted hosts, the replicas with the
// claims on their hosts, the ledger and the quarantine.
//
// The same commands in the same order give the same state. The time is part of each
// command, by the clock of the host that proposed it, and never runs backwards.
package state

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/ledger"
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Machine applies commands to the state. It is not safe for concurrent use. Create it
// with New.
type Machine struct {
	nowMs    int64
	term     uint64
	fence    replica.Fence
	config   configHistory
	hosts    map[host.ID]*Host
	replicas map[replica.ID]*Replica
	ledger   *ledger.Ledger
	// quarantine is not shared with callers.
	quarantine quarantine.State
	// holds are the keys of requests that are held back.
	holds quarantine.HoldSet
	// evacuated is the set of evacuated failure domains.
	evacuated view.Evacuated
	// unknownCommand is the ErrUnknownCommand that stopped the machine, or nil.
	unknownCommand error
}

// Host is the replicated record of one host.
type Host struct {
	Role host.Role `cbor:"1,keyasint"`
	// Info is the host information of the admitted incarnation.
	Info host.Info `cbor:"2,keyasint"`
	// FormerIncarnations are the last incarnations that were replaced by a later one,
	// the latest last. At most maxFormerIncarnations are kept.
	FormerIncarnations []host.Incarnation `cbor:"3,keyasint,omitempty"`
	// FenceFloor is the highest fencing number assigned for the host.
	FenceFloor replica.Fence `cbor:"4,keyasint,omitempty"`
	// Claim is the claim of a replica on the host, or nil.
	Claim *HostClaim `cbor:"5,keyasint,omitempty"`
	// DrainRequested is true if an operator wants the host to leave the fleet.
	DrainRequested bool   `cbor:"6,keyasint,omitempty"`
	DrainReason    string `cbor:"7,keyasint,omitempty"`
}

// HostClaim is the claim of a replica on a host.
type HostClaim struct {
	Replica replica.ID    `cbor:"1,keyasint"`
	Fence   replica.Fence `cbor:"2,keyasint"`
	// Releasing is true if the replica has ended and the host is not free yet.
	Releasing bool `cbor:"3,keyasint,omitempty"`
}

// Replica is a replica, with the time at which it was formed.
type Replica struct {
	replica.Replica `cbor:"1,keyasint"`
	FormedUnixMs    int64 `cbor:"2,keyasint"`
	// Generation counts the Updates of what the replica serves.
	Generation uint64 `cbor:"3,keyasint,omitempty"`
}

// maxFormerIncarnations bounds Host.FormerIncarnations.
const maxFormerIncarnations = 8

// New returns a Machine with an empty state and the default policies.
func New() *Machine {
	return &Machine{
		hosts:    map[host.ID]*Host{},
		replicas: map[replica.ID]*Replica{},
		ledger:   &ledger.Ledger{},
	}
}

// ErrUnknownCommand reports a command of the log that this version cannot apply. The
// machine then keeps the state before that command, and refuses further commands
// and snapshots, since its state would differ from that of hosts that know the command.
type ErrUnknownCommand struct {
	Index  uint64
	Reason string
}

func (e ErrUnknownCommand) Error() string {
	return fmt.Sprintf("the log's command %d is of another version: %s", e.Index, e.Reason)
}

// IsErrUnknownCommand reports whether err is an ErrUnknownCommand.
func IsErrUnknownCommand(err error) bool {
	var e ErrUnknownCommand
	return errors.As(err, &e)
}

// Err returns the ErrUnknownCommand that stopped the machine, or nil.
func (m *Machine) Err() error { return m.unknownCommand }

// Apply applies the command at index of the log and returns its Result. It refuses a
// decision of a leader whose term is not the current one.
func (m *Machine) Apply(index uint64, data []byte) any {
	if m.unknownCommand != nil {
		return Refused{Reason: m.unknownCommand.Error()}
	}
	command, e, err := decode(data)
	if err != nil {
		m.unknownCommand = ErrUnknownCommand{Index: index, Reason: err.Error()}
		return Refused{Reason: m.unknownCommand.Error()}
	}
	if e.Term != 0 && e.Term != m.term {
		return Refused{Reason: fmt.Sprintf("decided by the leader of term %d, in term %d", e.Term, m.term)}
	}
	m.nowMs = max(m.nowMs, e.UnixMs)
	return m.apply(index, command)
}

func (m *Machine) apply(index uint64, command Command) Result {
	switch c := command.(type) {
	case Lead:
		m.term = max(m.term, c.Term)
		return Done{}
	case ApplyConfig:
		return m.applyConfig(c)
	case Admit:
		return m.admit(c)
	case Forget:
		return m.forget(c)
	case Form:
		return m.form(nil, c.Spec, c.Hosts)
	case Swap:
		return m.form(c.Old, c.Spec, c.Hosts)
	case Update:
		return m.update(c)
	case Advance:
		return m.advance(c)
	case Dissolve:
		return m.dissolve(c)
	case Release:
		return m.release(c)
	case Drain:
		return m.drain(c)
	case Evacuate:
		return m.evacuate(index, c)
	case Claim:
		return m.claim(c)
	case Settle:
		return m.settle(c)
	case Crash:
		return QuarantineChanged{Change: m.quarantine.Crash(m.now(), c.Report)}
	case Hold:
		m.holds.Apply(m.holds.Next(), c.Hold)
		return HoldChanged{}
	case ClearSuspects:
		return QuarantineChanged{Change: m.quarantine.Complete(m.now(), c.BodyHashes)}
	case ClearQuarantine:
		return QuarantineChanged{Change: m.quarantine.Clear(c.BodyHash)}
	default:
		return Refused{Reason: "unknown command"}
	}
}

func (m *Machine) claim(c Claim) Result {
	results := make([]message.ClaimItemResult, len(c.Items))
	for i, item := range c.Items {
		results[i] = m.ledger.Claim(m.now(), item)
	}
	return Claimed{Items: results}
}

func (m *Machine) settle(c Settle) Result {
	recorded := make([]bool, len(c.Items))
	for i, item := range c.Items {
		recorded[i] = m.ledger.Settle(m.now(), item)
	}
	return Settled{Recorded: recorded}
}

// applyConfig adds a configuration to the history. If it is accepted as the latest one,
// its policies take effect.
func (m *Machine) applyConfig(c ApplyConfig) Result {
	result := m.config.apply(m.nowMs, c)
	if result.Accepted && result.Revision == m.config.latestRevision() {
		m.ledger.Policy = c.Ledger
		m.quarantine.Policy = c.Quarantine
	}
	return result
}

// Quarantine returns the bodies that are suspect or quarantined at now.
func (m *Machine) Quarantine(now time.Time) []view.Quarantine { return m.quarantine.View(now) }

// Holds returns the keys of requests that are held back, sorted.
func (m *Machine) Holds() []quarantine.Hold { return m.holds.List() }

func (m *Machine) now() time.Time { return time.UnixMilli(m.nowMs) }

// Request returns what the ledger knows about a request with a claim.
func (m *Machine) Request(id request.ID) message.RequestResult { return m.ledger.Request(id) }
