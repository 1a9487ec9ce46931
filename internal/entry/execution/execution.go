// Package execution decides, step by step, what is done for one request: where an
// attempt is sent, what a failed attempt proves, and which of the three outcomes the
// caller gets. It is a state machine without clock or I/O.
package execution

import (
	"time"

	"github.com/egretreach/egretreach/internal/entry/retry"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Codes of results. Agents add codes of their own.
const (
	CodeNoControl             = "no_control"
	CodeLedgerFull            = "ledger_full"
	CodeKeyReused             = "idempotency_key_reused"
	CodeEarlierAttemptUnknown = "earlier_attempt_unknown"
	CodeAnswerNotKept         = "answer_not_kept"
	CodeDeadlineExceeded      = "deadline_exceeded"
	CodeAgentUnreachable      = "agent_unreachable"
	CodeEngineCrashed         = "engine_crashed"
	CodeStillRunning          = "still_running"
	CodeNoReplica             = "no_replica"
	CodeEndpointFailed        = "endpoint_failed"
)

const (
	// maxAsks is how many times an agent that does not answer is asked about an attempt.
	maxAsks = 3
	// askDelay is the pause before an agent is asked again.
	askDelay = 300 * time.Millisecond
	// defaultRetryAfter is the RetryAfter of results whose cause may be temporary and specifies no
	// time.
	defaultRetryAfter = 2 * time.Second
)

// Target is the endpoint that an attempt is sent to.
type Target struct {
	Host        host.ID
	Address     string
	Incarnation host.Incarnation
	// Replica and Fence are set if the endpoint is a model engine.
	Replica replica.ID
	Fence   replica.Fence
}

// Spec is the part of a request that does not change during its execution.
type Spec struct {
	Request  request.ID
	Team     team.ID
	Deadline time.Time
	// AtMostOnce is set if no attempt may follow one that may have run. Key and
	// KeyHash are then set.
	AtMostOnce bool
	Key        string
	KeyHash    []byte
	// CallerKey is set if the caller chose the key, so that an earlier submission may
	// have run under it. A refusal then asks the ledger first, and becomes final if the
	// ledger knows of no earlier submission or control does not answer.
	CallerKey bool
}

// Result is the result of a request.
type Result struct {
	Outcome request.Outcome
	Code    string
	Reason  string
	// RetryAfter is how long the caller should wait before it retries, 0 if
	// unspecified.
	RetryAfter time.Duration
	// Answer is set if the answer comes from the ledger or from an agent's memory.
	Answer *message.Answer
}

// Retrier decides whether another attempt follows a failed one.
type Retrier interface {
	Decide(now time.Time, f retry.Failure) retry.Decision
}

// Machine is the state machine of one request. Create it with New or NewRefusal.
type Machine struct {
	spec    Spec
	retrier Retrier

	attempt request.Attempt
	target  Target
	exclude map[host.ID]bool
	// superseded is the attempt, proved not to have run, that the next claim takes over
	// from.
	superseded *message.Attested
	// askedAttempt is the attempt that an agent is asked about.
	askedAttempt message.ClaimItemResult
	// firstLost is the result of an idempotent request's first attempt that may have
	// run, or nil.
	firstLost *Result
	// refusals is how many times in a row a retry was refused after firstLost, and
	// refusedAttempts the number of all attempts that ended so.
	refusals        request.Attempt
	refusedAttempts request.Attempt
	askCount        int
	askAfterWait    bool
	result          Result
	// refusal is the result if the ledger knows of no earlier submission.
	refusal *Result
}

// New returns the state machine of a request.
func New(spec Spec, retrier Retrier) *Machine {
	return &Machine{spec: spec, retrier: retrier, exclude: map[host.ID]bool{}}
}

// NewRefusal returns the state machine of a request that is refused before it is
// routed. It finishes with the refusal unless the caller chose the key and the ledger
// knows of an earlier submission under it.
func NewRefusal(spec Spec, retrier Retrier, refusal Result) *Machine {
	m := New(spec, retrier)
	m.refusal = &refusal
	return m
}

// Start returns the first action.
func (m *Machine) Start() Action {
	if m.refusal != nil {
		return m.refuse(*m.refusal)
	}
	return Route{}
}

// refuse finishes with r. If the caller chose the key, it first claims the key for no
// endpoint, which asks the ledger whether an earlier submission has run.
func (m *Machine) refuse(r Result) Action {
	if !m.spec.CallerKey {
		return m.finish(r)
	}
	m.refusal = &r
	m.target = Target{}
	m.attempt++
	return m.claim()
}

// Step takes the event of the last action and returns the next action.
func (m *Machine) Step(now time.Time, e Event) Action {
	switch e := e.(type) {
	case Routed:
		return m.handleRouted(e)
	case Unroutable:
		mayHaveRun := m.recordRefusal()
		return m.retryOrFinish(now, Result{
			Outcome: request.OutcomeNotRun, Code: e.Code, Reason: e.Reason, RetryAfter: e.RetryAfter,
		}, e.Final || e.Restricted && !mayHaveRun)
	case Claimed:
		return m.handleClaimed(e.Result)
	case ClaimFailed:
		if m.refusal != nil {
			return m.finish(*m.refusal)
		}
		return m.finish(Result{
			Outcome: request.OutcomeNotRun, Code: CodeNoControl, Reason: e.Reason, RetryAfter: defaultRetryAfter,
		})
	case Ended:
		return m.handleEnded(now, e)
	case Asked:
		return m.handleAsked(now, e)
	case Settled:
		return Finish{Result: m.result}
	case Waited:
		return m.handleWaited()
	}
	return m.finish(Result{Outcome: request.OutcomeUnknown, Code: CodeEndpointFailed})
}

func (m *Machine) handleRouted(e Routed) Action {
	m.attempt++
	m.target = e.Target
	if !m.spec.AtMostOnce {
		return Dispatch{Target: m.target, Attempt: m.attempt}
	}
	return m.claim()
}

func (m *Machine) claim() Action {
	return Claim{Item: message.ClaimItem{
		Team: m.spec.Team, Key: m.spec.Key, KeyHash: m.spec.KeyHash,
		Request: m.spec.Request, Attempt: m.attempt,
		Host: m.target.Host, Incarnation: m.target.Incarnation, Address: m.target.Address,
		Supersedes: m.superseded,
	}}
}

func (m *Machine) handleClaimed(r message.ClaimItemResult) Action {
	switch r.State {
	case message.ClaimGranted:
		m.superseded = nil
		if m.refusal != nil {
			return m.settle(message.Ref{Request: m.spec.Request, Attempt: m.attempt}, *m.refusal, nil)
		}
		return Dispatch{Target: m.target, Attempt: m.attempt}
	case message.ClaimRunning:
		if r.Address == "" {
			// The running claim belongs to a refusal: it names no endpoint and is never
			// dispatched.
			m.superseded = &message.Attested{Request: r.Request, Attempt: r.Attempt}
			return m.claim()
		}
		m.refusal = nil
		m.superseded = nil
		m.askedAttempt = r
		m.askCount = 0
		return m.ask()
	case message.ClaimComplete:
		return m.finish(storedResult(r.Answer))
	case message.ClaimMismatch:
		return m.finish(Result{
			Outcome: request.OutcomeNotRun, Code: CodeKeyReused,
			Reason: "this Idempotency-Key was used with another request",
		})
	case message.ClaimFull:
		return m.finish(Result{
			Outcome: request.OutcomeNotRun, Code: CodeLedgerFull,
			Reason: "the record of requests that run at most once is full", RetryAfter: defaultRetryAfter,
		})
	case message.ClaimUnknown:
		return m.finish(earlierAttemptUnknown())
	}
	return m.finish(earlierAttemptUnknown())
}

// storedResult returns the result for an answer from the ledger or from an agent's
// memory.
func storedResult(a *message.Answer) Result {
	if a == nil || a.BodyDropped {
		return Result{
			Outcome: request.OutcomeComplete, Code: CodeAnswerNotKept,
			Reason: "the request completed earlier; its answer is not kept any more",
		}
	}
	return Result{Outcome: request.OutcomeComplete, Answer: a}
}

func earlierAttemptUnknown() Result {
	return Result{
		Outcome: request.OutcomeUnknown, Code: CodeEarlierAttemptUnknown,
		Reason: "an earlier attempt under this Idempotency-Key may have run",
	}
}

func (m *Machine) handleEnded(now time.Time, e Ended) Action {
	ref := message.Ref{Request: m.spec.Request, Attempt: m.attempt}
	switch e.Kind {
	case EndComplete:
		if !m.spec.AtMostOnce {
			return Finish{Result: Result{Outcome: request.OutcomeComplete}}
		}
		return m.settle(ref, Result{Outcome: request.OutcomeComplete}, e.Answer)
	case EndNotRun:
		m.exclude[m.target.Host] = true
		if m.recordRefusal() {
			m.refusedAttempts++
		}
		if m.spec.AtMostOnce {
			m.superseded = &message.Attested{Request: m.spec.Request, Attempt: m.attempt}
		}
		return m.retryOrFinish(now, Result{
			Outcome: request.OutcomeNotRun, Code: e.Code, Reason: e.Reason, RetryAfter: e.RetryAfter,
		}, e.Final)
	case EndLost:
		return m.handleLost(now, ref, e)
	}
	return m.handleLost(now, ref, e)
}

// recordRefusal counts the refusal of a retry and returns true, or returns false if no
// earlier attempt may have run.
func (m *Machine) recordRefusal() bool {
	if m.firstLost == nil {
		return false
	}
	m.refusals++
	return true
}

func (m *Machine) handleLost(now time.Time, ref message.Ref, e Ended) Action {
	result := Result{Outcome: request.OutcomeUnknown, Code: e.Code, Reason: e.Reason, RetryAfter: e.RetryAfter}
	expired := !now.Before(m.spec.Deadline)
	if expired {
		result.Code = CodeDeadlineExceeded
		result.Reason = "the deadline passed while the request ran"
		result.RetryAfter = defaultRetryAfter
	}
	if !m.spec.AtMostOnce {
		if m.firstLost == nil {
			m.firstLost = &result
		}
		m.refusals = 0
		m.exclude[m.target.Host] = true
		return m.retryOrFinish(now, result, expired || e.Final)
	}
	if expired {
		// The claim stays as it is. The attempt continues at its agent, which a resend
		// asks for the answer.
		return Finish{Result: result}
	}
	if e.ReportedUnknown {
		return m.settle(ref, result, nil)
	}
	m.askedAttempt = message.ClaimItemResult{
		Request: ref.Request, Attempt: ref.Attempt,
		Host: m.target.Host, Incarnation: m.target.Incarnation, Address: m.target.Address,
	}
	m.askCount = 0
	return m.ask()
}

func (m *Machine) ask() Action {
	m.askCount++
	return Ask{
		Address: m.askedAttempt.Address,
		Message: message.Ask{
			Ref:         message.Ref{Request: m.askedAttempt.Request, Attempt: m.askedAttempt.Attempt},
			Incarnation: m.askedAttempt.Incarnation,
			Tombstone:   true,
			Wait:        true,
			AtMostOnce:  true,
		},
	}
}

func (m *Machine) handleAsked(now time.Time, e Asked) Action {
	ref := message.Ref{Request: m.askedAttempt.Request, Attempt: m.askedAttempt.Attempt}
	if !e.Answered {
		return m.handleUnanswered(now)
	}
	switch e.State {
	case message.AskComplete:
		return m.settle(ref, storedResult(e.Answer), e.Answer)
	case message.AskNotRun:
		m.superseded = &message.Attested{Request: ref.Request, Attempt: ref.Attempt}
		return m.retryOrFinish(now, Result{
			Outcome: request.OutcomeNotRun, Code: CodeAgentUnreachable,
			Reason: "the attempt was lost before it ran", RetryAfter: defaultRetryAfter,
		}, false)
	case message.AskRunning:
		if now.Before(m.spec.Deadline) {
			m.askCount = 0
			return m.askLater()
		}
		return Finish{Result: Result{
			Outcome: request.OutcomeUnknown, Code: CodeStillRunning,
			Reason: "the request still runs; ask again with the same Idempotency-Key", RetryAfter: defaultRetryAfter,
		}}
	case message.AskUnknown:
		return m.settle(ref, earlierAttemptUnknown(), nil)
	}
	return m.settle(ref, earlierAttemptUnknown(), nil)
}

// handleUnanswered leaves the claim as it is. The agent may return with its memory, and a resend
// can then still obtain the outcome of the attempt.
func (m *Machine) handleUnanswered(now time.Time) Action {
	if m.askCount < maxAsks && now.Add(askDelay).Before(m.spec.Deadline) {
		return m.askLater()
	}
	return Finish{Result: Result{
		Outcome: request.OutcomeUnknown, Code: CodeAgentUnreachable,
		Reason:     "the agent that holds the request cannot be reached; ask again with the same Idempotency-Key",
		RetryAfter: defaultRetryAfter,
	}}
}

// retryOrFinish starts another attempt if the retrier allows it, and otherwise finishes
// with r. Before that, it settles an attempt that is known to hold the key and not to
// have run, so that the key can be used again. If no such attempt is known, it asks the
// ledger for an earlier submission, as refuse does.
func (m *Machine) retryOrFinish(now time.Time, r Result, final bool) Action {
	if !final {
		switch d := m.retrier.Decide(now, m.newFailure(r)).(type) {
		case retry.Retry:
			return Wait{For: d.Delay}
		case retry.GiveUp:
			r.RetryAfter = max(r.RetryAfter, d.RetryAfter)
		}
	}
	switch {
	case m.superseded != nil:
		return m.settle(message.Ref(*m.superseded), r, nil)
	case m.spec.AtMostOnce && r.Outcome == request.OutcomeNotRun && m.refusal == nil:
		return m.refuse(r)
	default:
		return m.finish(r)
	}
}

func (m *Machine) newFailure(r Result) retry.Failure {
	return retry.Failure{
		Outcome: r.Outcome, Idempotent: !m.spec.AtMostOnce, Attempt: m.attempt - m.refusedAttempts, Refusals: m.refusals,
		Deadline: m.spec.Deadline, RetryAfter: r.RetryAfter,
	}
}

func (m *Machine) askLater() Action {
	m.askAfterWait = true
	return Wait{For: askDelay}
}

func (m *Machine) handleWaited() Action {
	if m.askAfterWait {
		m.askAfterWait = false
		return m.ask()
	}
	return Route{Exclude: m.exclude}
}

func (m *Machine) settle(ref message.Ref, r Result, a *message.Answer) Action {
	m.result = r
	return Settle{Item: message.SettleItem{
		Team: m.spec.Team, Key: m.spec.Key, Request: ref.Request, Attempt: ref.Attempt,
		Outcome: r.Outcome, Answer: a,
	}}
}

// finish ends with r. If r says that the last attempt did not run, but an earlier one
// may have, it ends with the result of that one.
func (m *Machine) finish(r Result) Action {
	if r.Outcome == request.OutcomeNotRun && m.firstLost != nil {
		lost := *m.firstLost
		lost.RetryAfter = max(lost.RetryAfter, r.RetryAfter)
		return Finish{Result: lost}
	}
	return Finish{Result: r}
}
