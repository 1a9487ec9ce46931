package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
)

// TestReplacedProcessIsToldSo announces a process whose host a later process has taken while it was cut off. It guards against a refusal that
// the end of its stream discards, so that the process announces itself for ever in place of ending.
func TestReplacedProcessIsToldSo(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		f.applyConfig(defaultConfig(), 0, "change-0")
		first := f.startAgent("fabric-1", "a1", 1)
		time.Sleep(configTimeout)
		first.stop()
		f.startDaemon(&testDaemon{role: host.RoleAgent, info: host.Info{ID: "a1", Incarnation: 2}}, "10.9.9.9:7000")
		time.Sleep(2 * configTimeout)
		links := pool.New(f.socket(identity.Identity{Role: host.RoleAgent, Host: "a1"}, "10.9.9.8:7000"))
		stream, err := links.Open(f.ctx, f.address(f.waitLeader()))
		require.NoError(t, err)
		defer stream.Cancel()
		require.NoError(t, stream.Send(&message.Announce{Role: host.RoleAgent, Info: first.info}))
		answer, err := stream.Receive()
		require.NoError(t, err)
		require.Equal(t, supersededFailure(), answer)
	})
}
