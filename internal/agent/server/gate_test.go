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

// TestLossClosesGateWithinBound brings each loss about in the middle of a long
// generation. The generation ends as unknown and new work is refused, both within
// the bound.
func TestLossClosesGateWithinBound(t *testing.T) {
	const slack = 50 * time.Millisecond // network and scheduling
	tests := []struct {
		name  string
		lose  func(f *fleet)
		bound time.Duration
		code  string
	}{
		{"member agent killed", func(f *fleet) { f.agents["host-2"].stop() }, gate.HeartbeatTimeout, gate.CodeMemberLost},
		{"one-way cut from member", func(f *fleet) { f.network.Cut("10.0.1.2", "10.0.1.1") }, gate.HeartbeatTimeout, gate.CodeMemberLost},
		{"one-way cut to member", func(f *fleet) { f.network.Cut("10.0.1.1", "10.0.1.2") }, gate.HeartbeatTimeout + gate.HeartbeatInterval, gate.CodeMemberLost},
		{"member's lease lapses", func(f *fleet) { f.control.silence("host-2", true) }, lease.HolderDuration(testTTL) + gate.HeartbeatTimeout, gate.CodeMemberLost},
		{"member's engine crashes", func(f *fleet) { f.agents["host-2"].engine.Crash() }, pollInterval + gate.HeartbeatTimeout, gate.CodeMemberLost},
		{"head's lease lapses", func(f *fleet) { f.control.silence("host-1", true) }, lease.HolderDuration(testTTL), gate.CodeLeaseLapsed},
		{"head's engine hangs", func(f *fleet) { f.agents["host-1"].engine.Freeze() }, pollInterval + healthTimeout, gate.CodeEngineUnhealthy},
		{"head's engine crashes", func(f *fleet) { f.agents["host-1"].engine.Crash() }, 0, codeCrashed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				head := f.agent(1, engine.Options{})
				f.agent(2, engine.Options{})
				r := f.replica("r-1", 1, 2)
				d := generation(head, r, "a long report", 10_000)
				stream := f.open(head, d)
				pass(777 * time.Millisecond)
				lost := time.Now()
				test.lose(f)
				got := f.collect(stream, d)
				took := got.endedAt.Sub(lost)
				t.Log("from loss to closed gate:", took)
				require.Equal(t, request.OutcomeUnknown, got.end.Outcome)
				require.Equal(t, test.code, got.end.Code)
				require.LessOrEqual(t, took, test.bound+slack)
				require.NotNil(t, f.do(head, generation(head, r, "more", 1)).refused)
			})
		})
	}
}

// TestOldFenceNeverReachesEngine offers an old order to agents beside each kind of
// engine.
func TestOldFenceNeverReachesEngine(t *testing.T) {
	for _, opts := range []engine.Options{{}, {Fences: true}, {OrdererToken: "token"}, {Fences: true, OrdererToken: "token"}} {
		inFleet(t, func(f *fleet) {
			m := f.agent(1, opts)
			f.replica("r-2", 7, 1)
			old, addresses := f.group("r-1", 6, 1)
			for _, action := range []message.OrderAction{message.OrderLoad, message.OrderRelease, message.OrderDrain} {
				require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: action, Replica: old, Addresses: addresses}))
			}
			pass(time.Second)
			require.Len(t, m.engine.Orders(), 1)
			require.Len(t, f.control.dropped(), 3)
			place, _, _ := m.server.gate.AssignedReplica()
			require.Equal(t, replica.ID("r-2"), place.ID)
		})
	}
}

// TestEngineThatChecksOrdererRefusesOthers shows that the token matters.
func TestEngineThatChecksOrdererRefusesOthers(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := &member{engine: engine.New(engine.Options{OrdererToken: "token"})}
		f.start(1, m, "another")
		r, addresses := f.group("r-1", 1, 1)
		require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: message.OrderLoad, Replica: r, Addresses: addresses}))
		pass(time.Second)
		require.Empty(t, m.engine.Orders())
		require.Len(t, f.control.dropped(), 1)
	})
}

// TestRestartedAgentLearnsFenceFloor restarts an agent whose engine ignores
// fences: the floor comes from control.
func TestRestartedAgentLearnsFenceFloor(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		f.replica("r-2", 7, 1)
		f.control.floor("host-1", 7)
		f.restart(1)
		old, addresses := f.group("r-1", 6, 1)
		require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: message.OrderLoad, Replica: old, Addresses: addresses}))
		pass(time.Second)
		require.Len(t, m.engine.Orders(), 1)
	})
}

// stall is a transport that holds its first order for a time and then loses it, as
// if the process had been paused between its check and the call.
type stall struct {
	http.RoundTripper
	held time.Duration
	done bool
}

func (s *stall) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost && !s.done {
		s.done = true
		pass(s.held)
		return nil, context.DeadlineExceeded
	}
	return s.RoundTripper.RoundTrip(r)
}

// TestPausedAgentDropsOrderWhenItWakes lets the lease lapse while an order is being
// passed. The retry after it must not reach the engine, fencing or not.
func TestPausedAgentDropsOrderWhenItWakes(t *testing.T) {
	for _, fences := range []bool{true, false} {
		inFleet(t, func(f *fleet) {
			f.wrap = func(inner http.RoundTripper) http.RoundTripper { return &stall{RoundTripper: inner, held: 2 * testTTL} }
			m := f.agent(1, engine.Options{Fences: fences})
			r, addresses := f.group("r-1", 1, 1)
			require.NoError(t, f.control.order("host-1", &message.Order{ID: 1, Action: message.OrderLoad, Replica: r, Addresses: addresses}))
			f.control.silence("host-1", true)
			pass(3 * testTTL)
			require.Empty(t, m.engine.Orders())
			require.False(t, m.server.accepts(r))
		})
	}
}

// TestSupersededAgentStops has another agent take the host over.
func TestSupersededAgentStops(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		r := f.replica("r-1", 1, 1)
		d := generation(m, r, "a long report", 10_000)
		stream := f.open(m, d)
		pass(time.Second)
		m.ends = ErrSuperseded{Reason: "another incarnation"}
		require.NoError(t, f.control.push("host-1", &message.Failure{Code: codeSuperseded, Reason: "another incarnation"}))
		require.Equal(t, codeSuperseded, f.collect(stream, d).end.Code)
		pass(2 * supersededWait)
		require.False(t, m.server.Ready())
		require.False(t, m.server.accepts(r))
	})
}

// TestRolesAreChecked sends frames under the wrong certificate role.
func TestRolesAreChecked(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		r := f.replica("r-1", 1, 1)
		for role, sent := range map[host.Role]message.Message{
			host.RoleAgent:   generation(m, r, "p", 1),
			host.RoleEntry:   &message.Beat{Replica: r.ID, Fence: r.Fence, Host: "host-2"},
			host.RoleControl: &message.Ask{Tombstone: true},
		} {
			answer := f.as(role, m, sent)
			failure, ok := answer.(*message.Failure)
			require.True(t, ok, "%s got %T", role, answer)
			require.Equal(t, codeNotAllowed, failure.Code)
		}
		require.Equal(t, uint64(3), m.server.Rejected())
	})
}
