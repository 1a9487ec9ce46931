package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestOddEndpointKeepsNoUpdateOut guards against a gateway that stops applying updates because one contains an invalid endpoint.
func TestOddEndpointKeepsNoUpdateOut(t *testing.T) {
	withFixture(t, func(f *fixture) {
		next := roster.Endpoint{ID: "p9", Service: "plain", Address: "p9", FailureDomain: "a", Slots: 6, StartedMs: 1, Sequence: 1}
		odd, nested := next, next
		odd.ID, nested.ID, nested.Member = "i-\xff", "h9", &roster.Membership{Replica: "m.1.1", Rank: -1}
		f.g.applyUpdate(&message.Picture{Version: 7, Document: []byte("seven77"), Endpoints: []roster.Endpoint{odd, nested, next}})
		require.Equal(t, uint64(7), f.g.table.Load().Version)
		_, known := f.g.roster.Get("p9")
		require.True(t, known)
		for _, id := range []string{odd.ID, nested.ID} {
			_, known = f.g.roster.Get(id)
			require.False(t, known, "%q", id)
		}
	})
}
