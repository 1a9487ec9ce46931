package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/egretreach/egretreach/platform"
	"github.com/egretreach/egretreach/platform/standin"
)

const (
	// badPart is the part of a prompt that crashes endpoints, commonPart one that all prompts have.
	badPart    = "bad0bad0"
	commonPart = "c0ffee00"
	// poisonInterval is the mean time between two requests with badPart.
	poisonInterval = 700 * time.Millisecond
	// crashDownTime is how long after a crash under such a request another endpoint starts.
	crashDownTime = 1500 * time.Millisecond
	// crashLimit is the number of crashes after which, and settleTime later, maxLateSends requests with
	// badPart may still reach endpoints from gateways that are not disturbed.
	crashLimit   = 5
	maxLateSends = 3
	poisonPrefix = "bad-"
)

// poisonCheck checks that requests that share a part that crashes endpoints stop reaching endpoints. The zero value
// has seen nothing.
type poisonCheck struct {
	mu      sync.Mutex
	sent    map[string]sentRequest
	crashes int
	// lateAfter is the time from which requests that are sent count, once there were enough crashes.
	lateAfter time.Time
	late      int
}

func (p *poisonCheck) recordSent(request string, g *process, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent == nil {
		p.sent = map[string]sentRequest{}
	}
	p.sent[request] = sentRequest{gateway: g, at: at}
}

func (p *poisonCheck) recordCrash(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes++
	if p.crashes == crashLimit {
		p.lateAfter = at.Add(settleTime)
	}
}

// arrived reports whether a request that has reached an endpoint is the first one too many.
func (p *poisonCheck) arrived(request string, inTouch func(g *process, at time.Time) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.sent[request]
	if !ok || p.lateAfter.IsZero() || s.at.Before(p.lateAfter) || !inTouch(s.gateway, s.at) {
		return false
	}
	p.late++
	return p.late == maxLateSends+1
}

// inTouch reports whether a gateway and all portals were undisturbed for settleTime before a time.
func (t *testbed) inTouch(g *process, at time.Time) bool {
	for _, p := range append([]*process{g}, t.portals...) {
		if !p.undisturbed(at.Add(-settleTime)) {
			return false
		}
	}
	return true
}

// sendPoison sends requests with badPart to random gateways until ctx ends.
func (t *testbed) sendPoison(ctx context.Context, rng *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(poisonInterval)))
		g := t.gateways[rng.IntN(gatewayCount)]
		running.Go(func() { t.sendBad(context.WithoutCancel(ctx), g, fmt.Sprint(poisonPrefix, n)) })
	}
}

// sendBad sends one request with badPart. Its response doesn't matter.
func (t *testbed) sendBad(ctx context.Context, g *process, id string) {
	ctx, cancel := context.WithTimeout(ctx, plainDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.apiAddress()+standin.StreamPath(checkStreamEvents), strings.NewReader("body of "+id))
	if err != nil {
		t.recorder.reportViolation("compose request: %v", err)
		return
	}
	setCallerHeaders(r, id, plainDeadline)
	r.Header.Set(platform.Dialect().Headers.PromptParts, fmt.Sprintf("%s:40,%s:100,%s:300", commonPart, badPart, id))
	t.recorder.poison.recordSent(id, g, time.Now())
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // The stream breaks off when its endpoint crashes.
	_ = response.Body.Close()
}

// crashUnderRequest ends the endpoint because of a request, and starts another one later.
func (b *backend) crashUnderRequest(ctx context.Context) {
	b.testbed.log("%s crashes under a request", b.name)
	b.testbed.recorder.count("crashes by requests")
	b.testbed.recorder.poison.recordCrash(time.Now())
	b.crash()
	time.AfterFunc(crashDownTime, func() {
		if err := b.start(ctx); err != nil {
			b.testbed.recorder.reportViolation("%v", err)
		}
	})
}
