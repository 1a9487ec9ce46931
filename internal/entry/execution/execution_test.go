package execution

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/retry"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

var update = flag.Bool("update", false, "write the golden files anew")

// fixedRetrier allows a number of retries.
type fixedRetrier struct{ left int }

func (r *fixedRetrier) Decide(time.Time, retry.Failure) retry.Decision {
	if r.left--; r.left < 0 {
		return retry.GiveUp{}
	}
	return retry.Retry{Delay: 50 * time.Millisecond}
}

var (
	start   = time.Unix(1000, 0)
	self    = request.ID{1}
	other   = request.ID{2}
	answer  = &message.Answer{Status: 201, Body: []byte("done")}
	granted = Claimed{Result: message.ClaimItemResult{State: message.ClaimGranted}}
	// refusing is the claim of a refusal in progress.
	refusing = Claimed{Result: message.ClaimItemResult{State: message.ClaimRunning, Request: other, Attempt: 1}}
	running  = Claimed{Result: message.ClaimItemResult{
		State: message.ClaimRunning, Request: other, Attempt: 1, Host: "h9", Incarnation: 9, Address: "127.0.0.9:1",
	}}
)

func to(name string) Routed {
	return Routed{Target: Target{Host: host.ID("h" + name), Address: name, Incarnation: 1}}
}

func unreached() []Event { return []Event{Asked{}, Waited{}, Asked{}, Waited{}, Asked{}} }

func reached(state message.AskState, a *message.Answer) Asked {
	return Asked{Reached: true, State: state, Answer: a}
}

