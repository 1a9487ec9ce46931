package server

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/standin/service"
)

// TestMisroutedEngineEventsAreDropped runs prompts concurrently on an engine that
// sends events late, twice or to the response of another request. Each response
// must contain its own tokens only.
func TestMisroutedEngineEventsAreDropped(t *testing.T) {
	withFixture(t, func(f *fixture) {
		head := f.agent(1, engine.Options{DelayMarker: "LATE", DuplicateMarker: "TWICE", ForeignEventMarker: "CROSS", ResponseDelay: 5 * time.Second})
		r := f.replica("r-1", 1, 1)
		type result struct {
			d *message.Dispatch
			a received
		}
		results := make(chan result)
		prompts := []string{"LATE one", "TWICE two", "CROSS three", "CROSS TWICE four", "plain five"}
		for _, p := range prompts {
			go func() {
				d := generationDispatch(head, r, p, 30)
				results <- result{d, f.dispatch(head, d)}
			}()
		}
		for range prompts {
			got := <-results
			want, _, err := engine.Completion(got.d.Generate.Body)
			require.NoError(t, err)
			require.Equal(t, request.OutcomeComplete, got.a.end.Outcome, got.a.end.Reason)
			require.Equal(t, want, got.a.text)
		}
		require.GreaterOrEqual(t, head.server.Rejected(), uint64(60))
	})
}

// TestResumedGenerationContinuesAtOffset dispatches the rest of a generation with a
// resume offset and the text so far, as after the loss of a replica.
func TestResumedGenerationContinuesAtOffset(t *testing.T) {
	withFixture(t, func(f *fixture) {
		head := f.agent(1, engine.Options{Fences: true})
		r := f.replica("r-1", 1, 1)
		d := generationDispatch(head, r, "site history", 40)
		whole := f.dispatch(head, d).text
		rest := generationDispatch(head, r, "site history", 40)
		words := 0
		cut := 0
		for i, c := range whole {
			if c == ' ' {
				words++
			}
			if words == 15 {
				cut = i + 1
				break
			}
		}
		rest.Generate.ResumeOffset = 15
		rest.Generate.ResumeText = whole[:cut]
		got := f.dispatch(head, rest)
		require.Equal(t, whole, whole[:cut]+got.text)
		require.Equal(t, uint64(40), got.end.Length)
	})
}

// TestTombstoneRefusesLateDispatch requests a tombstone for an attempt whose dispatch
// has not arrived yet.
func TestTombstoneRefusesLateDispatch(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		d := signoffDispatch(agent, "badge")
		ask := &message.Ask{Ref: d.Ref, Incarnation: d.Incarnation, AtMostOnce: true}
		require.Equal(t, message.AskUnknown, f.ask(agent, ask).State, "without a tombstone, the state must stay unknown")
		ask.Tombstone = true
		require.Equal(t, message.AskNotRun, f.ask(agent, ask).State)
		late := f.dispatch(agent, d).refused
		require.NotNil(t, late)
		require.Equal(t, codeGivenUp, late.Code)
		require.Zero(t, agent.service.Counts().Total)

		other := signoffDispatch(agent, "badge")
		require.Equal(t, request.OutcomeComplete, f.dispatch(agent, other).end.Outcome)
		again := f.dispatch(agent, other)
		require.Nil(t, again.refused, "a duplicate must not be told that it did not run")
		require.Equal(t, request.OutcomeUnknown, again.end.Outcome)
		require.Equal(t, 1, agent.service.Counts().Total)
	})
}

// TestAtMostOnceCallSurvivesEntryLoss cancels the entry's stream while the service
// runs the call. The call must continue, and its kept answer must reach callers
// that wait for it or ask later.
func TestAtMostOnceCallSurvivesEntryLoss(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		agent.service.SetFailure(service.FailureHang)
		d := signoffDispatch(agent, "badge")
		stream := f.open(agent, d)
		sleep(time.Second)
		stream.Cancel()
		ask := &message.Ask{Ref: d.Ref, Incarnation: d.Incarnation, Tombstone: true, AtMostOnce: true}
		require.Equal(t, message.AskRunning, f.ask(agent, ask).State)
		waited := make(chan *message.AskResult)
		wait := *ask
		wait.Wait = true
		go func() { waited <- f.ask(agent, &wait) }()
		sleep(20 * time.Second)
		agent.service.ReleaseHanging()
		for _, got := range []*message.AskResult{<-waited, f.ask(agent, ask)} {
			require.Equal(t, message.AskComplete, got.State)
			require.Equal(t, http.StatusCreated, got.Answer.Status)
			require.JSONEq(t, `{"signoff":1}`, string(got.Answer.Body))
		}
		require.Equal(t, 1, agent.service.Counts().Total)
	})
}

// TestRestartedAgentReportsUnknown restarts the agent while a sign-off may be
// running. The new process has no record of it and must not report it as not run.
func TestRestartedAgentReportsUnknown(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		agent.service.SetFailure(service.FailureHang)
		d := signoffDispatch(agent, "badge")
		f.open(agent, d)
		sleep(time.Second)
		f.restart(1)
		require.Equal(t, 1, agent.service.Counts().Total)
		ask := &message.Ask{Ref: d.Ref, Incarnation: d.Incarnation, Tombstone: true, AtMostOnce: true}
		require.Equal(t, message.AskUnknown, f.ask(agent, ask).State)
		require.Equal(t, codeWrongIncarnation, f.dispatch(agent, d).refused.Code)
		require.Equal(t, 1, agent.service.Counts().Total)
	})
}

