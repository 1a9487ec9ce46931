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

// TestDrainedHost: the replacement of a drained host's replica serves before the
// replica stops, and an entry sees the stop within 2 s. A plain service's endpoint
// stops at once.
func TestDrainedHost(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		for _, a := range f.agents("fabric-1", "a1", "a2", "a3", "a4", "a5", "a6") {
			a.busy = true
		}
		records := f.start(&daemon{role: host.RoleAgent, info: host.Info{
			ID: "r1", Incarnation: 1, Endpoints: []host.Endpoint{{Name: "records", Kind: host.KindService}},
		}}, f.address("r1"))
		entry := f.entry("e1")
		f.apply(defaultConfig(), 0, "change-0")
		pass(reach)
		require.Equal(t, 2, serving(entry.lastView(), ""))
		require.Len(t, entry.lastView().Services, 1)
		f.call(&message.Drain{Host: records.info.ID, Reason: "disk"})
		drained := entry.lastView().Routes[0].Replica.Hosts[1]
		f.call(&message.Drain{Host: drained, Reason: "new power supply"})
		began := time.Now()
		var stopping time.Time
		for time.Since(began) < 2*reach {
			pass(reach / 100)
			seen := entry.lastView()
			require.GreaterOrEqual(t, serving(seen, ""), 2, "capacity was lost")
			if stopping.IsZero() && f.stops(drained) {
				stopping = time.Now()
			}
			if !stopping.IsZero() && time.Since(stopping) > 2*time.Second {
				require.Zero(t, serving(seen, drained))
			}
			if time.Since(began) > 2*time.Second {
				require.Empty(t, seen.Services)
			}
		}
		require.False(t, stopping.IsZero(), "the replica never stopped")
		f.call(&message.Drain{Host: drained, Undo: true})
	})
}

// serving counts the replicas that serve, those with a member h if one is given.
func serving(v view.View, h host.ID) int {
	n := 0
	for _, r := range v.Routes {
		if r.Replica.State == replica.StateServing && (h == "" || r.Replica.Has(h)) {
			n++
		}
	}
	return n
}

// stops reports whether no replica with that host may take work, by the log.
func (f *testFleet) stops(h host.ID) bool {
	stops := true
	f.servers[f.leader()].store.read(func(m *state.Machine) {
		for _, r := range m.Replicas() {
			stops = stops && (!r.Has(h) || r.State == replica.StateDraining)
		}
	})
	return stops
}

// TestPlannedStopOfTheLeader: claims go on while each control host in turn is stopped
// in good order and started again; none is lost or left uncertain, and no daemon's
// lease lapses.
func TestPlannedStopOfTheLeader(t *testing.T) {
	runFleet(t, func(t *testing.T, f *testFleet) {
		f.apply(defaultConfig(), 0, "change-0")
		agent, entry := f.agent("fabric-1", "a1", 1), f.entry("e1")
		pass(reach)
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
				claims.Add(f.claimed(entry, fmt.Sprint("key-", n)))
			}
		})
		for range 3 {
			leader := f.leader()
			ctx, cancel := context.WithTimeout(f.ctx, reach)
			require.NoError(t, f.servers[leader].Shutdown(ctx))
			cancel()
			f.servers[leader].stop()
			f.startControl(leader)
			for range 50 {
				pass(reach / 50)
				require.True(t, agent.session.Valid())
			}
		}
		close(stop)
		<-ended
		require.Greater(t, claims.Load(), int64(1000))
	})
}

// claimed makes one claim and returns 1, or ends the test.
func (f *testFleet) claimed(entry *daemon, key string) int64 {
	ctx, cancel := context.WithTimeout(f.ctx, 2*reach)
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
