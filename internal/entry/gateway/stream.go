package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// maxTries bounds the endpoints that are tried for one request, those that could not
	// be reached among them.
	maxTries = 4
	// resumePatience is how long a broken stream waits for room elsewhere: about what
	// its caller bears without an event.
	resumePatience = 1500 * time.Millisecond
)

// streaming is the state of a stream over all its attempts.
type streaming struct {
	*call
	// opened says that the caller has the head of the answer.
	opened bool
	// last is the ID of the last event that the caller has.
	last string
	// lost counts attempts that did not run, or whose endpoint has ended.
	lost    int
	unknown bool
	avoid   []string
	flusher *http.ResponseController
	// emitted is when the last event went out.
	emitted time.Time
}

// stream answers a request whose answer is a series of events.
func (c *call) stream(ctx context.Context) {
	c.counted()
	s := &streaming{call: c, flusher: http.NewResponseController(c.w)}
	s.last = c.r.Header.Get(c.g.opts.Dialect.Headers.LastEventID)
	for {
		a, d := c.acquire(ctx, s.need())
		if a == nil {
			s.noRoom(ctx, d)
			return
		}
		v, err := a.run(ctx, s.last)
		if v == verdictAnswered {
			err = s.pass(a)
			if err == nil {
				return
			}
			v = verdictUnknown
		}
		if a.result == 0 {
			a.result = balance.ResultInvalidResponse
		}
		a.failed(err)
		s.unknown = s.unknown || v == verdictUnknown
		if s.crashed(ctx, a) && !s.opened {
			s.giveUp(err, true)
			return
		}
		if !s.goOn(ctx, a, err) {
			return
		}
	}
}

func (s *streaming) need() balance.Request {
	patience := time.Duration(float64(s.route.Objective) * waitPart)
	switch {
	case s.opened:
		patience = resumePatience
	case s.unknown:
		patience = s.route.Objective // It is late already; a failure would be worse.
	}
	n := s.call.need(patience)
	n.Exclude, n.Resumed = s.avoid, s.opened
	return n
}

// goOn decides whether the stream is tried at another endpoint. If not, it ends it.
func (s *streaming) goOn(ctx context.Context, a *attempt, err error) bool {
	s.avoid = append(s.avoid, a.endpoint.ID)
	if a.result == balance.ResultWrongEndpoint || a.result == balance.ResultOverloaded || s.gone(a) {
		s.lost++
	}
	again := ctx.Err() == nil && (!s.unknown || s.route.Retryable()) &&
		s.trail.sends-s.lost < max(s.route.MaxAttempts, 1) && s.trail.tries < maxTries && s.mayRepeat()
	if again {
		if s.opened {
			s.trail.resumes++
			s.g.metrics.resumed.Inc(1)
			event.StreamResumed.On(s.g.opts.Logger).Str("request", s.id).Str("from", a.endpoint.ID).Str("last", s.last).Msg("")
		}
		return true
	}
	switch {
	case s.r.Context().Err() != nil:
		s.leave()
	case s.opened:
		s.cut(err.Error())
	case ctx.Err() != nil:
		s.timeUp(ctx, err.Error())
	default:
		s.giveUp(err, s.unknown)
	}
	return false
}

// gone reports whether the endpoint of an attempt is known to have ended.
func (s *streaming) gone(a *attempt) bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.balancer.Gone(a.endpoint.ID)
}

// noRoom ends a stream for which there is no endpoint.
func (s *streaming) noRoom(ctx context.Context, d balance.Decision) {
	if s.opened {
		if s.r.Context().Err() != nil {
			s.leave()
			return
		}
		s.cut("no endpoint to resume it: " + d.Reason)
		return
	}
	s.refused(ctx, d, s.unknown)
}

// pass passes the events of one attempt on. It returns nil if the answer is over, and an
// error if the stream may go on elsewhere.
func (s *streaming) pass(a *attempt) error {
	answer := a.exchange.Response
	if answer.StatusCode != http.StatusOK {
		return s.passFailure(a)
	}
	events := upstream.NewEventReader(a.exchange)
	for {
		e, err := events.Next()
		switch {
		case errors.Is(err, io.EOF):
			return s.finish(a)
		case err != nil:
			return err
		}
		s.received(a)
		if e.ID != "" && !later(e.ID, s.last) {
			continue
		}
		if s.emit(answer, e, !events.Buffered()) != nil {
			return s.callerLeft(a)
		}
	}
}

// callerLeft ends an attempt whose caller takes no more; there is nothing to go on with.
func (s *streaming) callerLeft(a *attempt) error {
	a.end(balance.ResultCanceled)
	s.leave()
	return nil
}

// received tells the board of an event.
func (s *streaming) received(a *attempt) {
	now := time.Now()
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if a.streamed {
		s.g.balancer.DataReceived(a.endpoint.ID, now)
		return
	}
	a.streamed = true
	s.g.balancer.FirstEventReceived(a.endpoint.ID, a.need, a.forecast, now.Sub(a.began), now)
}

// later reports whether an event's ID is above the last one's.
func later(id, last string) bool {
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

func (s *streaming) emit(answer *http.Response, e upstream.Event, flush bool) error {
	if !s.opened {
		s.opened = true
		s.trail.first = time.Since(s.began)
		s.copyHeader(answer.Header)
		s.w.WriteHeader(answer.StatusCode)
	}
	if _, err := s.w.Write(e.Bytes); err != nil {
		return err
	}
	s.trail.events++
	now := time.Now()
	if !s.emitted.IsZero() {
		s.trail.pause = max(s.trail.pause, now.Sub(s.emitted))
	}
	s.emitted = now
	if e.ID != "" {
		s.last = e.ID
	}
	if !flush {
		return nil
	}
	return s.flusher.Flush()
}

// finish ends a stream that its endpoint has ended.
func (s *streaming) finish(a *attempt) error {
	if !s.opened {
		s.copyHeader(a.exchange.Response.Header)
		s.w.WriteHeader(a.exchange.Response.StatusCode)
	}
	a.end(balance.ResultSuccess)
	s.g.metrics.answered.Inc(1)
	s.observe()
	s.line(event.RequestAnswered).Int("status", http.StatusOK).Msg("")
	return nil
}

// passFailure gives the caller an endpoint's own failure, unless another attempt is due.
func (s *streaming) passFailure(a *attempt) error {
	answer := a.exchange.Response
	body, err := a.body()
	if err != nil {
		return err
	}
	again := a.result == balance.ResultServerError && s.route.Retryable() && s.trail.sends-s.lost < s.route.MaxAttempts
	if s.opened || again {
		return errAnswer{"the endpoint answered " + strconv.Itoa(answer.StatusCode)}
	}
	s.deliver(a, body)
	return nil
}
