package portal

import (
	"context"
	"strconv"
	"time"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// proposeTimeout bounds the proposal of a change to the log.
const proposeTimeout = 2 * time.Second

// countCrashes records the crashes and completed requests that a gateway reports. mu is held.
func (p *Portal) countCrashes(gateway host.ID, r *message.GatewayReport, now time.Time) {
	for _, c := range p.holds.add(gateway, r, now) {
		p.metrics.crashes.Inc(1)
		event.CrashCounted.On(p.opts.Logger).Str("endpoint", c.Endpoint).Int64("started", c.StartedMs).Str("gateway", string(gateway)).
			Str("scope", c.Scope).Dur("age", c.Age).Int("requests", c.Requests).Int("suspects", len(c.Suspects)).Int("completed", c.Completed).Msg("")
		p.notifyLocked()
	}
}

// followHolds takes over the held keys of the log while another host leads.
func (p *Portal) followHolds(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds.stepDown()
	p.holds.sync(p.machine.Holds(), now)
}

// judgeHolds decides which keys of requests are held back and proposes the changes to the log.
func (p *Portal) judgeHolds(ctx context.Context, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds.sync(p.machine.Holds(), now)
	for _, c := range p.holds.judge(now) {
		p.logHold(c)
		p.notifyLocked()
	}
	for _, h := range p.holds.due(now) {
		go p.proposeHold(ctx, h)
	}
}

// formatKey formats the key of requests as all logs have it.
func formatKey(key uint64) string { return strconv.FormatUint(key, 16) }

func (p *Portal) logHold(c holdChange) {
	key := formatKey(c.key)
	switch cause := c.cause.(type) {
	case blamed:
		p.metrics.held.Inc(1)
		event.RequestHeldBack.On(p.opts.Logger).Str("key", key).Str("scope", cause.Scope).Bool("whole", cause.Whole).
			Int("crashes", cause.Crashes).Int("others", cause.Others).Float64("chance", cause.Chance).Int("strikes", 1).Dur("for", firstHold).Msg("")
	case trialFailed:
		p.metrics.held.Inc(1)
		event.RequestHeldBack.On(p.opts.Logger).Str("key", key).Int("strikes", cause.strikes).Dur("for", holdTime(cause.strikes)).Msg("")
	case trialStarted:
		event.HoldTrial.On(p.opts.Logger).Str("key", key).Str("gateway", string(cause.gateway)).Uint64("trial", cause.number).Msg("")
	case holdReleased:
		p.metrics.released.Inc(1)
		event.HoldEnded.On(p.opts.Logger).Str("key", key).Str("reason", cause.reason).Msg("")
	}
}

// proposeHold proposes a change of a key's hold to the log. It is proposed again while it is not committed.
func (p *Portal) proposeHold(ctx context.Context, h portalstate.Hold) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command, err := h.Encode()
	if err == nil {
		err = p.proposeCommand(ctx, command)
	}
	if err != nil {
		event.HoldUnsure.On(p.opts.Logger).Str("key", formatKey(h.Key)).Int("strikes", h.Strikes).Err(err).Msg("")
	}
}

// proposeCommand proposes a command to the log, and returns nil once it is committed.
func (p *Portal) proposeCommand(ctx context.Context, command []byte) error {
	l := p.currentLog()
	if l == nil {
		return ErrUnavailable{Reason: "the replicated log does not run here"}
	}
	_, err := l.Propose(ctx, command)
	return err
}
