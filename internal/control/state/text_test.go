package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestTextThatIsNoUTF8StopsNoMachine guards against a caller's key, or any other text from outside, that stops the state machines of all control
// hosts for good once it is committed.
func TestTextThatIsNoUTF8StopsNoMachine(t *testing.T) {
	const odd = "k\xff\xfe"
	m := New()
	for _, c := range []Command{
		Claim{Items: []message.ClaimItem{{Team: team.ID(odd), Key: odd, Request: request.ID{1}, Host: host.ID(odd), Address: odd}}},
		Settle{Items: []message.SettleItem{{Team: team.ID(odd), Key: odd, Request: request.ID{1}, Outcome: request.OutcomeComplete}}},
		ApplyConfig{YAML: []byte(odd), ChangeID: odd, Operator: odd},
		Admit{Info: host.Info{ID: host.ID(odd)}},
		Release{Claims: []ReleasedClaim{{Host: host.ID(odd), Fence: replica.Fence(1)}}},
	} {
		apply(t, m, start, c)
		require.NoError(t, m.Err(), "%T", c)
	}
	apply(t, m, start, Admit{Info: host.Info{ID: "a1"}})
	require.Len(t, m.Hosts(), 2)
	require.Len(t, restored(t, m).Hosts(), 2)
}
