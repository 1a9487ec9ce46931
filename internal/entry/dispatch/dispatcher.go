package dispatch

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/process/pause"
)

// Options are the dependencies of a Dispatcher.
type Options struct {
	// BaseContext ends all work, including requests that continue after their caller has
	// disconnected.
	BaseContext context.Context
	Pool        *pool.Pool
	Control     Control
	Router      Router
	Retrier     execution.Retrier
	Logger      *log.Logger
	// AnswerMemory bounds what the answers that are being received take, in bytes. 0 is DefaultAnswerMemory.
	AnswerMemory int64
}

// Dispatcher executes requests. Create it with New.
type Dispatcher struct {
	opts    Options
	claims  *batcher[message.ClaimItem, message.ClaimItemResult]
	settles *batcher[message.SettleItem, bool]
	answers *answerMemory
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	if opts.AnswerMemory == 0 {
		opts.AnswerMemory = DefaultAnswerMemory
	}
	return &Dispatcher{
		opts: opts, claims: newClaimBatcher(opts.BaseContext, opts.Control), settles: newSettleBatcher(opts.BaseContext, opts.Control),
		answers: &answerMemory{limit: opts.AnswerMemory},
	}
}

// Do executes a request and returns its result. If ctx ends, an idempotent request is canceled. A
// request that runs at most once continues until its own end or deadline, although no caller waits
// for the result, so that its claim is settled if it ends in time.
func (d *Dispatcher) Do(ctx context.Context, work Work, sink Sink) Result {
	if work.AtMostOnce {
		ctx = d.opts.BaseContext
	}
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	return d.execute(ctx, work, sink, execution.New(newSpec(work), d.opts.Retrier))
}

// Refuse ends a request with a refusal. If the caller chose the request's key and the
// ledger knows of an earlier submission under it, the result of that one is returned
// instead.
func (d *Dispatcher) Refuse(ctx context.Context, work Work, sink Sink, refusal execution.Result) Result {
	if !work.CallerKey {
		return Result{Result: refusal}
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerCheckTimeout)
	defer cancel()
	work.Deadline = time.Now().Add(ledgerCheckTimeout)
	return d.execute(ctx, work, sink, execution.NewRefusal(newSpec(work), d.opts.Retrier, refusal))
}

// execute executes a request. Its answer counts until it is returned; the server of callers counts what is written.
func (d *Dispatcher) execute(ctx context.Context, work Work, sink Sink, machine *execution.Machine) Result {
	e := &executor{dispatcher: d, work: work, progress: answerProgress{work: work, sink: sink, memory: d.answers}}
	defer func() { d.answers.release(e.progress.reserved) }()
	return e.run(ctx, machine)
}

func newSpec(work Work) execution.Spec {
	return execution.Spec{
		Request: work.ID, Team: work.Team, Deadline: work.Deadline,
		AtMostOnce: work.AtMostOnce, Key: work.Key, KeyHash: work.KeyHash, CallerKey: work.CallerKey,
	}
}

// executor performs the actions that the state machine of one request decides.
type executor struct {
	dispatcher *Dispatcher
	work       Work
	progress   answerProgress
	route      Route
	// target is that of the last attempt.
	target execution.Target
}

func (e *executor) run(ctx context.Context, machine *execution.Machine) Result {
	action := machine.Start()
	for {
		if finish, ok := action.(execution.Finish); ok {
			return e.result(finish.Result)
		}
		result := e.perform(ctx, action)
		action = machine.Step(time.Now(), result)
		e.logDecision(result, action)
	}
}

func (e *executor) result(r execution.Result) Result {
	result := Result{Result: r, FinishReason: e.progress.end.FinishReason, Usage: e.progress.usage()}
	// r has an answer if that comes from the ledger or from an agent's memory, and a code if
	// it is not kept there any more. Otherwise the answer is the one that was received.
	if r.Outcome == request.OutcomeComplete && r.Answer == nil && r.Code == "" {
		result.Answer = e.progress.answer()
	}
	if err := e.progress.deliverRest(result.Answer); err != nil {
		result.Answer = nil
	}
	return result
}

func (e *executor) perform(ctx context.Context, a execution.Action) execution.Event {
	switch a := a.(type) {
	case execution.Route:
		return e.pickRoute(a)
	case execution.Claim:
		return e.claim(ctx, a)
	case execution.Dispatch:
		return e.runAttempt(ctx, a)
	case execution.Ask:
		return e.askAgent(ctx, a)
	case execution.Settle:
		e.settle(a)
		return execution.Settled{}
	case execution.Wait:
		pause.For(ctx, a.For)
		return execution.Waited{}
	}
	return execution.Ended{Kind: execution.EndLost, Code: execution.CodeEndpointFailed}
}

func (e *executor) pickRoute(a execution.Route) execution.Event {
	route, err := e.dispatcher.opts.Router.Route(time.Now(), e.work, a.Exclude)
	var unroutable ErrUnroutable
	switch {
	case err == nil:
		e.route = route
		return execution.Routed{Target: route.Target}
	case errors.As(err, &unroutable):
		return execution.Unroutable{
			Code: unroutable.Code, Reason: unroutable.Reason,
			RetryAfter: unroutable.RetryAfter, Final: unroutable.Final, Restricted: unroutable.Restricted,
		}
	default:
		return execution.Unroutable{Code: execution.CodeNoReplica, Reason: err.Error()}
	}
}

func (e *executor) claim(ctx context.Context, a execution.Claim) execution.Event {
	result, err := e.dispatcher.claims.submit(ctx, a.Item)
	if err != nil {
		e.endAttempt(AttemptEnd{Kind: execution.EndNotRun, Code: execution.CodeNoControl, CachedTokens: -1})
		return execution.ClaimFailed{Reason: err.Error()}
	}
	if result.State != message.ClaimGranted {
		e.endAttempt(AttemptEnd{Kind: execution.EndNotRun, CachedTokens: -1})
	}
	return execution.Claimed{Result: result}
}

func (e *executor) settle(a execution.Settle) {
	ctx, cancel := context.WithTimeout(e.dispatcher.opts.BaseContext, settleTimeout)
	defer cancel()
	// If the settlement is lost, the claim remains as it was, and a resend asks the
	// agent. The answer is then lost only if the agent has restarted or dropped it.
	_, _ = e.dispatcher.settles.submit(ctx, a.Item)
}

func (e *executor) endAttempt(end AttemptEnd) {
	if e.route.OnEnd != nil {
		e.route.OnEnd(end)
	}
	e.route = Route{}
}
