package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// limitWindow is the time in which the requests at an endpoint with a limit are counted. They may be
	// limitFactor times what the limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// minLimit and maxLimit bound the limits that endpoints name, in requests a second, minLimited and maxLimited
	// the time for which they do, and limitPause is the mean time between two of them.
	minLimit   = 4.0
	maxLimit   = 20.0
	minLimited = 6 * time.Second
	maxLimited = 9 * time.Second
	limitPause = 2 * time.Second
)

// limitCheck checks that endpoints with a limit don't get more from all gateways together. The zero value has seen
// nothing.
type limitCheck struct {
	mu     sync.Mutex
	limits map[string]*limitedTime
}

// limitedTime is the time for which an endpoint names a limit.
type limitedTime struct {
	perSecond   float64
	since, till time.Time
	arrivals    []time.Time
	reported    bool
}

func (l *limitCheck) begin(endpoint string, perSecond float64, since, till time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits == nil {
		l.limits = map[string]*limitedTime{}
	}
	l.limits[endpoint] = &limitedTime{perSecond: perSecond, since: since, till: till}
}

// arrived counts a request at an endpoint, and returns a violation, or "".
func (l *limitCheck) arrived(request, endpoint string, at time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.limits[endpoint]
	if w == nil || at.Before(w.since.Add(settleTime)) || at.After(w.till) {
		return ""
	}
	for len(w.arrivals) > 0 && at.Sub(w.arrivals[0]) > limitWindow {
		w.arrivals = w.arrivals[1:]
	}
	w.arrivals = append(w.arrivals, at)
	allowed := int(limitFactor*w.perSecond*limitWindow.Seconds()) + limitSlack
	if len(w.arrivals) <= allowed || w.reported {
		return ""
	}
	w.reported = true
	return fmt.Sprintf("LIMIT %s is number %d to reach %s in %v, which has named %.1f a second; allowed %d",
		request, len(w.arrivals), endpoint, limitWindow, w.perSecond, allowed)
}

// limitEndpoints lets random endpoints name limits for a while, until ctx ends.
func (t *testbed) limitEndpoints(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(limitPause)))
		b := t.backends[rng.IntN(backendCount)]
		perSecond := minLimit + rng.Float64()*(maxLimit-minLimit)
		b.limit(perSecond, minLimited+time.Duration(rng.Int64N(int64(maxLimited-minLimited))))
	}
}

// limit makes the endpoint name a limit for a duration.
func (b *backend) limit(perSecond float64, duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoint == nil || time.Now().Before(b.limitedTill) {
		return
	}
	b.testbed.log("%s names a limit of %.1f a second for %v", b.name, perSecond, duration)
	limited, now := b.endpoint, time.Now()
	b.limitedTill = now.Add(duration)
	b.testbed.recorder.limits.begin(b.endpointID(), perSecond, now, b.limitedTill)
	limited.Limit(perSecond)
	time.AfterFunc(duration, func() { limited.Limit(0) })
}
