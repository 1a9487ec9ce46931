package quorum

import (
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

// Timing returns the timing in use.
func (m *Machine) Timing() Timing { return m.timing }
