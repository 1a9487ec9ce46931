package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// recorder records what endpoints and callers report, and the violations of guarantees found.
type recorder struct {
	mu sync.Mutex
	// runs lists the endpoints that started each request. finished holds the time at which one
	// had written the complete response.
	runs     map[string][]string
	finished map[string]time.Time
	// notRun holds the reasons of refused unsafe requests, which say that the request has not
	// run.
	notRun map[string]string
	// unsafe is the set of requests that must run at most once.
	unsafe     map[string]bool
	violations []string
	counts     map[string]int
	notices    noticeCheck
	poison     poisonCheck
	limits     limitCheck
	departures departures
	// inTouch reports whether a gateway and control were undisturbed for a while before a time.
	inTouch func(g *process, at time.Time) bool
}

func newRecorder() *recorder {
	return &recorder{
		runs: map[string][]string{}, finished: map[string]time.Time{}, notRun: map[string]string{},
		unsafe: map[string]bool{}, counts: map[string]int{},
	}
}

// RequestArrived implements standin.Observer.
func (r *recorder) RequestArrived(request, endpoint string) {
	r.departures.arrived(request, endpoint, time.Now())
	for _, violation := range r.notices.arrived(request, endpoint, time.Now()) {
		r.reportViolation("%s", violation)
	}
	if r.poison.arrived(request, r.inTouch) {
		r.reportViolation("BUDGET %s is the fourth with the bad part to reach an endpoint, %s, long after the fifth crash", request, endpoint)
	}
	if violation := r.limits.arrived(request, endpoint, time.Now()); violation != "" {
		r.reportViolation("%s", violation)
	}
}

// RequestRefused implements standin.Observer.
func (r *recorder) RequestRefused(request, endpoint string, until time.Time) {
	r.count("refused by a busy endpoint")
	r.notices.refused(request, endpoint, time.Now(), until)
}

// RequestStarted implements standin.Observer.
func (r *recorder) RequestStarted(request, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request] = append(r.runs[request], server)
	if len(r.runs[request]) > 1 && r.unsafe[request] {
		r.violationLocked("%s may run at most once and ran on %v", request, r.runs[request])
	}
	if reason, refused := r.notRun[request]; refused {
		r.violationLocked("%s was refused (%s) and ran later on %s", request, reason, server)
	}
}

// RequestFinished implements standin.Observer.
func (r *recorder) RequestFinished(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished[request] = time.Now()
}

// recordUnsafe records the sending of a request that must run at most once.
func (r *recorder) recordUnsafe(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsafe[request] = true
}

// recordRefusal records a refusal. An unsafe request that was refused must neither have run nor
// run later.
func (r *recorder) recordRefusal(request, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unsafe[request] {
		return
	}
	r.notRun[request] = reason
	if ran := r.runs[request]; len(ran) > 0 {
		r.violationLocked("%s was refused (%s) though it had run on %v", request, reason, ran)
	}
}

// ranOn returns the endpoints that started a request, and the time at which one finished it.
func (r *recorder) ranOn(request string) ([]string, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[request], r.finished[request]
}

// count increments a counter of the report.
func (r *recorder) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// reportViolation records the violation of a guarantee.
func (r *recorder) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violationLocked(format, args...)
}

func (r *recorder) violationLocked(format string, args ...any) {
	at := time.Now().UTC().Format("15:04:05.000")
	r.violations = append(r.violations, at+" "+strings.ReplaceAll(fmt.Sprintf(format, args...), idUnit, ""))
}
