package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
)

// awaitReadyToStop waits until a stopping control host waits for nothing but the receipt of answers, for half of the time that it does so.
func (f *testFleet) awaitReadyToStop(id host.ID) {
	for !f.servers[id].redirecting.Load() {
		sleep(10 * time.Millisecond)
	}
	sleep(idleBeforeStop + receiptTimeout/2)
}

// TestShutdownWaitsUntilAnswersAreReceived leaves the answers to calls unread while the leader stops. It guards against a planned stop that
// closes the link of a caller which has not yet read its answer: a committed claim becomes uncertain by that.
func TestShutdownWaitsUntilAnswersAreReceived(t *testing.T) {
	entry := identity.Identity{Role: host.RoleEntry, Host: "e1"}
	id := request.NewID()
	claim := &message.Claim{Items: []message.ClaimItem{{Team: "jordan", Key: "k", Request: id, Attempt: 1}}}
	granted := &message.ClaimResult{Items: []message.ClaimItemResult{{State: message.ClaimGranted, Request: id, Attempt: 1}}}
	for name, c := range map[string]struct {
		sent message.Message
		want message.Message
	}{
		"claim":            {claim, granted},
		"forbidden call":   {&message.Drain{Host: "a1"}, &message.Failure{Code: codeForbidden, Reason: "the certificate's role may not make this call"}},
		"refused announce": {&message.Announce{Role: host.RoleEntry, Info: host.Info{ID: "e1"}}, &message.Failure{Code: codeMalformed, Reason: "a daemon needs an incarnation"}},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *testFleet) {
				f.applyConfig(defaultConfig(), 0, "change-0")
				leader := f.waitLeader()
				stream, err := pool.New(f.socket(entry, "10.9.9.9:7000")).Open(f.ctx, f.address(leader))
				require.NoError(t, err)
				require.NoError(t, stream.Send(c.sent))
				sleep(100 * time.Millisecond)
				stopped := make(chan error, 1)
				go func() { stopped <- f.servers[leader].Shutdown(f.ctx) }()
				f.awaitReadyToStop(leader)
				answer, err := stream.Receive()
				require.NoError(t, err)
				require.Equal(t, c.want, answer)
				stream.Close()
				require.NoError(t, <-stopped)
			})
		})
	}
}