// sessions are whole executions: what happened, step by step. The golden file of
// each holds what was done and what the caller was told.
var sessions = map[string]struct {
	once    bool
	retries int
	events  []Event
}{
	"idempotent_complete":         {false, 1, []Event{to("a"), Ended{Kind: EndComplete}}},
	"idempotent_resumes":          {false, 1, []Event{to("a"), Ended{Kind: EndLost, Code: CodeEngineCrashed}, Waited{}, to("b"), Ended{Kind: EndComplete}}},
	"idempotent_may_have_run":     {false, 1, []Event{to("a"), Ended{Kind: EndLost, Code: CodeEngineCrashed}, Waited{}, to("b"), Ended{Kind: EndNotRun, Code: "draining"}}},
	"idempotent_never_handed":     {false, 1, []Event{to("a"), Ended{Kind: EndNotRun, Code: CodeAgentUnreachable}, Waited{}, to("b"), Ended{Kind: EndNotRun, Code: CodeAgentUnreachable}}},
	"no_replica":                  {false, 0, []Event{Unroutable{Code: CodeNoReplica, RetryAfter: time.Second}}},
	"once_complete":               {true, 1, []Event{to("a"), granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"once_control_lost":           {true, 1, []Event{to("a"), ClaimFailed{Reason: "no leader"}}},
	"once_refused_then_complete":  {true, 1, []Event{to("a"), granted, Ended{Kind: EndNotRun, Code: "draining"}, Waited{}, to("b"), granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"once_refused_frees_key":      {true, 0, []Event{to("a"), granted, Ended{Kind: EndNotRun, Code: "draining"}, Settled{}}},
	"once_engine_crashed":         {true, 9, []Event{to("a"), granted, Ended{Kind: EndLost, Code: CodeEngineCrashed, Attested: true}, Settled{}}},
	"once_link_cut_agent_knows":   {true, 9, []Event{to("a"), granted, Ended{Kind: EndLost, Code: CodeAgentUnreachable}, reached(message.AskComplete, answer), Settled{}}},
	"once_link_cut_not_run":       {true, 1, []Event{to("a"), granted, Ended{Kind: EndLost, Code: CodeAgentUnreachable}, reached(message.AskNotRun, nil), Waited{}, to("b"), granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"once_agent_memory_lost":      {true, 9, []Event{to("a"), granted, Ended{Kind: EndLost, Code: CodeAgentUnreachable}, reached(message.AskUnknown, nil), Settled{}}},
	"once_agent_unreachable":      {true, 9, append([]Event{to("a"), granted, Ended{Kind: EndLost, Code: CodeAgentUnreachable}}, unreached()...)},
	"resend_waits_for_answer":     {true, 9, []Event{to("a"), running, reached(message.AskRunning, nil), Waited{}, reached(message.AskComplete, answer), Settled{}}},
	"resend_supersedes_tombstone": {true, 1, []Event{to("a"), running, reached(message.AskNotRun, nil), Waited{}, to("a"), granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"resend_loses_supersede_race": {true, 1, []Event{to("a"), running, reached(message.AskNotRun, nil), Waited{}, to("a"), running, reached(message.AskComplete, answer), Settled{}}},
	"resend_meets_answer":         {true, 1, []Event{to("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimComplete, Answer: answer}}}},
	"resend_meets_dropped_answer": {true, 1, []Event{to("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimComplete, Answer: &message.Answer{Dropped: true}}}}},
	"resend_meets_unknown":        {true, 1, []Event{to("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimUnknown}}}},
	"same_key_other_body":         {true, 1, []Event{to("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimMismatch}}}},
	"ledger_full":                 {true, 1, []Event{to("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimFull}}}},
}

// keyed are sessions under a key of the caller's own. A refused one never gets to an
// endpoint: it ends with its refusal unless an earlier sending is known.
var keyed = map[string]struct {
	refused bool
	events  []Event
}{
	"refused_key_unused":        {true, []Event{granted, Settled{}}},
	"refused_key_complete":      {true, []Event{Claimed{Result: message.ClaimItemResult{State: message.ClaimComplete, Answer: answer}}}},
	"refused_key_unknown":       {true, []Event{Claimed{Result: message.ClaimItemResult{State: message.ClaimUnknown}}}},
	"refused_key_running":       {true, []Event{running, reached(message.AskComplete, answer), Settled{}}},
	"refused_without_control":   {true, []Event{ClaimFailed{}}},
	"unroutable_key_unused":     {false, []Event{Unroutable{Code: CodeNoReplica}, granted, Settled{}}},
	"unroutable_key_unknown":    {false, []Event{Unroutable{Code: CodeNoReplica}, Claimed{Result: message.ClaimItemResult{State: message.ClaimUnknown}}}},
	"resend_meets_refusal":      {false, []Event{to("a"), refusing, granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"two_refusals_at_once":      {true, []Event{refusing, granted, Settled{}}},
	"unroutable_after_an_agent": {false, []Event{to("a"), running, reached(message.AskNotRun, nil), Settled{}}},
}

func TestKeyedSessions(t *testing.T) {
	for name, s := range keyed {
		t.Run(name, func(t *testing.T) {
			plan := Spec{
				Request: self, Team: "jordan", Deadline: start.Add(time.Minute),
				AtMostOnce: true, Key: "tag-17", BodyHash: []byte{7}, CallerKey: true,
			}
			m := New(plan, &fixedRetrier{})
			if s.refused {
				m = NewRefusal(plan, &fixedRetrier{}, Result{Outcome: request.OutcomeNotRun, Code: "team_requests"})
			}
			play(t, name, m, s.events)
		})
	}
}

func TestSessions(t *testing.T) {
	for name, s := range sessions {
		t.Run(name, func(t *testing.T) {
			m := New(Spec{
				Request: self, Team: "jordan", Deadline: start.Add(time.Minute),
				AtMostOnce: s.once, Key: "tag-17", BodyHash: []byte{7},
			}, &fixedRetrier{left: s.retries})
			play(t, name, m, s.events)
		})
	}
}

// play gives the machine its events and compares what it did with the golden file.
func play(t *testing.T, name string, m *Machine, events []Event) {
	t.Helper()
	var out strings.Builder
	a := m.Start()
	fmt.Fprintln(&out, describe(a))
	for _, e := range events {
		require.NotEqual(t, "execution.Finish", fmt.Sprintf("%T", a), "events are left over")
		a = m.Step(start, e)
		fmt.Fprintf(&out, "%T\n%s\n", e, describe(a))
	}
	require.IsType(t, Finish{}, a)
	compare(t, filepath.Join("testdata", name+".golden"), out.String())
}

func compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

func describe(a Action) string {
	switch a := a.(type) {
	case Route:
		return fmt.Sprintf("  route exclude=%v", len(a.Exclude))
	case Claim:
		line := fmt.Sprintf("  claim attempt=%d at=%s", a.Item.Attempt, a.Item.Address)
		if s := a.Item.Supersedes; s != nil {
			line += fmt.Sprintf(" supersedes=%d/%d", s.Request[0], s.Attempt)
		}
		return line
	case Dispatch:
		return fmt.Sprintf("  dispatch attempt=%d to=%s", a.Attempt, a.Target.Address)
	case Ask:
		return fmt.Sprintf("  ask %s about=%d/%d", a.Address, a.Message.Ref.Request[0], a.Message.Ref.Attempt)
	case Settle:
		return fmt.Sprintf("  settle %d/%d %s answer=%t", a.Item.Request[0], a.Item.Attempt, a.Item.Outcome, a.Item.Answer != nil)
	case Wait:
		return fmt.Sprintf("  wait %s", a.For)
	case Finish:
		r := a.Result
		return fmt.Sprintf("  finish %s %s retry_after=%s answer=%t", r.Outcome, r.Code, r.RetryAfter, r.Answer != nil)
	}
	return fmt.Sprintf("  %T", a)
}

func TestDeadlineEndsAtOnce(t *testing.T) {
	for _, once := range []bool{false, true} {
		m := New(Spec{Request: self, Deadline: start, AtMostOnce: once}, &fixedRetrier{left: 9})
		m.Step(start, to("a"))
		if once {
			m.Step(start, granted)
		}
		a := m.Step(start, Ended{Kind: EndLost, Code: CodeAgentUnreachable})
		require.IsType(t, Finish{}, a)
		require.Equal(t, request.OutcomeUnknown, a.(Finish).Result.Outcome)
		require.Equal(t, CodeDeadlineExceeded, a.(Finish).Result.Code)
		require.Positive(t, a.(Finish).Result.RetryAfter)
	}
}