// TestServiceConnectionFailureOutcomes breaks the connection to the service at each
// step. The call carries an Idempotency-Key, because of which net/http could retry
// it.
func TestServiceConnectionFailureOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		fail    func(agent *agentProcess)
		outcome request.Outcome
		code    string
		runs    int
	}{
		{"refused connection", func(agent *agentProcess) { _ = agent.serviceListener.Close() }, request.OutcomeNotRun, codeEndpointUnreachable, 0},
		{"dropped before it runs", func(agent *agentProcess) { agent.service.SetFailure(service.FailureDropBefore) }, request.OutcomeUnknown, codeAnswerCut, 0},
		{"dropped after it has run", func(agent *agentProcess) { agent.service.SetFailure(service.FailureDropAfter) }, request.OutcomeUnknown, codeAnswerCut, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, func(f *fixture) {
				agent := f.agent(1, engine.Options{})
				f.replica("r-1", 1, 1)
				before := agent.service.Counts().Total
				test.fail(agent)
				got := f.dispatch(agent, signoffDispatch(agent, "badge"))
				require.Equal(t, test.outcome, got.end.Outcome)
				require.Equal(t, test.code, got.end.Code)
				require.Equal(t, before+test.runs, agent.service.Counts().Total)
			})
		})
	}
}

// TestServiceCallIsNeverRetried drops the second connection after the call has run.
// On a reused connection, net/http would retry a call without a body.
func TestServiceCallIsNeverRetried(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		require.Equal(t, request.OutcomeComplete, f.dispatch(agent, signoffDispatch(agent, "")).end.Outcome)
		agent.service.SetFailure(service.FailureDropAfter)
		require.Equal(t, request.OutcomeUnknown, f.dispatch(agent, signoffDispatch(agent, "")).end.Outcome)
		require.Equal(t, 2, agent.service.Counts().Total)
	})
}

// TestCancelReachesEngine ends a generation by a Cancel, by the loss of the stream
// and at its deadline.
func TestCancelReachesEngine(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{HangMarker: "HANG"})
		r := f.replica("r-1", 1, 1)
		for _, prompt := range []string{"a long report", "HANG"} {
			d := generationDispatch(agent, r, prompt, 10_000)
			stream := f.open(agent, d)
			sleep(time.Second)
			require.Equal(t, 1, agent.engine.Running())
			require.NoError(t, stream.Send(&message.Cancel{Ref: d.Ref}))
			require.Equal(t, codeCancelled, f.collect(stream, d).end.Code)

			stream = f.open(agent, generationDispatch(agent, r, prompt, 10_000))
			sleep(time.Second)
			stream.Cancel()
			sleep(100 * time.Millisecond)
			require.Zero(t, agent.engine.Running())
		}
		d := generationDispatch(agent, r, "HANG", 1)
		d.TimeoutMs = 3000
		require.Equal(t, codeDeadline, f.dispatch(agent, d).end.Code)
	})
}

// TestSlowEntryAppliesBackpressure does not read a response that is larger than all
// flow control windows on its path. The engine must wait, no token may be lost, and
// another generation must not be held up.
func TestSlowEntryAppliesBackpressure(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{TokenGap: time.Microsecond, StepTokens: 1000})
		r := f.replica("r-1", 1, 1)
		d := generationDispatch(agent, r, "a very long report", 40_000)
		stream := f.open(agent, d)
		sleep(30 * time.Second)
		require.Equal(t, 1, agent.engine.Running())
		concurrent := f.dispatch(agent, generationDispatch(agent, r, "another caller", 20))
		require.Equal(t, request.OutcomeComplete, concurrent.end.Outcome, concurrent.end.Reason)
		got := f.collect(stream, d)
		require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
		require.Equal(t, uint64(40_000), got.end.Length)
		require.Len(t, strings.Fields(got.text), 40_000)
	})
}

// TestSecondSuspectIsRefused dispatches a second suspect request and an ordinary one
// while a suspect request runs.
func TestSecondSuspectIsRefused(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		r := f.replica("r-1", 1, 1)
		suspect := func() *message.Dispatch {
			d := generationDispatch(agent, r, "suspect", 100)
			d.Suspect = true
			return d
		}
		first := suspect()
		stream := f.open(agent, first)
		sleep(time.Second)
		refused := f.dispatch(agent, suspect()).refused
		require.NotNil(t, refused)
		require.Equal(t, codeSuspectBusy, refused.Code)
		require.Equal(t, request.OutcomeComplete, f.dispatch(agent, generationDispatch(agent, r, "innocent", 1)).end.Outcome)
		require.Equal(t, request.OutcomeComplete, f.collect(stream, first).end.Outcome)
		require.Equal(t, request.OutcomeComplete, f.dispatch(agent, suspect()).end.Outcome)
	})
}

// TestCrashReportNamesAllGenerationsInProgress crashes the engine by one request
// while another is in progress. Both must be reported as suspects.
func TestCrashReportNamesAllGenerationsInProgress(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{CrashMarker: "BOOM", RestartAfter: 2 * time.Second})
		r := f.replica("r-1", 1, 1)
		innocent := generationDispatch(agent, r, "innocent", 10_000)
		stream := f.open(agent, innocent)
		sleep(time.Second)
		guilty := generationDispatch(agent, r, "BOOM", 10)
		require.Equal(t, codeEngineCrashed, f.dispatch(agent, guilty).end.Code)
		require.Equal(t, codeEngineCrashed, f.collect(stream, innocent).end.Code)
		require.False(t, agent.server.accepts(r))
		sleep(5 * time.Second)
		require.True(t, agent.server.accepts(r), "the restarted engine must load the replica again")
		reports := f.control.crashReports()
		require.Len(t, reports, 1)
		require.Equal(t, r.ID, reports[0].Replica)
		require.ElementsMatch(t, []uint64{guilty.BodyHash, innocent.BodyHash}, reports[0].Suspects)
	})
}
