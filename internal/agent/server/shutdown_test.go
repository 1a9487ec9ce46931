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

// TestShutdownCutsNothing stops the head, then a member, in the middle of a
// generation: it ends whole, and new work is refused from the first moment on.
func TestShutdownCutsNothing(t *testing.T) {
	for leaving, code := range map[host.ID]string{"host-1": gate.CodeDraining, "host-2": gate.CodeMemberDraining} {
		t.Run(string(leaving), func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				head := f.agent(1, engine.Options{})
				f.agent(2, engine.Options{})
				r := f.replica("r-1", 1, 2)
				d := generation(head, r, "a long report", 500)
				stream := f.open(head, d)
				pass(time.Second)
				stopped := make(chan error, 1)
				go func() { stopped <- f.agents[leaving].server.Shutdown(f.ctx) }()
				pass(2 * gate.HeartbeatInterval)
				refused := f.do(head, generation(head, r, "more", 1)).refused
				require.NotNil(t, refused)
				require.Equal(t, code, refused.Code)
				got := f.collect(stream, d)
				require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
				require.NoError(t, <-stopped)
				orders := f.agents[leaving].engine.Orders()
				require.Equal(t, "release", orders[len(orders)-1].Action)
				pass(time.Second)
				require.Equal(t, []message.Goodbye{{Draining: true}, {}}, f.control.farewells())
			})
		})
	}
}

// TestReleaseWaitsForWorkInFlight drains, then releases, a replica that runs one.
func TestReleaseWaitsForWorkInFlight(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		r := f.replica("r-1", 1, 1)
		d := generation(m, r, "a long report", 500)
		stream := f.open(m, d)
		pass(time.Second)
		for i, action := range []message.OrderAction{message.OrderDrain, message.OrderRelease} {
			require.NoError(t, f.control.order("host-1", &message.Order{ID: uint64(i + 2), Action: action, Replica: r}))
		}
		pass(100 * time.Millisecond)
		require.Equal(t, gate.CodeDraining, f.do(m, generation(m, r, "more", 1)).refused.Code)
		require.Equal(t, request.OutcomeComplete, f.collect(stream, d).end.Outcome)
		pass(time.Second)
		require.Len(t, m.engine.Orders(), 2)
		again := &message.Order{ID: 9, Action: message.OrderLoad, Replica: r}
		require.NoError(t, f.control.order("host-1", again))
		pass(time.Second)
		require.Len(t, m.engine.Orders(), 2, "a late resend must not bring the replica back")
	})
}

// TestReleasedMemberWaitsForItsHead releases a member alone, in the middle of a
// generation.
func TestReleasedMemberWaitsForItsHead(t *testing.T) {
	inFleet(t, func(f *fleet) {
		head := f.agent(1, engine.Options{})
		member := f.agent(2, engine.Options{})
		r := f.replica("r-1", 1, 2)
		d := generation(head, r, "a long report", 500)
		stream := f.open(head, d)
		pass(time.Second)
		require.NoError(t, f.control.order("host-2", &message.Order{ID: 2, Action: message.OrderRelease, Replica: r}))
		got := f.collect(stream, d)
		require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
		pass(2 * gate.HeartbeatTimeout)
		require.Len(t, member.engine.Orders(), 2)
		require.False(t, head.server.accepts(r))
	})
}

// TestShutdownFinishesSignoff stops the agent while the service runs a call.
func TestShutdownFinishesSignoff(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		m.service.SetFailure(service.FailureHang)
		d := signoff(m, "badge")
		stream := f.open(m, d)
		pass(time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- m.server.Shutdown(f.ctx) }()
		pass(time.Minute)
		m.service.ReleaseHanging()
		got := f.collect(stream, d)
		require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
		require.NoError(t, <-stopped)
	})
}

// TestFirstOrderWaitsForFirstGrant gives an order before the lease: it is carried
// out as soon as the lease is there.
func TestFirstOrderWaitsForFirstGrant(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.control.silence("host-1", true)
		m := f.agent(1, engine.Options{})
		r, addresses := f.group("r-1", 1, 1)
		require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: message.OrderLoad, Replica: r, Addresses: addresses}))
		pass(leaseWait / 2)
		require.Empty(t, m.engine.Orders())
		f.control.silence("host-1", false)
		pass(leaseWait)
		require.True(t, m.server.accepts(r))
	})
}
