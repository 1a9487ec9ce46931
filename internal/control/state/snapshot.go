package state

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/ledger"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// snapshot is the whole state in a fixed order.
type snapshot struct {
	NowMs    int64           `cbor:"1,keyasint"`
	Fence    replica.Fence   `cbor:"2,keyasint"`
	Config   history         `cbor:"3,keyasint"`
	Hosts    []Host          `cbor:"4,keyasint"`
	Replicas []Replica       `cbor:"5,keyasint"`
	Ledger   ledger.Snapshot `cbor:"6,keyasint"`
}

var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Snapshot encodes the whole state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := encoding.Marshal(snapshot{
		NowMs: m.nowMs, Fence: m.fence, Config: m.config,
		Hosts: m.Hosts(), Replicas: m.Replicas(), Ledger: m.ledger.Snapshot(),
	})
	return data, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the state by that of a snapshot. On error the old state stays.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.nowMs = s.NowMs
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
	m.ledger = ledger.Restore(m.ledger.Policy, s.Ledger)
	return nil
}
