package gateway

import (
	"net/http"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/clock"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// minSuspension is the shortest suspension of the host after which permits of cold endpoints are dropped.
const minSuspension = 40 * time.Millisecond

// coldHandoverTime is the time after a subscription in which the gateways report to the control host which endpoints are cold.
const coldHandoverTime = time.Second

// warmUps is a gateway's state of the permits for cold endpoints. The zero value is that of a gateway without a subscription.
type warmUps struct {
	// report is the number of the latest report, and sentAt are the times of the latest reports by clock.Now, the oldest first.
	report uint64
	sentAt []sentReport
	// serial is the number of the latest grant of the control host.
	serial uint64
	// subscribedAt is when the gateway subscribed to the control host.
	subscribedAt time.Time
	// suspended is how long the host has been suspended.
	suspended time.Duration
}

type sentReport struct {
	number uint64
	at     time.Time
}

// begin returns the number of the next report, which is sent at now by clock.Now.
func (w *warmUps) begin(now time.Time) uint64 {
	w.report++
	for len(w.sentAt) > 0 && now.Sub(w.sentAt[0].at) > balance.WarmPermitTime {
		w.sentAt = w.sentAt[1:]
	}
	w.sentAt = append(w.sentAt, sentReport{w.report, now})
	return w.report
}

// age returns how old permits are at most that were granted after a report had arrived, and false if they are those of a message that
// came before.
func (w *warmUps) age(m *message.WarmUp, now time.Time) (time.Duration, bool) {
	if m.Serial <= w.serial {
		return 0, false
	}
	w.serial = m.Serial
	for _, r := range w.sentAt {
		if r.number == m.Report {
			return now.Sub(r.at), true
		}
	}
	return balance.WarmPermitTime, true
}

// applyCold applies control's list of cold endpoints and their permits. mu must be held.
func (g *Gateway) applyCold(update *message.Picture, now time.Time) {
	m := update.WarmUp
	if m == nil {
		return
	}
	age, valid := g.warmUps.age(m, clock.Now())
	named := map[string]bool{}
	for _, c := range m.Cold {
		named[c.Endpoint] = true
		grant := balance.ColdGrant{Serial: m.Serial, Permits: c.Permits, Age: age}
		if !valid {
			grant = balance.ColdGrant{}
		}
		if !g.balancer.SetCold(balance.ColdEndpoint{Endpoint: c.Incarnation(), Remaining: c.Remaining}, grant, now) {
			continue
		}
		g.logCold(c.Incarnation(), c.Remaining, "control", "")
	}
	if !update.Partial && m.Judged && update.Granting && now.Sub(g.warmUps.subscribedAt) > coldHandoverTime {
		g.balancer.KeepCold(named)
	}
}

// assumeCold marks the incarnations as cold that an update contains for the first time, unless the control host knows which
// are cold. Those of a complete update may have started long ago. mu must be held.
func (g *Gateway) assumeCold(update *message.Picture, fresh []roster.Incarnation, now time.Time) {
	if !g.balancer.HasWarmUps() || update.Complete || update.WarmUp != nil && update.WarmUp.Judged || g.requestCount.Load() == 0 {
		return
	}
	for _, id := range fresh {
		g.balancer.AssumeCold(id, now)
	}
}

func (g *Gateway) logCold(id roster.Incarnation, remaining time.Duration, from, request string) {
	g.metrics.cold.Inc(1)
	line := event.ColdHeard.On(g.opts.Logger).Str("endpoint", id.ID).Int64("started", id.StartedMs).Dur("remaining", remaining).Str("from", from)
	if request != "" {
		line = line.Str("request", request)
	}
	line.Msg("")
}

// recordCold records how much longer an endpoint is cold by its response.
func (a *attempt) recordCold(response *http.Response) {
	g := a.call.g
	text := response.Header.Get(g.opts.Dialect.Headers.Cold)
	if text == "" || response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	remaining, ok := g.opts.Dialect.ParseCold(text)
	if !ok {
		a.logOddNotice(text)
		return
	}
	g.mu.Lock()
	changed := g.balancer.HearCold(a.endpoint.Incarnation(), remaining, time.Now())
	g.mu.Unlock()
	if changed {
		g.logCold(a.endpoint.Incarnation(), remaining, "answer", a.call.id)
	}
}

// dropOldPermits drops the permits of cold endpoints if the host was suspended since the last call. mu must be held.
func (g *Gateway) dropOldPermits() {
	if !g.balancer.HasWarmUps() {
		return
	}
	suspended := time.Until(clock.Now())
	if g.warmUps.suspendedSince(suspended) {
		g.balancer.DropColdPermits()
	}
	g.warmUps.suspended = suspended
}

// suspendedSince reports whether the host, which has been suspended for a time, was suspended since that was last recorded.
func (w *warmUps) suspendedSince(suspended time.Duration) bool {
	return suspended-w.suspended > minSuspension
}

// setSendBy records until when the attempt may be sent by its decision.
func (a *attempt) setSendBy(now time.Time) {
	if by := a.decision.SendBy; !by.IsZero() {
		a.sendBy = clock.Now().Add(by.Sub(now))
	}
}

// permitExpired reports whether the attempt must not be sent any more: the permit of a cold endpoint may have expired while the process
// was paused or a connection was opened.
func (a *attempt) permitExpired() bool { return !a.sendBy.IsZero() && !clock.Now().Before(a.sendBy) }

// coldReport adds the state of cold endpoints to a report. all says that the control host has no such state yet. mu must be held.
func (g *Gateway) coldReport(r *message.LimitReport, all bool, now time.Time) {
	if !g.balancer.HasWarmUps() {
		return
	}
	r.Number = g.warmUps.begin(clock.Now())
	for _, c := range g.balancer.TakeCold(all, now) {
		r.Cold = append(r.Cold, message.ColdEndpoint{Endpoint: c.Endpoint.ID, StartedMs: c.Endpoint.StartedMs, Remaining: c.Remaining})
	}
	for _, u := range g.balancer.TakeUnused(now) {
		r.Unused = append(r.Unused, message.ColdEndpoint{Endpoint: u.Endpoint.ID, StartedMs: u.Endpoint.StartedMs, Permits: u.Permits, Serial: u.Serial})
	}
}

// markEnded makes the endpoint of an attempt cold if it was found to have ended: another process may soon serve under its ID.
func (g *Gateway) markEnded(a *attempt) {
	if !a.crashed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.MarkEnded(a.endpoint.Incarnation(), time.Now())
}
