// Package execution decides, step by step, what is done for one request: where an
// attempt goes, what a failed attempt proves, and which of the three outcomes the
// caller is told. It is a state machine without clock or socket.
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
	askLimit      = 3
	askDelay      = 300 * time.Millisecond
	retryAfterAsk = 2 * time.Second
)

// Target is the endpoint that an attempt goes to.
type Target struct {
	Host        host.ID
	Address     string
	Incarnation host.Incarnation
	// Replica and Fence are set for a model engine.
	Replica replica.ID
	Fence   replica.Fence
}

// Spec is what does not change while a request is executed.
type Spec struct {
	Request  request.ID
	Team     team.ID
	Deadline time.Time
	// AtMostOnce says that no attempt may follow one that may have run. Key and
	// BodyHash are then set.
	AtMostOnce bool
	Key        string
	BodyHash   []byte
	// CallerKey says that the key is the caller's own, so that an earlier sending may
	// have run under it: no refusal is final before the ledger has been asked.
	CallerKey bool
}

// Result is the request's end.
type Result struct {
	Outcome request.Outcome
	Code    string
	Reason  string
	// RetryAfter is when the caller may come back, 0 for unsaid.
	RetryAfter time.Duration
	// Answer is set when the answer comes from the ledger or from an agent's memory.
	Answer *message.Answer
}

// Retrier decides whether a failed attempt is followed by another one.
type Retrier interface {
	Decide(now time.Time, f retry.Failure) retry.Decision
}

// Machine executes one request. Use New.
type Machine struct {
	plan    Spec
	retrier Retrier

	attempt    request.Attempt
	target     Target
	exclude    map[host.ID]bool
	supersedes *message.Attested
	holder     message.ClaimItemResult
	// lostTo is the end of the first attempt that may have run, nil for none.
	lostTo  *Result
	asks    int
	askNext bool
	result  Result
	// refusal is what the caller is told if the ledger knows nothing of its key.
	refusal *Result
}

// New returns the machine of one request.
func New(plan Spec, retrier Retrier) *Machine {
	return &Machine{plan: plan, retrier: retrier, exclude: map[host.ID]bool{}}
}

