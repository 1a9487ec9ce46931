package server

import (
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// warmUp keeps to the warm-up limit of one endpoint. The agent is the only way to its endpoints, so that the limit holds
// for all entries together. The zero value is an endpoint that is warm. It is safe for concurrent use.
type warmUp struct {
	name   string
	logger *log.Logger

	mu sync.Mutex
	// coldSince is when the endpoint last started or returned.
	coldSince time.Time
	// lost is true while the endpoint does not answer.
	lost bool
	// limiter is nil until the first request of a cold endpoint.
	limiter *rate.Limiter
}

// The causes of a warm-up.
const (
	warmUpStart      = "start"
	warmUpReturn     = "return"
	warmUpWithdrawal = "evacuation_withdrawn"
)

// begin records that the endpoint is cold from now on, because of cause.
func (w *warmUp) begin(now time.Time, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldSince = now
	event.WarmUpStarted.On(w.logger).Str("endpoint", w.name).Str("cause", cause).Msg("")
}

// observe records whether the endpoint has answered. One that answers after it had not is cold from then on.
func (w *warmUp) observe(answered bool, now time.Time) {
	w.mu.Lock()
	returned := answered && w.lost
	w.lost = !answered
	w.mu.Unlock()
	if returned {
		w.begin(now, warmUpReturn)
	}
}

// admit takes a request's place in the limit. It returns an ErrLimited if there is none. An endpoint that does not answer
// is cold, as it may come back at any moment.
func (w *warmUp) admit(now time.Time, limit config.WarmUp) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	isCold := w.lost || now.Before(w.coldSince.Add(limit.Time))
	if limit.Time <= 0 || !isCold {
		return nil
	}
	if w.limiter == nil {
		w.limiter = rate.NewLimiter(rate.Limit(limit.RequestsPerSecond), limitBurst(limit.RequestsPerSecond))
	}
	if w.limiter.Limit() != rate.Limit(limit.RequestsPerSecond) {
		w.limiter.SetLimitAt(now, rate.Limit(limit.RequestsPerSecond))
		w.limiter.SetBurstAt(now, limitBurst(limit.RequestsPerSecond))
	}
	place := w.limiter.ReserveN(now, 1)
	if delay := place.DelayFrom(now); delay > 0 {
		place.CancelAt(now)
		return ErrLimited{RetryAfter: delay}
	}
	return nil
}

// admitColdLocked takes the place of an attempt in the warm-up limit of its endpoint.
func (s *Server) admitColdLocked(d *message.Dispatch, now time.Time) error {
	if s.fleet == nil {
		return nil
	}
	if d.Generate != nil {
		assigned, _, _ := s.gate.AssignedReplica()
		deployment, _ := s.fleet.Deployment(assigned.Spec.Deployment)
		return s.engineWarmUp.admit(now, deployment.WarmUp)
	}
	service, _ := s.fleet.Service(d.Call.Service)
	return s.serviceWarmUps[d.Call.Service].admit(now, service.WarmUp)
}

// checkWithdrawalLocked begins the warm-up of all endpoints if the evacuation of this host's failure domain was withdrawn.
func (s *Server) checkWithdrawalLocked(now time.Time) {
	evacuated := s.session.Evacuated().Contains(s.opts.Info.FailureDomain)
	withdrawn := s.wasEvacuated && !evacuated
	s.wasEvacuated = evacuated
	if !withdrawn {
		return
	}
	if s.engineWarmUp != nil {
		s.engineWarmUp.begin(now, warmUpWithdrawal)
	}
	for _, w := range s.serviceWarmUps {
		w.begin(now, warmUpWithdrawal)
	}
}

// warmUpTransport lets a warm-up observe whether its plain service answers.
type warmUpTransport struct {
	next   http.RoundTripper
	warmUp *warmUp
}

// RoundTrip implements http.RoundTripper.
func (t warmUpTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if r.Context().Err() == nil {
		t.warmUp.observe(err == nil, time.Now())
	}
	return response, err
}
