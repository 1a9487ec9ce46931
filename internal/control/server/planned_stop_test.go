package server

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestDrainedHostIsReplacedBeforeItStops drains a host of a replica and a host of a plain service.
// The replacement of the replica must serve before the replica stops, and an entry must see the
// stop within 2 s. The endpoint of the plain service must leave the view within 2 s.
func TestDrainedHostIsReplacedBeforeItStops(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		for _, a := range f.startAgents("fabric-1", "a1", "a2", "a3", "a4", "a5", "a6") {
			a.busy = true
		}
		records := f.startDaemon(&testDaemon{role: host.RoleAgent, info: host.Info{
			ID: "r1", Incarnation: 1, Endpoints: []host.Endpoint{{Name: "records", Kind: host.KindService}},
		}}, f.address("r1"))
		entry := f.startEntry("e1")
		f.applyConfig(defaultConfig(), 0, "change-0")
		sleep(configTimeout)
		require.Equal(t, 2, countServing(entry.lastView(), ""))
		require.Len(t, entry.lastView().Services, 1)
		f.call(&message.Drain{Host: records.info.ID, Reason: "disk"})
		drained := entry.lastView().Routes[0].Replica.Hosts[1]
		f.call(&message.Drain{Host: drained, Reason: "new power supply"})
		drainedAt := time.Now()
		var stopping time.Time
		for time.Since(drainedAt) < 2*configTimeout {
			sleep(configTimeout / 100)
			seen := entry.lastView()
			require.GreaterOrEqual(t, countServing(seen, ""), 2, "capacity was lost")
			if stopping.IsZero() && f.noReplicaServesOn(drained) {
				stopping = time.Now()
			}
			if !stopping.IsZero() && time.Since(stopping) > 2*time.Second {
				require.Zero(t, countServing(seen, drained))
			}
			if time.Since(drainedAt) > 2*time.Second {
				require.Empty(t, seen.Services)
			}
		}
		require.False(t, stopping.IsZero(), "the replica never stopped")
		f.call(&message.Drain{Host: drained, Undo: true})
	})
}

// countServing returns the number of serving replicas, or of those with the member h unless h is
// empty.
func countServing(v view.View, h host.ID) int {
	n := 0
	for _, r := range v.Routes {
		if r.Replica.State == replica.StateServing && (h == "" || r.Replica.Has(h)) {
			n++
		}
	}
	return n
}

// noReplicaServesOn reports whether all replicas with the host are draining in the replicated
// state.
func (f *testFleet) noReplicaServesOn(h host.ID) bool {
	draining := true
	f.servers[f.waitLeader()].store.read(func(m *state.Machine) {
		for _, r := range m.Replicas() {
			draining = draining && (!r.Has(h) || r.State == replica.StateDraining)
		}
	})
	return draining
}

// TestPlannedStopOfLeaderLosesNoClaim makes claims while the leader is shut down and started again,
// three times. No claim may fail or be uncertain, and no lease of the agent may expire.
func TestPlannedStopOfLeaderLosesNoClaim(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		f.applyConfig(defaultConfig(), 0, "change-0")
		agent, entry := f.startAgent("fabric-1", "a1", 1), f.startEntry("e1")
		sleep(configTimeout)
		stop, ended := make(chan struct{}), make(chan struct{})
		var claims atomic.Int64
		f.running.Go(func() {
			defer close(ended)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				claims.Add(f.claim(entry, fmt.Sprint("key-", n)))
			}
		})
		for range 3 {
			leader := f.waitLeader()
			ctx, cancel := context.WithTimeout(f.ctx, configTimeout)
			require.NoError(t, f.servers[leader].Shutdown(ctx))
			cancel()
			f.servers[leader].stop()
			f.startControl(leader)
			for range 50 {
				sleep(configTimeout / 50)
				require.True(t, agent.session.Valid())
			}
		}
		close(stop)
		<-ended
		require.Greater(t, claims.Load(), int64(1000))
	})
}

// claim makes one claim and returns 1, or 0 if the test has ended. It fails the test if the claim
// is not granted.
func (f *testFleet) claim(entry *testDaemon, key string) int64 {
	ctx, cancel := context.WithTimeout(f.ctx, 2*configTimeout)
	defer cancel()
	answer, err := entry.session.Call(ctx, &message.Claim{Items: []message.ClaimItem{{
		Team: "jordan", Key: key, Request: request.NewID(), Attempt: 1,
	}}})
	if f.ctx.Err() != nil {
		return 0
	}
	if err != nil || answer.(*message.ClaimResult).Items[0].State != message.ClaimGranted {
		f.t.Errorf("claim %s: %v %+v", key, err, answer)
	}
	return 1
}
