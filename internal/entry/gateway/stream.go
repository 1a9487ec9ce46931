package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/overload"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// maxTries bounds the endpoints that are tried for one request, including those that could
	// not be reached.
	maxTries = 4
	// maxResumeQueueWait is how long an interrupted stream waits for capacity elsewhere. It is about
	// the longest gap between two events that a caller tolerates.
	maxResumeQueueWait = 1500 * time.Millisecond
)

// streamCall is the state of a stream over all its attempts.
type streamCall struct {
	*call
	// headerSent says that the response's header has been sent to the caller.
	headerSent bool
	// mediaType is that of the response, once its header has been sent.
	mediaType string
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID string
	flusher     *http.ResponseController
	// lastEventAt is when the last event was sent to the caller.
	lastEventAt time.Time
}

// serveStream serves a request whose response is a stream of events. If the stream is
// interrupted it is resumed at another endpoint.
func (c *call) serveStream(ctx context.Context) {
	c.countRequest()
	s := &streamCall{call: c, flusher: http.NewResponseController(c.w)}
	s.lastEventID = c.r.Header.Get(c.g.opts.Dialect.Headers.LastEventID)
	defer s.endStandby()
	policy := retryPolicy{plan: s.plan, noRetryReason: s.noRetryReason}
	for {
		r := s.next(ctx, policy, func(a *attempt) {
			a.onSilence = func() bool { return s.replace(ctx, a, policy) }
		})
		if r.attempt == nil {
			s.endWithoutCapacity(ctx, r.decision)
			return
		}
		if r.outcome == outcomeAnswered {
			s.endSilenceStandby()
			r.outcome, r.err = outcomeUnknown, s.forwardEvents(r.attempt)
			if r.err == nil {
				return
			}
		}
		s.recordFailure(r)
		if s.mayHaveCrashed(ctx, r.attempt) && !s.headerSent {
			s.giveUp(r.err, true)
			return
		}
		if !s.retryOrEnd(ctx, r.attempt, r.err) {
			return
		}
	}
}

// plan returns the plan for the next attempt. Its wait for capacity depends on what has been sent
// to the caller.
func (s *streamCall) plan() attemptPlan {
	maxWait := time.Duration(float64(s.route.Objective) * maxQueueShare)
	switch {
	case s.headerSent:
		maxWait = maxResumeQueueWait
	case s.mayHaveRun:
		maxWait = s.route.Objective // The request is late already, but a late response is better than none.
	}
	req := s.balanceRequest(maxWait)
	req.Exclude, req.Resumed = s.excluded, s.headerSent
	return attemptPlan{request: req, lastEventID: s.lastEventID}
}

// retryOrEnd reports whether to try another endpoint after a failed attempt. If not, it ends
// the stream.
func (s *streamCall) retryOrEnd(ctx context.Context, a *attempt, err error) bool {
	if s.endpointCrashed(ctx, a) {
		s.lostAttempts++
	}
	if s.standby == nil {
		s.stats.noRetry = s.noRetryReason(ctx)
		if s.stats.noRetry == "" && !s.tryRetry() {
			s.stats.noRetry = reasonBudget
		}
	}
	if s.standby != nil || s.stats.noRetry == "" {
		if s.headerSent {
			// The next endpoint may not be known yet, so the stream may still not be resumed.
			s.stats.resumes++
			s.g.metrics.resumed.Inc(1)
			event.StreamResumed.On(s.g.opts.Logger).Str("request", s.id).Str("from", a.endpoint.ID).Str("last", s.lastEventID).Msg("")
		}
		return true
	}
	switch {
	case s.r.Context().Err() != nil:
		s.callerLeft()
	case s.headerSent:
		s.abort(err.Error())
	case ctx.Err() != nil:
		s.failUnanswered(ctx, err.Error())
	default:
		s.giveUp(err, s.mayHaveRun)
	}
	return false
}

// endpointCrashed reports whether the endpoint of a stream that has begun is found to have crashed
// before control has reported it.
func (s *streamCall) endpointCrashed(ctx context.Context, a *attempt) bool {
	return a.streamed && !s.endpointGone(a) && s.hasCrashed(ctx, a)
}

// noRetryReason returns why the stream must not be tried at another endpoint, or an empty string if
// it may be, as far as the retry budget allows.
func (s *streamCall) noRetryReason(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return reasonEnded
	case s.withheld == reasonUnconfirmed:
		return reasonUnconfirmed
	case s.crashed && !s.headerSent, s.crashCount >= maxCrashCount:
		return reasonCrashed
	case s.mustNotRepeat():
		return reasonHeld
	case s.mayHaveRun && !s.route.Retryable():
		return reasonOnce
	case s.sends()-s.lostAttempts >= max(s.route.MaxAttempts, 1):
		return reasonAttempts
	case s.stats.tries >= maxTries:
		return reasonTries
	}
	return ""
}

// endWithoutCapacity ends a stream that the balancer has refused.
func (s *streamCall) endWithoutCapacity(ctx context.Context, d balance.Decision) {
	if s.headerSent {
		if s.r.Context().Err() != nil {
			s.callerLeft()
			return
		}
		s.abort("no endpoint to resume it: " + d.Reason)
		return
	}
	s.refuseBy(ctx, d)
}

