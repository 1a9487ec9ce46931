package state

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// applyAt is apply for a command at an index of the log.
func applyAt(t require.TestingT, m *Machine, index uint64, c Command) Result {
	data, err := Encode(start, 0, c)
	require.NoError(t, err)
	return m.Apply(index, data).(Result)
}

// TestEvacuationsOutlastSnapshotsAndLostHosts guards against an acknowledged evacuation that is forgotten or revived:
// by a snapshot, by the loss of every host of the domain, by a drain, or by a command that is repeated. It also guards
// against a revision that goes back or that a command without effect changes, as entries would then keep an old set.
func TestEvacuationsOutlastSnapshotsAndLostHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		want := map[domain.Failure]bool{}
		var last view.Evacuated
		for index := uint64(1); index <= uint64(rapid.IntRange(1, 60).Draw(t, "commands")); index++ {
			c := drawEvacuationCommand(t)
			if rapid.Bool().Draw(t, "snapshot") {
				m = restored(t, m)
			}
			result := applyAt(t, m, index, c)
			e, isEvacuation := c.(Evacuate)
			changed := isEvacuation && want[e.Domain] == e.Undo
			if isEvacuation {
				require.Equal(t, Done{}, result)
				want[e.Domain] = !e.Undo
			}
			set := m.Evacuated()
			for _, d := range failureDomains {
				require.Equal(t, want[d], set.Contains(d), "domain %s", d)
			}
			require.True(t, slices.IsSorted(set.Domains))
			if changed {
				require.Equal(t, index, set.Revision)
			} else {
				require.Equal(t, last, set)
			}
			last = set
			require.Equal(t, snapshotOf(t, m), snapshotOf(t, restored(t, m)))
		}
	})
}

var failureDomains = []domain.Failure{"hall-1", "hall-2", "hall-3"}

func drawEvacuationCommand(t *rapid.T) Command {
	h := rapid.SampledFrom(hostIDs).Draw(t, "host")
	switch rapid.IntRange(0, 6).Draw(t, "command") {
	case 0, 1, 2:
		return Evacuate{Domain: rapid.SampledFrom(failureDomains).Draw(t, "domain"), Undo: rapid.Bool().Draw(t, "undo")}
	case 3:
		info := host.Info{ID: h, Incarnation: 1, FailureDomain: rapid.SampledFrom(failureDomains).Draw(t, "of")}
		return Admit{Role: host.RoleAgent, Info: info}
	case 4:
		return Drain{Host: h, Undo: rapid.Bool().Draw(t, "undrain"), Reason: "repair"}
	case 5:
		return Forget{Hosts: hostIDs}
	default:
		return Form{Spec: replica.Spec{Deployment: "drafting"}, Hosts: drawHosts(t)}
	}
}

// TestEvacuationsAreBounded guards against names and numbers of domains that fill the state of every control host.
func TestEvacuationsAreBounded(t *testing.T) {
	m := New()
	for _, name := range []string{"", "\xff", strings.Repeat("x", MaxDomainBytes+1)} {
		require.IsType(t, Refused{}, applyAt(t, m, 1, Evacuate{Domain: domain.Failure(name)}))
		require.IsType(t, Refused{}, applyAt(t, m, 1, Evacuate{Domain: domain.Failure(name), Undo: true}))
	}
	for i := range MaxEvacuatedDomains {
		require.Equal(t, Done{}, applyAt(t, m, uint64(i+1), Evacuate{Domain: domain.Failure(strconv.Itoa(i))}))
	}
	require.IsType(t, Refused{}, applyAt(t, m, 65, Evacuate{Domain: "one more"}))
	require.Equal(t, Done{}, applyAt(t, m, 66, Evacuate{Domain: "0"}), "an evacuation that has begun is acknowledged")
	require.Equal(t, Done{}, applyAt(t, m, 67, Evacuate{Domain: "0", Undo: true}))
	require.Equal(t, Done{}, applyAt(t, m, 68, Evacuate{Domain: "one more"}))
	require.Equal(t, uint64(68), m.Evacuated().Revision)
}

// TestUnusedEvacuationChangesNoSnapshot guards against a snapshot that differs from that of a version without
// evacuations in a fleet that uses none.
func TestUnusedEvacuationChangesNoSnapshot(t *testing.T) {
	m := New()
	applyAt(t, m, 1, Evacuate{Domain: "hall-1", Undo: true})
	require.Nil(t, m.Evacuated().OrNil())
	require.NotContains(t, string(snapshotOf(t, m)), "hall")
}
