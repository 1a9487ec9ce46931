package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// TestEvacuatedReplicaEndsOnlyOnceOthersServe guards against a replica that is given up although it could serve again
// at once after the evacuation, and against one that is counted as capacity, so that its replacement waits.
func TestEvacuatedReplicaEndsOnlyOnceOthersServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		evacuated := map[host.ID]bool{}
		for _, h := range f.Hosts {
			evacuated[h.ID] = h.Evacuated
		}
		ready := map[string]int{}
		p := newPlanner(&f)
		for i := range p.groups {
			if g := &p.groups[i]; g.serving() && !evacuated[g.Head()] {
				ready[g.Spec.Deployment]++
			}
		}
		for _, d := range Decide(f) {
			drain, ok := d.(Drain)
			if !ok || drain.Reason != ReasonEvacuated {
				continue
			}
			for i := range f.Replicas {
				if r := &f.Replicas[i]; r.ID == drain.Replica {
					require.True(t, evacuated[r.Head()])
					require.GreaterOrEqual(t, ready[r.Spec.Deployment], wanted(f, r.Spec.Deployment))
				}
			}
		}
	})
}

func wanted(f Fleet, deployment string) int {
	for _, d := range f.Deployments {
		if d.Spec.Deployment == deployment {
			return d.Replicas
		}
	}
	return 0
}

// TestAllEvacuatedReplicasAreReplacedAtOnce guards against replacements that are built one after the other, as for a
// planned stop: an evacuated replica doesn't serve until its replacement does.
func TestAllEvacuatedReplicasAreReplacedAtOnce(t *testing.T) {
	f := Fleet{Now: epoch, Deployments: []Deployment{deployment("drafts", 3, 1, 1)}}
	for _, id := range []host.ID{"a0", "a1", "a2", "b0", "b1", "b2"} {
		f.Hosts = append(f.Hosts, Host{
			ID: id, Fabric: "x", Accelerators: 4, Alive: true, AliveChangedAt: epoch.Add(-time.Hour), Evacuated: id[0] == 'a',
		})
	}
	for i, id := range []host.ID{"a0", "a1", "a2"} {
		r := Replica{CreatedAt: epoch.Add(-time.Hour)}
		r.ID, r.State, r.Hosts = replica.ID("r-"+id), replica.StateServing, []host.ID{id}
		r.Spec = f.Deployments[0].Spec
		f.Hosts[i].Replica = r.ID
		f.Replicas = append(f.Replicas, r)
	}
	formed := 0
	for _, d := range Decide(f) {
		switch d := d.(type) {
		case Form:
			formed++
		case Wait:
			require.Equal(t, ReasonEvacuated, d.Reason)
		default:
			require.Fail(t, "the replica serves again at once if the evacuation is withdrawn", "%+v", d)
		}
	}
	require.Equal(t, 3, formed)
}