// forwardEvents sends the events of one attempt to the caller, without those that the caller
// has already. It returns nil once the stream has ended, or an error if it may be resumed
// elsewhere.
func (s *streamCall) forwardEvents(a *attempt) error {
	response := a.exchange.Response
	if response.StatusCode != http.StatusOK {
		return s.forwardFailure(a)
	}
	if got := mediaType(response.Header); s.headerSent && got != s.mediaType {
		return errUnusableResponse{"the endpoint resumed a stream of " + s.mediaType + " as " + got}
	}
	for {
		e, err := a.nextEvent()
		if err == nil || errors.Is(err, io.EOF) {
			s.endStandby()
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.finishStream(a)
		case err != nil:
			return err
		}
		s.eventReceived(a)
		if e.ID != "" && !isLaterEvent(e.ID, s.lastEventID) {
			continue
		}
		if s.writeEvent(response, e, !a.eventReader().Buffered()) != nil {
			return s.endByCaller(a)
		}
	}
}

// endByCaller ends the attempt of a caller that has left. It returns nil, since the stream is
// not resumed.
func (s *streamCall) endByCaller(a *attempt) error {
	a.end(balance.ResultCanceled)
	s.callerLeft()
	return nil
}

// eventReceived reports an event to the balancer.
func (s *streamCall) eventReceived(a *attempt) {
	now := time.Now()
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if a.streamed {
		s.g.balancer.DataReceived(a.endpoint.ID, now)
		a.recordLasting(now)
		return
	}
	a.streamed, a.firstEventAt, a.hedge = true, now, nil
	a.observeAnswer(now)
	s.g.balancer.FirstEventReceived(a.endpoint.ID, a.balanceRequest, a.decision.Forecast, now.Sub(a.startedAt), now)
}

const (
	// noEventForecasts is the multiple of the forecast time to the first event after which the endpoint of a stream without an event counts
	// as silent. A forecast omits the load that other gateways have sent in the meantime.
	noEventForecasts = 4
	// noEventPatience is the part of the callers' timeout without an event that must also have passed. An endpoint that is slow under load
	// is not silent: retrying its requests elsewhere adds to the load.
	noEventPatience = 0.5
)

// sendsNoEvent reports whether the endpoint of a stream has sent this gateway nothing since the attempt began, or since its response began,
// for longer than noEventForecasts and noEventPatience allow. The balancer detects a stalled endpoint only by its other streams.
func (a *attempt) sendsNoEvent(now time.Time) bool {
	route := a.call.route
	if a.streamed || route.Kind != routes.KindStream {
		return false
	}
	patience := time.Duration(noEventPatience * float64(overload.Patience(route.Objective, route.MaxEventGap)))
	return a.silentFor(now) > max(patience, noEventForecasts*a.decision.Forecast)
}

// mediaType returns the media type of a response in lower case, without parameters, or "no type".
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	if name = strings.TrimSpace(name); name == "" {
		return "no type"
	}
	return strings.ToLower(name)
}

// isLaterEvent reports whether an event's ID is above that of the last one. IDs that are not
// numbers only have to differ.
func isLaterEvent(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}

// writeEvent sends an event to the caller, with the response's header before the first one.
func (s *streamCall) writeEvent(response *http.Response, e upstream.Event, flush bool) error {
	if !s.headerSent {
		s.headerSent, s.mediaType = true, mediaType(response.Header)
		s.stats.timeToFirst = time.Since(s.arrivedAt)
		s.copyResponseHeader(response.Header)
		s.w.WriteHeader(response.StatusCode)
	}
	if _, err := s.w.Write(e.Bytes); err != nil {
		return err
	}
	s.stats.events++
	now := time.Now()
	if !s.lastEventAt.IsZero() {
		s.stats.maxGap = max(s.stats.maxGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	if e.ID != "" {
		s.lastEventID = e.ID
	}
	if !flush {
		return nil
	}
	return s.flusher.Flush()
}

// finishStream completes a stream that its endpoint has ended.
func (s *streamCall) finishStream(a *attempt) error {
	if !s.headerSent {
		s.copyResponseHeader(a.exchange.Response.Header)
		s.w.WriteHeader(a.exchange.Response.StatusCode)
	}
	a.end(balance.ResultSuccess)
	s.g.metrics.answered.Inc(1)
	s.observeTimes()
	s.logEntry(event.RequestAnswered).Int("status", http.StatusOK).Msg("")
	return nil
}

// forwardFailure passes on a response with a status other than 200. It returns an error instead
// if the stream has begun or is to be retried.
func (s *streamCall) forwardFailure(a *attempt) error {
	response := a.exchange.Response
	body, err := a.readBody()
	if err != nil {
		return err
	}
	retry := a.result == balance.ResultServerError && s.route.Retryable() && s.stats.sends-s.lostAttempts < s.route.MaxAttempts
	if s.headerSent || retry {
		return errUnusableResponse{"the endpoint answered " + strconv.Itoa(response.StatusCode)}
	}
	s.endStandby()
	a.hedge = nil
	s.sendResponse(a, body)
	return nil
}
