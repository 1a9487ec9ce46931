package client

import (
	"context"
	"io"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/session"
)

// scriptedCaller returns the given answers or errors in order and records the messages sent.
type scriptedCaller struct {
	answers []any
	sent    []message.Message
}

func (c *scriptedCaller) Call(_ context.Context, m message.Message) (message.Message, error) {
	c.sent = append(c.sent, m)
	next := c.answers[0]
	c.answers = c.answers[1:]
	if err, failed := next.(error); failed {
		return nil, err
	}
	return next.(message.Message), nil
}

// TestApplyResendsAndMapsErrors checks the error for each answer, and that a change whose answer
// was lost is sent again unchanged.
func TestApplyResendsAndMapsErrors(t *testing.T) {
	lost := session.ErrUncertain{Cause: io.EOF}
	accepted := &message.ApplyResult{Accepted: true, Revision: 4}
	for _, c := range []struct {
		name    string
		answers []any
		sends   int
		check   func(error) bool
	}{
		{"accepted", []any{accepted}, 1, func(err error) bool { return err == nil }},
		{"answer lost twice", []any{lost, lost, accepted}, 3, func(err error) bool { return err == nil }},
		{"conflict", []any{&message.ApplyResult{Revision: 4, Conflict: "change x"}}, 1, IsErrConflict},
		{"problems", []any{&message.ApplyResult{Problems: []string{"p"}}}, 1, IsErrInvalid},
		{"refused", []any{session.ErrRefused{Code: "forbidden"}}, 1, session.IsErrRefused},
	} {
		caller := &scriptedCaller{answers: c.answers}
		_, err := Client{Caller: caller}.Apply(t.Context(), Change{ChangeID: "x", Base: 3})
		require.True(t, c.check(err), "%s: %v", c.name, err)
		require.Len(t, caller.sent, c.sends, c.name)
		for _, m := range caller.sent {
			require.Equal(t, &message.ApplyConfig{ChangeID: "x", Base: 3}, m, c.name)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Client{Caller: &scriptedCaller{answers: []any{lost}}}.Apply(ctx, Change{ChangeID: "x"})
	require.True(t, IsErrUncertain(err), "%v", err)
	require.ErrorContains(t, err, "--change-id x")
}

func ExamplePrinter_Status() {
	_ = Printer{Out: os.Stdout}.Status(&message.StatusResult{
		Leader: "10.0.0.1:7000", Term: 3, Revision: 12,
		Control:     []message.ControlStatus{{Host: "c1", Address: "10.0.0.1:7000", State: "leader", MatchIndex: 80}},
		Deployments: []message.DeploymentStatus{{Name: "drafting", Wanted: 2, Serving: 1, WaitReasons: []string{"no_spare"}}},
		Replicas: []replica.Replica{{
			ID: "drafting-7", Fence: 7, State: replica.StateServing, Hosts: []host.ID{"a1", "a2"},
			Spec: replica.Spec{Model: "drafter", Version: "1"},
		}},
		Hosts: []message.HostStatus{{
			Info: host.Info{ID: "a1", FailureDomain: "f1", FabricDomain: "rack-1"}, Role: host.RoleAgent,
			LeaseMs: 2000, Healthy: true, Revision: 12, Replica: "drafting-7",
		}},
	})
	// Output:
	// leader 10.0.0.1:7000  term 3  revision 12
	//
	// CONTROL HOST  ADDRESS        STATE   MATCH
	// c1            10.0.0.1:7000  leader  80
	//
	// DEPLOYMENT  WANTED  SERVING  LOADING  WAITS FOR
	// drafting    2       1        0        no_spare
	//
	// REPLICA     STATE    FENCE  VERSION    HOSTS
	// drafting-7  serving  7      drafter/1  a1,a2
	//
	// HOST  ROLE   FAILURE DOMAIN  FABRIC DOMAIN  STATE    REVISION  REPLICA
	// a1    agent  f1              rack-1         healthy  12        drafting-7
}
