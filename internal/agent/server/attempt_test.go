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

// TestCrossedAnswersReachNobodyElse runs prompts whose engine answers late, twice
// or for another request, beside one another.
func TestCrossedAnswersReachNobodyElse(t *testing.T) {
	inFleet(t, func(f *fleet) {
		head := f.agent(1, engine.Options{DelayMarker: "LATE", DuplicateMarker: "TWICE", ForeignEventMarker: "CROSS", ResponseDelay: 5 * time.Second})
		r := f.replica("r-1", 1, 1)
		type result struct {
			d *message.Dispatch
			a answer
		}
		results := make(chan result)
		prompts := []string{"LATE one", "TWICE two", "CROSS three", "CROSS TWICE four", "plain five"}
		for _, p := range prompts {
			go func() {
				d := generation(head, r, p, 30)
				results <- result{d, f.do(head, d)}
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

// TestResumedStreamGoesOnExactly takes a stream up on another replica.
func TestResumedStreamGoesOnExactly(t *testing.T) {
	inFleet(t, func(f *fleet) {
		head := f.agent(1, engine.Options{Fences: true})
		r := f.replica("r-1", 1, 1)
		d := generation(head, r, "site history", 40)
		whole := f.do(head, d).text
		rest := generation(head, r, "site history", 40)
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
		got := f.do(head, rest)
		require.Equal(t, whole, whole[:cut]+got.text)
		require.Equal(t, uint64(40), got.end.Length)
	})
}

// TestTombstoneRefusesLateDispatch asks after an attempt that is still on its way.
func TestTombstoneRefusesLateDispatch(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		d := signoff(m, "badge")
		ask := &message.Ask{Ref: d.Ref, Incarnation: d.Incarnation, AtMostOnce: true}
		require.Equal(t, message.AskUnknown, f.ask(m, ask).State, "without a tombstone nothing is promised")
		ask.Tombstone = true
		require.Equal(t, message.AskNotRun, f.ask(m, ask).State)
		late := f.do(m, d).refused
		require.NotNil(t, late)
		require.Equal(t, codeTombstone, late.Code)
		require.Zero(t, m.service.Counts().Total)

		other := signoff(m, "badge")
		require.Equal(t, request.OutcomeComplete, f.do(m, other).end.Outcome)
		again := f.do(m, other)
		require.Nil(t, again.refused, "a duplicate must not be told that it did not run")
		require.Equal(t, request.OutcomeUnknown, again.end.Outcome)
		require.Equal(t, 1, m.service.Counts().Total)
	})
}

// TestEntryDiesDuringSignoff loses the entry's stream while the service runs: the
// call ends, its answer is kept, and those who wait get it.
func TestEntryDiesDuringSignoff(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		m.service.SetFailure(service.FailureHang)
		d := signoff(m, "badge")
		stream := f.open(m, d)
		pass(time.Second)
		stream.Cancel()
		ask := &message.Ask{Ref: d.Ref, Incarnation: d.Incarnation, Tombstone: true, AtMostOnce: true}
		require.Equal(t, message.AskRunning, f.ask(m, ask).State)
		waited := make(chan *message.AskResult)
		wait := *ask
		wait.Wait = true
		go func() { waited <- f.ask(m, &wait) }()
		pass(20 * time.Second)
		m.service.ReleaseHanging()
		for _, got := range []*message.AskResult{<-waited, f.ask(m, ask)} {
			require.Equal(t, message.AskComplete, got.State)
			require.Equal(t, http.StatusCreated, got.Answer.Status)
			require.JSONEq(t, `{"signoff":1}`, string(got.Answer.Body))
		}
		require.Equal(t, 1, m.service.Counts().Total)
	})
}

// TestRestartedAgentKnowsNothing restarts the agent while a sign-off may be running.
func TestRestartedAgentKnowsNothing(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		m.service.SetFailure(service.FailureHang)
		d := signoff(m, "badge")
		f.open(m, d)
		pass(time.Second)
		f.restart(1)
		require.Equal(t, 1, m.service.Counts().Total)
		ask := &message.Ask{Ref: d.Ref, Incarnation: d.Incarnation, Tombstone: true, AtMostOnce: true}
		require.Equal(t, message.AskUnknown, f.ask(m, ask).State)
		require.Equal(t, codeIncarnation, f.do(m, d).refused.Code)
		require.Equal(t, 1, m.service.Counts().Total)
	})
}

