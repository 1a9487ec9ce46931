package portal

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// proposeTimeout bounds the proposal of a change to the log.
	proposeTimeout = 2 * time.Second
	// judgeInterval is the least time between two judgements of the crashes.
	judgeInterval = 100 * time.Millisecond
)

// countCrashes records the crashes and completed requests that a gateway reports. mu is held.
func (p *Portal) countCrashes(gateway host.ID, r *message.GatewayReport, now time.Time) {
	added := p.holds.Add(gateway, r.Evidence, now)
	added.Log(p.opts.Logger, gateway, now)
	if len(added.Crashes) > 0 {
		p.metrics.crashes.Inc(int64(added.Endpoints()))
		p.notifyLocked()
	}
}

// followHolds takes over the held keys of the log while another host leads.
func (p *Portal) followHolds(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds.StepDown()
	p.holds.Sync(p.machine.Holds(), now)
}

// judgeHolds decides which keys of requests are held back and proposes the changes to the log.
func (p *Portal) judgeHolds(ctx context.Context, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.judgedAt) < judgeInterval {
		return
	}
	p.judgedAt = now
	p.holds.Sync(p.machine.Holds(), now)
	for _, c := range p.holds.Evaluate(now) {
		p.logHold(c)
		p.notifyLocked()
	}
	for _, h := range p.holds.Due(now) {
		go p.proposeHold(ctx, h)
	}
}

// logHold logs and counts a decision about a held key.
func (p *Portal) logHold(c quarantine.HoldChange) {
	c.Log(p.opts.Logger)
	switch c.Cause.(type) {
	case quarantine.Opened, quarantine.ProbeFailed:
		p.metrics.held.Inc(1)
	case quarantine.Released:
		p.metrics.released.Inc(1)
	}
}

// proposeHold proposes a change of a key's hold to the log. It is proposed again while it is not committed.
func (p *Portal) proposeHold(ctx context.Context, h quarantine.Hold) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command, err := portalstate.EncodeHold(h)
	if err == nil {
		err = p.proposeCommand(ctx, command)
	}
	if err != nil {
		event.HoldUnsure.On(p.opts.Logger).Str("key", quarantine.FormatKey(h.Key)).Int("strikes", h.Failures).Err(err).Msg("")
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
