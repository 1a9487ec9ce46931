package execution

import (
	"flag"
	"fmt"
	"math/rand/v2"
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

var update = flag.Bool("update", false, "rewrite the golden files")

// fixedRetrier allows a fixed number of retries.
type fixedRetrier struct{ left int }

func (r *fixedRetrier) Decide(time.Time, retry.Failure) retry.Decision {
	if r.left--; r.left < 0 {
		return retry.GiveUp{}
	}
	return retry.Retry{Delay: 50 * time.Millisecond}
}

var (
	start        = time.Unix(1000, 0)
	ownRequest   = request.ID{1}
	otherRequest = request.ID{2}
	answer       = &message.Answer{Status: 201, Body: []byte("done")}
	granted      = Claimed{Result: message.ClaimItemResult{State: message.ClaimGranted}}
	// refusalInProgress is the claim of a refusal that has not been settled yet.
	refusalInProgress = Claimed{Result: message.ClaimItemResult{State: message.ClaimRunning, Request: otherRequest, Attempt: 1}}
	attemptInProgress = Claimed{Result: message.ClaimItemResult{
		State: message.ClaimRunning, Request: otherRequest, Attempt: 1, Host: "h9", Incarnation: 9, Address: "127.0.0.9:1",
	}}
)

func routedTo(name string) Routed {
	return Routed{Target: Target{Host: host.ID("h" + name), Address: name, Incarnation: 1}}
}

func agentUnreachable() []Event { return []Event{Asked{}, Waited{}, Asked{}, Waited{}, Asked{}} }

func agentAnswers(state message.AskState, a *message.Answer) Asked {
	return Asked{Answered: true, State: state, Answer: a}
}

// traces are the events of whole executions. The golden file of each holds the actions
// and the result of the caller.
var traces = map[string]struct {
	once    bool
	retries int
	events  []Event
}{
	"idempotent_complete":             {false, 1, []Event{routedTo("a"), Ended{Kind: EndComplete}}},
	"idempotent_resumes":              {false, 1, []Event{routedTo("a"), Ended{Kind: EndLost, Code: CodeEngineCrashed}, Waited{}, routedTo("b"), Ended{Kind: EndComplete}}},
	"idempotent_may_have_run":         {false, 1, []Event{routedTo("a"), Ended{Kind: EndLost, Code: CodeEngineCrashed}, Waited{}, routedTo("b"), Ended{Kind: EndNotRun, Code: "draining"}}},
	"idempotent_not_run":              {false, 1, []Event{routedTo("a"), Ended{Kind: EndNotRun, Code: CodeAgentUnreachable}, Waited{}, routedTo("b"), Ended{Kind: EndNotRun, Code: CodeAgentUnreachable}}},
	"no_replica":                      {false, 0, []Event{Unroutable{Code: CodeNoReplica, RetryAfter: time.Second}}},
	"once_complete":                   {true, 1, []Event{routedTo("a"), granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"once_control_lost":               {true, 1, []Event{routedTo("a"), ClaimFailed{Reason: "no leader"}}},
	"once_refused_then_complete":      {true, 1, []Event{routedTo("a"), granted, Ended{Kind: EndNotRun, Code: "draining"}, Waited{}, routedTo("b"), granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"once_refused_releases_key":       {true, 0, []Event{routedTo("a"), granted, Ended{Kind: EndNotRun, Code: "draining"}, Settled{}}},
	"once_engine_crashed":             {true, 9, []Event{routedTo("a"), granted, Ended{Kind: EndLost, Code: CodeEngineCrashed, ReportedUnknown: true}, Settled{}}},
	"once_link_lost_agent_has_answer": {true, 9, []Event{routedTo("a"), granted, Ended{Kind: EndLost, Code: CodeAgentUnreachable}, agentAnswers(message.AskComplete, answer), Settled{}}},
	"once_link_lost_not_run":          {true, 1, []Event{routedTo("a"), granted, Ended{Kind: EndLost, Code: CodeAgentUnreachable}, agentAnswers(message.AskNotRun, nil), Waited{}, routedTo("b"), granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"once_agent_has_no_record":        {true, 9, []Event{routedTo("a"), granted, Ended{Kind: EndLost, Code: CodeAgentUnreachable}, agentAnswers(message.AskUnknown, nil), Settled{}}},
	"once_agent_unreachable":          {true, 9, append([]Event{routedTo("a"), granted, Ended{Kind: EndLost, Code: CodeAgentUnreachable}}, agentUnreachable()...)},
	"resend_waits_for_answer":         {true, 9, []Event{routedTo("a"), attemptInProgress, agentAnswers(message.AskRunning, nil), Waited{}, agentAnswers(message.AskComplete, answer), Settled{}}},
	"resend_supersedes_tombstone":     {true, 1, []Event{routedTo("a"), attemptInProgress, agentAnswers(message.AskNotRun, nil), Waited{}, routedTo("a"), granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"resend_loses_supersede_race":     {true, 1, []Event{routedTo("a"), attemptInProgress, agentAnswers(message.AskNotRun, nil), Waited{}, routedTo("a"), attemptInProgress, agentAnswers(message.AskComplete, answer), Settled{}}},
	"resend_gets_stored_answer":       {true, 1, []Event{routedTo("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimComplete, Answer: answer}}}},
	"resend_finds_answer_dropped":     {true, 1, []Event{routedTo("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimComplete, Answer: &message.Answer{BodyDropped: true}}}}},
	"resend_after_unknown_outcome":    {true, 1, []Event{routedTo("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimUnknown}}}},
	"same_key_other_body":             {true, 1, []Event{routedTo("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimMismatch}}}},
	"ledger_full":                     {true, 1, []Event{routedTo("a"), Claimed{Result: message.ClaimItemResult{State: message.ClaimFull}}}},
}

// callerKeyTraces are executions under a key that the caller chose. A refused request
// never gets to an endpoint: it ends with its refusal unless an earlier submission is
// known.
var callerKeyTraces = map[string]struct {
	refused bool
	events  []Event
}{
	"refused_key_unused":                 {true, []Event{granted, Settled{}}},
	"refused_key_complete":               {true, []Event{Claimed{Result: message.ClaimItemResult{State: message.ClaimComplete, Answer: answer}}}},
	"refused_key_unknown":                {true, []Event{Claimed{Result: message.ClaimItemResult{State: message.ClaimUnknown}}}},
	"refused_key_running":                {true, []Event{attemptInProgress, agentAnswers(message.AskComplete, answer), Settled{}}},
	"refused_without_control":            {true, []Event{ClaimFailed{}}},
	"unroutable_key_unused":              {false, []Event{Unroutable{Code: CodeNoReplica}, granted, Settled{}}},
	"unroutable_key_unknown":             {false, []Event{Unroutable{Code: CodeNoReplica}, Claimed{Result: message.ClaimItemResult{State: message.ClaimUnknown}}}},
	"resend_during_refusal":              {false, []Event{routedTo("a"), refusalInProgress, granted, Ended{Kind: EndComplete, Answer: answer}, Settled{}}},
	"two_refusals_at_once":               {true, []Event{refusalInProgress, granted, Settled{}}},
	"unroutable_after_agent_did_not_run": {false, []Event{routedTo("a"), attemptInProgress, agentAnswers(message.AskNotRun, nil), Settled{}}},
}

func TestRefusalsUnderCallerKeyMatchGoldenFiles(t *testing.T) {
	for name, s := range callerKeyTraces {
		t.Run(name, func(t *testing.T) {
			spec := Spec{
				Request: ownRequest, Team: "jordan", Deadline: start.Add(time.Minute),
				AtMostOnce: true, Key: "tag-17", KeyHash: []byte{7}, CallerKey: true,
			}
			m := New(spec, &fixedRetrier{})
			if s.refused {
				m = NewRefusal(spec, &fixedRetrier{}, Result{Outcome: request.OutcomeNotRun, Code: "team_requests"})
			}
			replayTrace(t, name, m, s.events)
		})
	}
}

func TestExecutionTracesMatchGoldenFiles(t *testing.T) {
	for name, s := range traces {
		t.Run(name, func(t *testing.T) {
			m := New(Spec{
				Request: ownRequest, Team: "jordan", Deadline: start.Add(time.Minute),
				AtMostOnce: s.once, Key: "tag-17", KeyHash: []byte{7},
			}, &fixedRetrier{left: s.retries})
			replayTrace(t, name, m, s.events)
		})
	}
}

// replayTrace passes the events to the machine and compares its actions with the golden
// file.
func replayTrace(t *testing.T, name string, m *Machine, events []Event) {
	t.Helper()
	var out strings.Builder
	a := m.Start()
	fmt.Fprintln(&out, describe(a))
	for _, e := range events {
		require.NotEqual(t, "execution.Finish", fmt.Sprintf("%T", a), "events remain after Finish")
		a = m.Step(start, e)
		fmt.Fprintf(&out, "%T\n%s\n", e, describe(a))
	}
	require.IsType(t, Finish{}, a)
	compareGolden(t, filepath.Join("testdata", name+".golden"), out.String())
}

func compareGolden(t *testing.T, path, got string) {
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

func TestLostAttemptAfterDeadlineEndsAsUnknown(t *testing.T) {
	for _, once := range []bool{false, true} {
		m := New(Spec{Request: ownRequest, Deadline: start, AtMostOnce: once}, &fixedRetrier{left: 9})
		m.Step(start, routedTo("a"))
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

// TestRefusedRetryIsRepeatedUntilTheDeadline refuses each retry of a request that may have run, as
// the only replica does until all its members have returned. The request must not fail before its
// deadline, although attempts and retry budget are used up.
func TestRefusedRetryIsRepeatedUntilTheDeadline(t *testing.T) {
	budget := retry.New(rand.New(rand.NewPCG(1, 1)), retry.Policy{MaxAttempts: 2, MaxTokens: 1})
	m := New(Spec{Request: ownRequest, Deadline: start.Add(time.Minute)}, budget)
	m.Start()
	m.Step(start, routedTo("a"))
	now := start
	action := m.Step(now, Ended{Kind: EndLost, Code: CodeEndpointFailed})
	for now.Before(start.Add(30 * time.Second)) {
		wait, ok := action.(Wait)
		require.True(t, ok, "%+v after %s", action, now.Sub(start))
		now = now.Add(wait.For)
		m.Step(now, Waited{})
		m.Step(now, routedTo("a"))
		action = m.Step(now, Ended{Kind: EndNotRun, Code: "member_lost"})
	}
	m.Step(now, Waited{})
	m.Step(now, routedTo("a"))
	action = m.Step(now, Ended{Kind: EndLost, Code: CodeEndpointFailed})
	finish, ok := action.(Finish)
	require.True(t, ok, "%+v: a second attempt that may have run is the last", action)
	require.Equal(t, request.OutcomeUnknown, finish.Result.Outcome)
}
