package gateway

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// quarantineRetryAfter is the Retry-After of a quarantined request.
	quarantineRetryAfter = 2 * time.Second
	// maxUnreportedCrashes bounds the crashes kept for the next report to control. Further
	// ones are dropped.
	maxUnreportedCrashes = 64
)

// maxLoggedParts and maxLoggedPart bound the parts of a prompt in one log line, and each of them in bytes.
const (
	maxLoggedParts = 16
	maxLoggedPart  = 40
)

// logCrash logs that an attempt was broken off, and what can show why.
func (c *call) logCrash(a *attempt, refuses bool) {
	parts := make([]string, 0, maxLoggedParts)
	for _, part := range c.parts[:min(len(c.parts), maxLoggedParts)] {
		parts = append(parts, part[:min(len(part), maxLoggedPart)])
	}
	event.CrashSeen.On(c.g.opts.Logger).Str("request", c.id).Str("endpoint", a.endpoint.ID).Int64("started", a.endpoint.StartedMs).
		Bool("streamed", a.streamed).Bool("refuses", refuses).Strs("parts", parts).Msg("")
}

// crash is a crash of an endpoint with a request that the endpoint may have begun to run.
type crash struct {
	endpoint    string
	startedMs   int64
	fingerprint uint64
	at          time.Time
}

// fingerprint returns a hash of the request's team, method, target and body, which is the same
// when a caller resends it.
func (c *call) fingerprint() uint64 {
	h := xxh3.New()
	if c.team != nil {
		_, _ = h.WriteString(c.team.Name) // Writing to a hash never fails.
	}
	_, _ = h.WriteString("\n" + c.request.Method + " " + c.request.Target + "\n")
	_, _ = h.Write(c.request.Body)
	return h.Sum64()
}

// isQuarantined reports whether control has quarantined the request, because endpoints crashed
// while they ran it.
func (c *call) isQuarantined() bool {
	c.g.mu.Lock()
	none := len(c.g.quarantined) == 0
	c.g.mu.Unlock()
	if none {
		return false
	}
	fingerprint := c.fingerprint()
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.quarantined[fingerprint]
}

// mayHaveCrashed reports whether the request may have crashed its endpoint: the attempt ended
// with ResultInvalidResponse before an event had arrived, and nothing listens at the endpoint's
// address now. It records the crash for the next report to control. Such a request must not be
// retried, unless a part of the response has been sent to the caller already.
func (c *call) mayHaveCrashed(ctx context.Context, a *attempt) bool {
	if a.result != balance.ResultInvalidResponse || ctx.Err() != nil {
		return false
	}
	refuses := c.g.upstream.RefusesConnections(ctx, a.endpoint.Address)
	c.logCrash(a, refuses)
	if a.streamed || !refuses {
		return false
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if len(c.g.crashes) < maxUnreportedCrashes {
		c.g.crashes = append(c.g.crashes, crash{a.endpoint.ID, a.endpoint.StartedMs, c.fingerprint(), time.Now()})
	}
	return true
}
