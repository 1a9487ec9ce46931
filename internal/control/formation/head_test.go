package formation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// TestWarmestMemberBecomesHead guards against a replica that can take few requests because its head is cold though another member isn't,
// and against another order of the members of a replica when nothing is cold.
func TestWarmestMemberBecomesHead(t *testing.T) {
	for name, c := range map[string]struct {
		cold [3]time.Duration
		want []string
	}{
		"none is cold":      {[3]time.Duration{}, []string{"a", "b", "c"}},
		"the first is cold": {[3]time.Duration{time.Second}, []string{"b", "a", "c"}},
		"another is cold":   {[3]time.Duration{0, time.Second}, []string{"a", "b", "c"}},
		"all are cold":      {[3]time.Duration{3 * time.Second, 2 * time.Second, time.Second}, []string{"c", "a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			var members []Host
			for i, id := range []string{"a", "b", "c"} {
				members = append(members, Host{Endpoint: roster.Endpoint{ID: id}, Cold: c.cold[i]})
			}
			p := &Planner{now: noon, replicas: map[string]*replica{}, sent: map[string]sentOrder{}, history: map[roster.Incarnation]engineHistory{}}
			p.startReplica("fabric", candidate{members: members})
			for _, r := range p.replicas {
				require.Equal(t, c.want, r.members)
			}
			require.Len(t, p.replicas, 1)
		})
	}
}

var noon = time.Unix(3_000_000, 0)
