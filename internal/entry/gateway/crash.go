package gateway

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/egretreach/egretreach/internal/entry/balance"
)

const (
	// heldBackTime is when a caller may ask again whose request is held back.
	heldBackTime = 2 * time.Second
	// maxCrashes bounds what is kept for the next report.
	maxCrashes = 64
)

// crash is a request that an endpoint had begun, or was about to, when it crashed.
type crash struct {
	endpoint    string
	born        int64
	fingerprint uint64
	at          time.Time
}

// fingerprint identifies a request that comes again: its team, method, target and body.
func (c *call) fingerprint() uint64 {
	h := xxh3.New()
	if c.team != nil {
		_, _ = h.WriteString(c.team.Name) // A hash takes everything.
	}
	_, _ = h.WriteString("\n" + c.request.Method + " " + c.request.Target + "\n")
	_, _ = h.Write(c.request.Body)
	return h.Sum64()
}

// heldBack reports whether endpoints have crashed under the request.
func (c *call) heldBack() bool {
	c.g.mu.Lock()
	none := len(c.g.heldBack) == 0
	c.g.mu.Unlock()
	if none {
		return false
	}
	fingerprint := c.fingerprint()
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.heldBack[fingerprint]
}

// crashed reports whether the request may have crashed its endpoint: it had not been
// answered when its connection broke, and nobody listens there now. It is then not sent
// anywhere else, and control is told.
func (c *call) crashed(ctx context.Context, a *attempt) bool {
	if a.result != balance.ResultInvalidResponse || a.streamed || !c.g.upstream.RefusesConnections(ctx, a.endpoint.Address) {
		return false
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if len(c.g.crashes) < maxCrashes {
		c.g.crashes = append(c.g.crashes, crash{a.endpoint.ID, a.endpoint.StartedMs, c.fingerprint(), time.Now()})
	}
	return true
}
