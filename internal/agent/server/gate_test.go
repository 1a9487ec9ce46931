package server

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/agent/gate"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/lease"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/engine"
)

// TestLossClosesGateWithinBound causes each kind of loss during a long generation.
// The generation must end with outcome unknown and new work be refused within the
// bound.
func TestLossClosesGateWithinBound(t *testing.T) {
	const slack = 50 * time.Millisecond // For the network and scheduling.
	tests := []struct {
		name  string
		lose  func(f *fixture)
		bound time.Duration
		code  string
	}{
		{"member agent killed", func(f *fixture) { f.agents["host-2"].stop() }, gate.HeartbeatTimeout, gate.CodeMemberLost},
		{"one-way partition from member", func(f *fixture) { f.network.Cut("10.0.1.2", "10.0.1.1") }, gate.HeartbeatTimeout, gate.CodeMemberLost},
		{"one-way partition to member", func(f *fixture) { f.network.Cut("10.0.1.1", "10.0.1.2") }, gate.HeartbeatTimeout + gate.HeartbeatInterval, gate.CodeMemberLost},
		{"member's lease lapses", func(f *fixture) { f.control.setSilent("host-2", true) }, lease.HolderDuration(testTTL) + gate.HeartbeatTimeout, gate.CodeMemberLost},
		{"member's engine crashes", func(f *fixture) { f.agents["host-2"].engine.Crash() }, pollInterval + gate.HeartbeatTimeout, gate.CodeMemberLost},
		{"head's lease lapses", func(f *fixture) { f.control.setSilent("host-1", true) }, lease.HolderDuration(testTTL), gate.CodeLeaseLapsed},
		{"head's engine hangs", func(f *fixture) { f.agents["host-1"].engine.Freeze() }, pollInterval + healthTimeout, gate.CodeEngineUnhealthy},
		{"head's engine crashes", func(f *fixture) { f.agents["host-1"].engine.Crash() }, 0, codeEngineCrashed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				head := f.agent(1, engine.Options{})
				f.agent(2, engine.Options{})
				r := f.replica("r-1", 1, 2)
				d := generationDispatch(head, r, "a long report", 10_000)
				stream := f.open(head, d)
				sleep(777 * time.Millisecond)
				lost := time.Now()
				test.lose(f)
				got := f.collect(stream, d)
				took := got.endedAt.Sub(lost)
				t.Log("from loss to closed gate:", took)
				require.Equal(t, request.OutcomeUnknown, got.end.Outcome)
				require.Equal(t, test.code, got.end.Code)
				require.LessOrEqual(t, took, test.bound+slack)
				require.NotNil(t, f.dispatch(head, generationDispatch(head, r, "more", 1)).refused)
			})
		})
	}
}

// TestOrderWithStaleFenceNeverReachesEngine sends out-of-date orders to agents with
// each kind of engine.
func TestOrderWithStaleFenceNeverReachesEngine(t *testing.T) {
	for _, opts := range []engine.Options{{}, {Fences: true}, {OrdererToken: "token"}, {Fences: true, OrdererToken: "token"}} {
		withFixture(t, func(f *fixture) {
			agent := f.agent(1, opts)
			f.replica("r-2", 7, 1)
			old, addresses := f.replicaSpec("r-1", 6, 1)
			for _, action := range []message.OrderAction{message.OrderLoad, message.OrderRelease, message.OrderDrain} {
				require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: action, Replica: old, Addresses: addresses}))
			}
			sleep(time.Second)
			require.Len(t, agent.engine.Orders(), 1)
			require.Len(t, f.control.failedOrders(), 3)
			assigned, _, _ := agent.server.gate.AssignedReplica()
			require.Equal(t, replica.ID("r-2"), assigned.ID)
		})
	}
}

