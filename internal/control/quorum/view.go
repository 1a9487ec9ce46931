package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// View is what a machine tells of itself.
type View struct {
	Role       Role
	Term       Term
	Leader     host.ID
	Generation Generation
	Admitted   bool
	Last       Index
	Commit     Index
	Snapshot   Index
	// Leased says that the leader may serve reads.
	Leased bool
	// Leaving says that the leader is handing over.
	Leaving bool
	// Peers is empty but on a leader.
	Peers []PeerView
	// Awaited are the hosts without whose promise a founder cannot found the log.
	Awaited []host.ID
}

// PeerView is one peer as a leader sees it.
type PeerView struct {
	Host     host.ID
	Match    Index
	Silence  time.Duration
	Admitted bool
}

// View returns the state of the machine at now.
func (m *Machine) View(now time.Time) View {
	v := View{
		Role: m.role, Term: m.hard.Term, Leader: m.leader,
		Generation: m.hard.Generation, Admitted: m.hard.Admitted,
		Last: m.log.last(), Commit: m.commit, Snapshot: m.snapshot.Index,
	}
	if m.fresh() && m.self == m.founder() {
		v.Awaited = m.awaited()
	}
	if m.role != RoleLeader {
		return v
	}
	v.Leased, v.Leaving = m.leased(now), m.leaving != ""
	for _, id := range m.peers {
		p := m.progress[id]
		v.Peers = append(v.Peers, PeerView{
			Host: id, Match: p.match, Silence: now.Sub(p.heard), Admitted: p.admitted,
		})
	}
	return v
}

func (m *Machine) awaited() []host.ID {
	var awaited []host.ID
	for _, id := range m.peers {
		if _, promised := m.promises[id]; !promised {
			awaited = append(awaited, id)
		}
	}
	return awaited
}

// Founders returns the hosts that founded the log in memory, in order, or nil.
func (m Memory) Founders() []host.ID {
	log := newEntryLog(m)
	if membership := log.membership(); membership != nil {
		return slices.Sorted(maps.Keys(membership.Founding))
	}
	return nil
}

// Timing returns the timing in use.
func (m *Machine) Timing() Timing { return m.timing }
