package server

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/egretreach/egretreach/internal/agent/engine"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// LimitHeader is the response header in which an endpoint names the number of requests a second that it takes, for as
// long as its responses say so.
const LimitHeader = "Egretreach-Limit"

const (
	// minEndpointLimit is the lowest limit, in requests a second: an endpoint that got none could never name another.
	minEndpointLimit = 0.1
	// limitBurstTime is how much of its limit an endpoint takes at once, besides one request.
	limitBurstTime = 500 * time.Millisecond
)

// endpointLimit keeps to the limit that one endpoint names. The agent is the only way to its endpoints, so that the
// limit holds for all entries together. The zero value is no limit. It is safe for concurrent use.
type endpointLimit struct {
	name   string
	logger *log.Logger

	mu sync.Mutex
	// limiter is nil without a limit. heardAt is when it was last named.
	limiter *rate.Limiter
	heardAt time.Time
}

// ErrLimited is returned for an attempt for which the endpoint's limit leaves no room.
type ErrLimited struct {
	// RetryAfter is the time until there is room for one more request.
	RetryAfter time.Duration
}

func (ErrLimited) Error() string { return "the endpoint's limit of requests a second is used up" }

// admit takes a request's place in the limit. It returns an ErrLimited if there is none.
func (l *endpointLimit) admit(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		return nil
	}
	place := l.limiter.ReserveN(now, 1)
	if delay := place.DelayFrom(now); delay > 0 {
		place.CancelAt(now)
		return ErrLimited{RetryAfter: delay}
	}
	return nil
}

// hear records the limit in a response to a request that was sent at sentAt, 0 if it names none. Only a response to
// work that was sent after the limit was last named can end it.
func (l *endpointLimit) hear(perSecond float64, isWork bool, sentAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case perSecond > 0 && l.limiter == nil:
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), limitBurst(perSecond))
	case perSecond > 0 && l.limiter.Limit() != rate.Limit(perSecond):
		l.limiter.SetLimitAt(now, rate.Limit(perSecond))
		l.limiter.SetBurstAt(now, limitBurst(perSecond))
	case perSecond > 0:
		l.heardAt = now
		return
	case l.limiter == nil || !isWork || !sentAt.After(l.heardAt):
		return
	default:
		l.limiter = nil
	}
	l.heardAt = now
	event.EndpointLimited.On(l.logger).Str("endpoint", l.name).Float64("per_second", perSecond).Msg("")
}

func limitBurst(perSecond float64) int { return 1 + int(perSecond*limitBurstTime.Seconds()) }

// limitTransport lets a limit hear the responses of its endpoint.
type limitTransport struct {
	next  http.RoundTripper
	limit *endpointLimit
	// isWork reports whether a request is work that the limit concerns.
	isWork func(*http.Request) bool
}

// RoundTrip implements http.RoundTripper.
func (t limitTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sentAt := time.Now()
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	perSecond, parseErr := strconv.ParseFloat(response.Header.Get(LimitHeader), 64)
	if parseErr != nil || !(perSecond >= 0) {
		perSecond = 0
	} else {
		perSecond = max(perSecond, minEndpointLimit)
	}
	t.limit.hear(perSecond, t.isWork(r), sentAt, time.Now())
	return response, nil
}

func isGeneration(r *http.Request) bool { return r.URL.Path == engine.PathGenerate }

func isServiceCall(*http.Request) bool { return true }