// TestEngineRefusesWrongOrdererToken sends an order with a token that the engine does
// not accept.
func TestEngineRefusesWrongOrdererToken(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := &agentProcess{engine: engine.New(engine.Options{OrdererToken: "token"})}
		f.start(1, agent, "another")
		r, addresses := f.replicaSpec("r-1", 1, 1)
		require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: message.OrderLoad, Replica: r, Addresses: addresses}))
		sleep(time.Second)
		require.Empty(t, agent.engine.Orders())
		require.Len(t, f.control.failedOrders(), 1)
	})
}

// TestRestartedAgentLearnsFenceFloor restarts an agent whose engine does not check
// fences. Only the floor from control lets the new process refuse an old order.
func TestRestartedAgentLearnsFenceFloor(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		f.replica("r-2", 7, 1)
		f.control.setFenceFloor("host-1", 7)
		f.restart(1)
		old, addresses := f.replicaSpec("r-1", 6, 1)
		require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: message.OrderLoad, Replica: old, Addresses: addresses}))
		sleep(time.Second)
		require.Len(t, agent.engine.Orders(), 1)
	})
}

// stallingTransport delays the first POST request and then fails it without sending
// it, as if the process had been paused between its check and the call.
type stallingTransport struct {
	http.RoundTripper
	delay time.Duration
	done  bool
}

func (s *stallingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost && !s.done {
		s.done = true
		sleep(s.delay)
		return nil, context.DeadlineExceeded
	}
	return s.RoundTripper.RoundTrip(r)
}

// TestPausedAgentDropsOrderAfterLeaseExpiry lets the lease lapse while an order is
// being sent to the engine. The retry must not reach the engine, whether or not the
// engine checks fences.
func TestPausedAgentDropsOrderAfterLeaseExpiry(t *testing.T) {
	for _, fences := range []bool{true, false} {
		withFixture(t, func(f *fixture) {
			f.wrapTransport = func(inner http.RoundTripper) http.RoundTripper {
				return &stallingTransport{RoundTripper: inner, delay: 2 * testTTL}
			}
			agent := f.agent(1, engine.Options{Fences: fences})
			r, addresses := f.replicaSpec("r-1", 1, 1)
			require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: message.OrderLoad, Replica: r, Addresses: addresses}))
			f.control.setSilent("host-1", true)
			sleep(3 * testTTL)
			require.Empty(t, agent.engine.Orders())
			require.False(t, agent.server.accepts(r))
		})
	}
}

// TestSupersededAgentStops notifies an agent that another one has taken over its host.
func TestSupersededAgentStops(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		r := f.replica("r-1", 1, 1)
		d := generationDispatch(agent, r, "a long report", 10_000)
		stream := f.open(agent, d)
		sleep(time.Second)
		agent.wantErr = ErrSuperseded{Reason: "another incarnation"}
		require.NoError(t, f.control.push("host-1", &message.Failure{Code: codeSuperseded, Reason: "another incarnation"}))
		require.Equal(t, codeSuperseded, f.collect(stream, d).end.Code)
		sleep(2 * supersededTimeout)
		require.False(t, agent.server.Ready())
		require.False(t, agent.server.accepts(r))
	})
}

// TestFramesFromWrongRoleAreRejected sends frames with a certificate of a role that
// may not send them.
func TestFramesFromWrongRoleAreRejected(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		r := f.replica("r-1", 1, 1)
		for role, sent := range map[host.Role]message.Message{
			host.RoleAgent:   generationDispatch(agent, r, "p", 1),
			host.RoleEntry:   &message.Beat{Replica: r.ID, Fence: r.Fence, Host: "host-2"},
			host.RoleControl: &message.Ask{Tombstone: true},
		} {
			reply := f.sendAs(role, agent, sent)
			failure, ok := reply.(*message.Failure)
			require.True(t, ok, "%s got %T", role, reply)
			require.Equal(t, codeNotAllowed, failure.Code)
		}
		require.Equal(t, uint64(3), agent.server.Rejected())
	})
}
