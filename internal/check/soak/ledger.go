package main

import (
	"fmt"
	"sync"
	"time"
)

// ledger holds what back ends did and what callers got, and the promises that were broken.
type ledger struct {
	mu sync.Mutex
	// runs are the back ends that began each request, finished those that wrote it whole.
	runs     map[string][]string
	finished map[string]time.Time
	// notRun are requests that may not repeat and were refused as not run.
	notRun map[string]string
	unsafe map[string]bool
	broken []string
	counts map[string]int
}

func newLedger() *ledger {
	return &ledger{
		runs: map[string][]string{}, finished: map[string]time.Time{}, notRun: map[string]string{},
		unsafe: map[string]bool{}, counts: map[string]int{},
	}
}

// RequestStarted implements standin.Observer.
func (l *ledger) RequestStarted(request, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request] = append(l.runs[request], server)
	if len(l.runs[request]) > 1 && l.unsafe[request] {
		l.breakLocked("%s may run at most once and ran on %v", request, l.runs[request])
	}
	if reason, refused := l.notRun[request]; refused {
		l.breakLocked("%s was refused (%s) and ran later on %s", request, reason, server)
	}
}

// RequestFinished implements standin.Observer.
func (l *ledger) RequestFinished(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished[request] = time.Now()
}

// sent notes a request that may run once at most.
func (l *ledger) sent(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsafe[request] = true
}

// refused notes an answer that says that the request has not run. For one that may not
// repeat that must be true, now and later.
func (l *ledger) refused(request, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unsafe[request] {
		return
	}
	l.notRun[request] = reason
	if ran := l.runs[request]; len(ran) > 0 {
		l.breakLocked("%s was refused (%s) though it had run on %v", request, reason, ran)
	}
}

// ranOn returns the back ends that began a request, and when one finished it.
func (l *ledger) ranOn(request string) ([]string, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[request], l.finished[request]
}

// count adds to a named count of the report.
func (l *ledger) count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// breaks notes a broken promise.
func (l *ledger) breaks(format string, parts ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakLocked(format, parts...)
}

func (l *ledger) breakLocked(format string, parts ...any) {
	at := time.Now().UTC().Format("15:04:05.000")
	l.broken = append(l.broken, at+" "+fmt.Sprintf(format, parts...))
}