// NewRefusal returns the machine of a request that is refused before it is routed. It
// ends with the refusal unless the ledger knows of an earlier sending.
func NewRefusal(plan Spec, retrier Retrier, refusal Result) *Machine {
	m := New(plan, retrier)
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

// refuse ends with r, but asks the ledger first whether an earlier sending under the
// caller's key has run, by a claim that no endpoint stands for.
func (m *Machine) refuse(r Result) Action {
	if !m.plan.CallerKey {
		return m.finish(r)
	}
	m.refusal = &r
	m.target = Target{}
	m.attempt++
	return m.claim()
}

// Step takes the event that the last action led to and returns the next action.
func (m *Machine) Step(now time.Time, e Event) Action {
	switch e := e.(type) {
	case Routed:
		return m.routed(e)
	case Unroutable:
		return m.failed(now, Result{
			Outcome: request.OutcomeNotRun, Code: e.Code, Reason: e.Reason, RetryAfter: e.RetryAfter,
		}, e.Final)
	case Claimed:
		return m.claimAnswered(e.Result)
	case ClaimFailed:
		if m.refusal != nil {
			return m.finish(*m.refusal)
		}
		return m.finish(Result{
			Outcome: request.OutcomeNotRun, Code: CodeNoControl, Reason: e.Reason, RetryAfter: retryAfterAsk,
		})
	case Ended:
		return m.attemptEnded(now, e)
	case Asked:
		return m.asked(now, e)
	case Settled:
		return Finish{Result: m.result}
	case Waited:
		return m.waited()
	}
	return m.finish(Result{Outcome: request.OutcomeUnknown, Code: CodeEndpointFailed})
}

func (m *Machine) routed(e Routed) Action {
	m.attempt++
	m.target = e.Target
	if !m.plan.AtMostOnce {
		return Dispatch{Target: m.target, Attempt: m.attempt}
	}
	return m.claim()
}

func (m *Machine) claim() Action {
	return Claim{Item: message.ClaimItem{
		Team: m.plan.Team, Key: m.plan.Key, BodyHash: m.plan.BodyHash,
		Request: m.plan.Request, Attempt: m.attempt,
		Host: m.target.Host, Incarnation: m.target.Incarnation, Address: m.target.Address,
		Supersedes: m.supersedes,
	}}
}

func (m *Machine) claimAnswered(r message.ClaimItemResult) Action {
	switch r.State {
	case message.ClaimGranted:
		m.supersedes = nil
		if m.refusal != nil {
			return m.settle(message.Ref{Request: m.plan.Request, Attempt: m.attempt}, *m.refusal, nil)
		}
		return Dispatch{Target: m.target, Attempt: m.attempt}
	case message.ClaimRunning:
		if r.Address == "" {
			// A refusal's claim stands for no endpoint: it is never dispatched.
			m.supersedes = &message.Attested{Request: r.Request, Attempt: r.Attempt}
			return m.claim()
		}
		m.refusal = nil
		m.supersedes = nil
		m.holder = r
		m.asks = 0
		return m.ask()
	case message.ClaimComplete:
		return m.finish(stored(r.Answer))
	case message.ClaimMismatch:
		return m.finish(Result{
			Outcome: request.OutcomeNotRun, Code: CodeKeyReused,
			Reason: "this Idempotency-Key was used with another request",
		})
	case message.ClaimFull:
		return m.finish(Result{
			Outcome: request.OutcomeNotRun, Code: CodeLedgerFull,
			Reason: "the record of requests that run at most once is full", RetryAfter: retryAfterAsk,
		})
	case message.ClaimUnknown:
		return m.finish(unknownBefore())
	}
	return m.finish(unknownBefore())
}

// stored turns an answer that was kept into a result.
func stored(a *message.Answer) Result {
	if a == nil || a.Dropped {
		return Result{
			Outcome: request.OutcomeComplete, Code: CodeAnswerNotKept,
			Reason: "the request completed earlier; its answer is not kept any more",
		}
	}
	return Result{Outcome: request.OutcomeComplete, Answer: a}
}

func unknownBefore() Result {
	return Result{
		Outcome: request.OutcomeUnknown, Code: CodeEarlierAttemptUnknown,
		Reason: "an earlier attempt under this Idempotency-Key may have run",
	}
}

func (m *Machine) attemptEnded(now time.Time, e Ended) Action {
	ref := message.Ref{Request: m.plan.Request, Attempt: m.attempt}
	switch e.Kind {
	case EndComplete:
		if !m.plan.AtMostOnce {
			return Finish{Result: Result{Outcome: request.OutcomeComplete}}
		}
		return m.settle(ref, Result{Outcome: request.OutcomeComplete}, e.Answer)
	case EndNotRun:
		m.exclude[m.target.Host] = true
		if m.plan.AtMostOnce {
			m.supersedes = &message.Attested{Request: m.plan.Request, Attempt: m.attempt}
		}
		return m.failed(now, Result{
			Outcome: request.OutcomeNotRun, Code: e.Code, Reason: e.Reason, RetryAfter: e.RetryAfter,
		}, e.Final)
	case EndLost:
		return m.lost(now, ref, e)
	}
	return m.lost(now, ref, e)
}

func (m *Machine) lost(now time.Time, ref message.Ref, e Ended) Action {
	result := Result{Outcome: request.OutcomeUnknown, Code: e.Code, Reason: e.Reason, RetryAfter: e.RetryAfter}
	expired := !now.Before(m.plan.Deadline)
	if expired {
		result.Code = CodeDeadlineExceeded
		result.Reason = "the deadline passed while the request ran"
		result.RetryAfter = retryAfterAsk
	}
	if !m.plan.AtMostOnce {
		if m.lostTo == nil {
			m.lostTo = &result
		}
		m.exclude[m.target.Host] = true
		return m.failed(now, result, expired || e.Final)
	}
	if expired {
		return Finish{Result: result}
	}
	if e.Attested {
		return m.settle(ref, result, nil)
	}
	m.holder = message.ClaimItemResult{
		Request: ref.Request, Attempt: ref.Attempt,
		Host: m.target.Host, Incarnation: m.target.Incarnation, Address: m.target.Address,
	}
	m.asks = 0
	return m.ask()
}

func (m *Machine) ask() Action {
	m.asks++
	return Ask{
		Address: m.holder.Address,
		Message: message.Ask{
			Ref:         message.Ref{Request: m.holder.Request, Attempt: m.holder.Attempt},
			Incarnation: m.holder.Incarnation,
			Tombstone:   true,
			Wait:        true,
			AtMostOnce:  true,
		},
	}
}

func (m *Machine) asked(now time.Time, e Asked) Action {
	ref := message.Ref{Request: m.holder.Request, Attempt: m.holder.Attempt}
	if !e.Reached {
		return m.unreached(now)
	}
	switch e.State {
	case message.AskComplete:
		return m.settle(ref, stored(e.Answer), e.Answer)
	case message.AskNotRun:
		m.supersedes = &message.Attested{Request: ref.Request, Attempt: ref.Attempt}
		return m.failed(now, Result{
			Outcome: request.OutcomeNotRun, Code: CodeAgentUnreachable,
			Reason: "the attempt was lost before it ran", RetryAfter: retryAfterAsk,
		}, false)
	case message.AskRunning:
		if now.Before(m.plan.Deadline) {
			m.asks = 0
			return m.askLater()
		}
		return Finish{Result: Result{
			Outcome: request.OutcomeUnknown, Code: CodeStillRunning,
			Reason: "the request still runs; ask again with the same Idempotency-Key", RetryAfter: retryAfterAsk,
		}}
	case message.AskUnknown:
		return m.settle(ref, unknownBefore(), nil)
	}
	return m.settle(ref, unknownBefore(), nil)
}

// unreached leaves the claim as it is: the agent may come back with its memory, and
// a resend can then still learn what became of the attempt.
func (m *Machine) unreached(now time.Time) Action {
	if m.asks < askLimit && now.Add(askDelay).Before(m.plan.Deadline) {
		return m.askLater()
	}
	return Finish{Result: Result{
		Outcome: request.OutcomeUnknown, Code: CodeAgentUnreachable,
		Reason:     "the agent that holds the request cannot be reached; ask again with the same Idempotency-Key",
		RetryAfter: retryAfterAsk,
	}}
}

// failed tries again elsewhere if the retrier allows it, and otherwise ends with r.
func (m *Machine) failed(now time.Time, r Result, final bool) Action {
	if !final {
		switch d := m.retrier.Decide(now, m.failure(r)).(type) {
		case retry.Retry:
			return Wait{For: d.Delay}
		case retry.GiveUp:
			r.RetryAfter = max(r.RetryAfter, d.RetryAfter)
		}
	}
	switch {
	case m.supersedes != nil:
		return m.settle(message.Ref(*m.supersedes), r, nil)
	case m.plan.AtMostOnce && r.Outcome == request.OutcomeNotRun && m.refusal == nil:
		return m.refuse(r)
	default:
		return m.finish(r)
	}
}

func (m *Machine) failure(r Result) retry.Failure {
	return retry.Failure{
		Outcome: r.Outcome, Idempotent: !m.plan.AtMostOnce, Attempt: m.attempt,
		Deadline: m.plan.Deadline, RetryAfter: r.RetryAfter,
	}
}

func (m *Machine) askLater() Action {
	m.askNext = true
	return Wait{For: askDelay}
}

func (m *Machine) waited() Action {
	if m.askNext {
		m.askNext = false
		return m.ask()
	}
	return Route{Exclude: m.exclude}
}

func (m *Machine) settle(ref message.Ref, r Result, a *message.Answer) Action {
	m.result = r
	return Settle{Item: message.SettleItem{
		Team: m.plan.Team, Key: m.plan.Key, Request: ref.Request, Attempt: ref.Attempt,
		Outcome: r.Outcome, Answer: a,
	}}
}

// finish ends with r, or with the attempt that may have run if the last one did not.
func (m *Machine) finish(r Result) Action {
	if r.Outcome == request.OutcomeNotRun && m.lostTo != nil {
		lost := *m.lostTo
		lost.RetryAfter = max(lost.RetryAfter, r.RetryAfter)
		return Finish{Result: lost}
	}
	return Finish{Result: r}
}
