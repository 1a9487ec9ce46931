package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/standin/service"
)

// TestShutdownCompletesGenerationInProgress shuts down the head or another member
// during a generation. The generation must complete, and new work must be refused
// at once.
func TestShutdownCompletesGenerationInProgress(t *testing.T) {
	for leaving, code := range map[host.ID]string{"host-1": gate.CodeDraining, "host-2": gate.CodeMemberDraining} {
		t.Run(string(leaving), func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				head := f.agent(1, engine.Options{})
				f.agent(2, engine.Options{})
				r := f.replica("r-1", 1, 2)
				d := generationDispatch(head, r, "a long report", 500)
				stream := f.open(head, d)
				sleep(time.Second)
				stopped := make(chan error, 1)
				go func() { stopped <- f.agents[leaving].server.Shutdown(f.ctx) }()
				sleep(2 * gate.HeartbeatInterval)
				refused := f.dispatch(head, generationDispatch(head, r, "more", 1)).refused
				require.NotNil(t, refused)
				require.Equal(t, code, refused.Code)
				got := f.collect(stream, d)
				require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
				require.NoError(t, <-stopped)
				orders := f.agents[leaving].engine.Orders()
				require.Equal(t, "release", orders[len(orders)-1].Action)
				sleep(time.Second)
				require.Equal(t, []message.Goodbye{{Draining: true}, {}}, f.control.receivedGoodbyes())
			})
		})
	}
}

// TestReleaseWaitsForGenerationInProgress drains and then releases a replica that
// runs a generation. A late load order must not load it again.
func TestReleaseWaitsForGenerationInProgress(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		r := f.replica("r-1", 1, 1)
		d := generationDispatch(agent, r, "a long report", 500)
		stream := f.open(agent, d)
		sleep(time.Second)
		for i, action := range []message.OrderAction{message.OrderDrain, message.OrderRelease} {
			require.NoError(t, f.control.order("host-1", &message.Order{ID: uint64(i + 2), Action: action, Replica: r}))
		}
		sleep(100 * time.Millisecond)
		require.Equal(t, gate.CodeDraining, f.dispatch(agent, generationDispatch(agent, r, "more", 1)).refused.Code)
		require.Equal(t, request.OutcomeComplete, f.collect(stream, d).end.Outcome)
		sleep(time.Second)
		require.Len(t, agent.engine.Orders(), 2)
		again := &message.Order{ID: 9, Action: message.OrderLoad, Replica: r}
		require.NoError(t, f.control.order("host-1", again))
		sleep(time.Second)
		require.Len(t, agent.engine.Orders(), 2, "a late order must not load the replica again")
	})
}

// TestReleasedMemberWaitsForIdleHead releases only a member, during a generation at
// the head.
func TestReleasedMemberWaitsForIdleHead(t *testing.T) {
	withFixture(t, func(f *fixture) {
		head := f.agent(1, engine.Options{})
		member := f.agent(2, engine.Options{})
		r := f.replica("r-1", 1, 2)
		d := generationDispatch(head, r, "a long report", 500)
		stream := f.open(head, d)
		sleep(time.Second)
		require.NoError(t, f.control.order("host-2", &message.Order{ID: 2, Action: message.OrderRelease, Replica: r}))
		got := f.collect(stream, d)
		require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
		sleep(2 * gate.HeartbeatTimeout)
		require.Len(t, member.engine.Orders(), 2)
		require.False(t, head.server.accepts(r))
	})
}

// TestShutdownCompletesServiceCall shuts down the agent while the service runs a
// call.
func TestShutdownCompletesServiceCall(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		agent.service.SetFailure(service.FailureHang)
		d := signoffDispatch(agent, "badge")
		stream := f.open(agent, d)
		sleep(time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- agent.server.Shutdown(f.ctx) }()
		sleep(time.Minute)
		agent.service.ReleaseHanging()
		got := f.collect(stream, d)
		require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
		require.NoError(t, <-stopped)
	})
}

// TestStoppingAgentRefusesLateDispatch sends an idle agent dispatches for 1.5 s after the start of its
// planned stop, as an entry does that was silent and does not know of the stop yet. Each must
// be refused, which proves that it did not run.
func TestStoppingAgentRefusesLateDispatch(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		require.Equal(t, request.OutcomeComplete, f.dispatch(agent, signoffDispatch(agent, "badge")).end.Outcome)
		stopped := make(chan error, 1)
		go func() { stopped <- agent.server.Shutdown(f.ctx) }()
		for range 15 {
			sleep(100 * time.Millisecond)
			refused := f.dispatch(agent, signoffDispatch(agent, "late")).refused
			require.NotNil(t, refused)
			require.Equal(t, gate.CodeDraining, refused.Code)
		}
		require.NoError(t, <-stopped)
		require.Equal(t, 1, agent.service.Counts().Total)
	})
}

// TestFirstOrderWaitsForLease sends an order before the first lease grant. The
// order must be executed once the lease is granted.
func TestFirstOrderWaitsForLease(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.control.setSilent("host-1", true)
		agent := f.agent(1, engine.Options{})
		r, addresses := f.replicaSpec("r-1", 1, 1)
		require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: message.OrderLoad, Replica: r, Addresses: addresses}))
		sleep(firstLeaseTimeout / 2)
		require.Empty(t, agent.engine.Orders())
		f.control.setSilent("host-1", false)
		sleep(firstLeaseTimeout)
		require.True(t, agent.server.accepts(r))
	})
}
