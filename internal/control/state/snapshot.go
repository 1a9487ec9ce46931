package state

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/ledger"
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// snapshot is the encoded form of the whole state, with lists in a fixed order.
type snapshot struct {
	NowMs    int64           `cbor:"1,keyasint"`
	Fence    replica.Fence   `cbor:"2,keyasint"`
	Config   configHistory   `cbor:"3,keyasint"`
	Hosts    []Host          `cbor:"4,keyasint"`
	Replicas []Replica       `cbor:"5,keyasint"`
	Ledger   ledger.Snapshot `cbor:"6,keyasint"`

	Quarantine       quarantine.State  `cbor:"7,keyasint"`
	LedgerPolicy     ledger.Policy     `cbor:"8,keyasint"`
	QuarantinePolicy quarantine.Policy `cbor:"9,keyasint"`
	Term             uint64            `cbor:"10,keyasint"`

	Holds quarantine.HoldSnapshot `cbor:"11,keyasint"`

	// Evacuated is nil if no failure domain was ever evacuated.
	Evacuated *view.Evacuated `cbor:"12,keyasint,omitempty"`
}

// maxSnapshotItems is the largest number of items of one list in a snapshot.
const maxSnapshotItems = 1 << 24

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxSnapshotItems, MaxMapPairs: maxSnapshotItems,
		// A committed command must be applied by all hosts, whatever the texts in it are.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Snapshot returns the encoded state. Equal states give equal bytes. It returns the
// ErrUnknownCommand of a machine that has stopped.
func (m *Machine) Snapshot() ([]byte, error) {
	if m.unknownCommand != nil {
		return nil, m.unknownCommand
	}
	data, err := encoding.Marshal(snapshot{
		NowMs: m.nowMs, Fence: m.fence, Config: m.config,
		Hosts: m.Hosts(), Replicas: m.Replicas(), Ledger: m.ledger.Snapshot(),
		Quarantine: m.quarantine, LedgerPolicy: m.ledger.Policy, QuarantinePolicy: m.quarantine.Policy,
		Term: m.term, Holds: m.holds.Snapshot(), Evacuated: m.evacuated.OrNil(),
	})
	return data, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the state by that of a snapshot, also on a machine that has stopped.
// On error the old state remains.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := decoding.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.unknownCommand = nil
	m.nowMs = s.NowMs
	m.term = s.Term
	m.fence = s.Fence
	m.config = s.Config
	m.hosts = make(map[host.ID]*Host, len(s.Hosts))
	for i := range s.Hosts {
		m.hosts[s.Hosts[i].Info.ID] = &s.Hosts[i]
	}
	m.replicas = make(map[replica.ID]*Replica, len(s.Replicas))
	for i := range s.Replicas {
		m.replicas[s.Replicas[i].ID] = &s.Replicas[i]
	}
	m.ledger = ledger.Restore(s.LedgerPolicy, s.Ledger)
	m.quarantine = s.Quarantine
	m.quarantine.Policy = s.QuarantinePolicy
	m.holds = quarantine.HoldSet{}
	m.holds.Restore(s.Holds)
	m.evacuated = view.Evacuated{}
	if s.Evacuated != nil {
		m.evacuated = *s.Evacuated
	}
	return nil
}