// TestSignoffOutcomes breaks the connection to the service at each step. The
// call carries an Idempotency-Key, with which net/http would send it twice.
func TestSignoffOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		fail    func(m *member)
		outcome request.Outcome
		code    string
		runs    int
	}{
		{"refused connection", func(m *member) { _ = m.records.Close() }, request.OutcomeNotRun, codeUnreachable, 0},
		{"dropped before it runs", func(m *member) { m.service.SetFailure(service.FailureDropBefore) }, request.OutcomeUnknown, codeCut, 0},
		{"dropped after it has run", func(m *member) { m.service.SetFailure(service.FailureDropAfter) }, request.OutcomeUnknown, codeCut, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inFleet(t, func(f *fleet) {
				m := f.agent(1, engine.Options{})
				f.replica("r-1", 1, 1)
				before := m.service.Counts().Total
				test.fail(m)
				got := f.do(m, signoff(m, "badge"))
				require.Equal(t, test.outcome, got.end.Outcome)
				require.Equal(t, test.code, got.end.Code)
				require.Equal(t, before+test.runs, m.service.Counts().Total)
			})
		})
	}
}

// TestSignoffIsNeverSentAgain loses the second connection after the call has run.
// With a kept connection, net/http would send a call without a body again.
func TestSignoffIsNeverSentAgain(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		require.Equal(t, request.OutcomeComplete, f.do(m, signoff(m, "")).end.Outcome)
		m.service.SetFailure(service.FailureDropAfter)
		require.Equal(t, request.OutcomeUnknown, f.do(m, signoff(m, "")).end.Outcome)
		require.Equal(t, 2, m.service.Counts().Total)
	})
}

// TestCancelReachesEngine gives a generation up in each way.
func TestCancelReachesEngine(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{HangMarker: "HANG"})
		r := f.replica("r-1", 1, 1)
		for _, prompt := range []string{"a long report", "HANG"} {
			d := generation(m, r, prompt, 10_000)
			stream := f.open(m, d)
			pass(time.Second)
			require.Equal(t, 1, m.engine.Running())
			require.NoError(t, stream.Send(&message.Cancel{Ref: d.Ref}))
			require.Equal(t, codeCancelled, f.collect(stream, d).end.Code)

			stream = f.open(m, generation(m, r, prompt, 10_000))
			pass(time.Second)
			stream.Cancel()
			pass(100 * time.Millisecond)
			require.Zero(t, m.engine.Running())
		}
		d := generation(m, r, "HANG", 1)
		d.TimeoutMs = 3000
		require.Equal(t, codeDeadline, f.do(m, d).end.Code)
	})
}

// TestSlowEntryHoldsEngineBack reads nothing of a stream that is larger than all
// windows on its way: the engine has to wait, and no token is lost.
func TestSlowEntryHoldsEngineBack(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{TokenGap: time.Microsecond, StepTokens: 1000})
		r := f.replica("r-1", 1, 1)
		d := generation(m, r, "a very long report", 40_000)
		stream := f.open(m, d)
		pass(30 * time.Second)
		require.Equal(t, 1, m.engine.Running())
		beside := f.do(m, generation(m, r, "another caller", 20))
		require.Equal(t, request.OutcomeComplete, beside.end.Outcome, beside.end.Reason)
		got := f.collect(stream, d)
		require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
		require.Equal(t, uint64(40_000), got.end.Length)
		require.Len(t, strings.Fields(got.text), 40_000)
	})
}

// TestSuspectsRunAlone sends a second suspect beside a first, and an innocent.
func TestSuspectsRunAlone(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{})
		r := f.replica("r-1", 1, 1)
		suspect := func() *message.Dispatch {
			d := generation(m, r, "suspect", 100)
			d.Suspect = true
			return d
		}
		first := suspect()
		stream := f.open(m, first)
		pass(time.Second)
		refused := f.do(m, suspect()).refused
		require.NotNil(t, refused)
		require.Equal(t, codeSuspectBusy, refused.Code)
		require.Equal(t, request.OutcomeComplete, f.do(m, generation(m, r, "innocent", 1)).end.Outcome)
		require.Equal(t, request.OutcomeComplete, f.collect(stream, first).end.Outcome)
		require.Equal(t, request.OutcomeComplete, f.do(m, suspect()).end.Outcome)
	})
}

// TestCrashNamesAllInFlight crashes the engine beside an innocent request.
func TestCrashNamesAllInFlight(t *testing.T) {
	inFleet(t, func(f *fleet) {
		m := f.agent(1, engine.Options{CrashMarker: "BOOM", RestartAfter: 2 * time.Second})
		r := f.replica("r-1", 1, 1)
		innocent := generation(m, r, "innocent", 10_000)
		stream := f.open(m, innocent)
		pass(time.Second)
		guilty := generation(m, r, "BOOM", 10)
		require.Equal(t, codeCrashed, f.do(m, guilty).end.Code)
		require.Equal(t, codeCrashed, f.collect(stream, innocent).end.Code)
		require.False(t, m.server.accepts(r))
		pass(5 * time.Second)
		require.True(t, m.server.accepts(r), "the restarted engine loads the replica again")
		reports := f.control.crashed()
		require.Len(t, reports, 1)
		require.Equal(t, r.ID, reports[0].Replica)
		require.ElementsMatch(t, []uint64{guilty.BodyHash, innocent.BodyHash}, reports[0].Suspects)
	})
}
