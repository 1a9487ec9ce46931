package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/clock"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// defaultConfigAge is the default of Options.ConfigAge.
	defaultConfigAge = 1500 * time.Millisecond
	// confirmTimeout bounds how long a request waits for the answer to a question that is asked after its arrival.
	confirmTimeout = 400 * time.Millisecond
	// urgentInterval is the least time between two urgent questions.
	urgentInterval = 20 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After of a request that is refused since the configuration isn't confirmed.
	unconfirmedRetryAfter = 500 * time.Millisecond
)

// reasonUnconfirmed is the reason of a refusal for the age of the configuration and the evacuations.
const reasonUnconfirmed = "the configuration may be outdated"

// evidence holds the data by which a gateway bounds the age of its configuration.
type evidence struct {
	// age is the time since control was asked the latest question that it has answered.
	age time.Duration
	// following reports that there is a subscription at the control leader.
	following bool
	// lateness is the scheduling delay of this process.
	lateness time.Duration
}

// outOfReach reports whether control can't be reached. A process whose scheduling is delayed can't conclude that from a missing
// message.
func (e evidence) outOfReach() bool { return !e.following && e.lateness <= maxLateness }

// allowsService reports whether requests are served without a further question. A gateway that can't reach control serves
// with the configuration it has until Options.RefuseAfter has passed.
func (e evidence) allowsService(maxAge time.Duration) bool { return e.age <= maxAge || e.outOfReach() }

// log adds the evidence to a log line.
func (e evidence) log(entry *log.Entry) *log.Entry {
	return entry.Dur("config_age", e.age).Bool("following", e.following).Dur("lateness", e.lateness)
}

func (g *Gateway) evidence() evidence {
	now := clock.Now()
	age, _ := g.freshness.Age(now)
	return evidence{age: age, following: g.following.Load(), lateness: g.lateness.Recent(now)}
}

// configAge returns how old the configuration may be by which requests are served.
func (g *Gateway) configAge() time.Duration {
	if g.opts.ConfigAge > 0 {
		return g.opts.ConfigAge
	}
	return defaultConfigAge
}

// currentTable returns the configuration by which a request that has just arrived is served. If it may be outdated control
// is asked first. If control does not answer in time the request is refused and the result is nil.
func (c *call) currentTable(table *routes.Table) *routes.Table {
	if c.g.evidence().allowsService(c.g.configAge()) {
		return table
	}
	if c.confirmConfig() || c.g.evidence().allowsService(c.g.configAge()) { // Control may have been lost meanwhile.
		return c.g.table.Load()
	}
	c.refuse(unconfirmedRetryAfter, reasonUnconfirmed)
	return nil
}

// denial is the response to a request that the configuration does not allow.
type denial struct {
	status int
	reason string
}

// The denials by a configuration.
var (
	denialHeaderTooLarge = denial{http.StatusRequestHeaderFieldsTooLarge, "header too large"}
	denialNoRoute        = denial{http.StatusNotFound, "no route"}
	denialUnknownKey     = denial{http.StatusUnauthorized, "unknown key"}
	denialBodyTooLarge   = denial{http.StatusRequestEntityTooLarge, "body too large"}
)

// resolveConfirmed resolves a request. A denial needs a confirmation that was asked for after the request had arrived:
// a newer configuration may allow the request. Without one the request is refused. It returns false if it has responded.
func (c *call) resolveConfirmed(table *routes.Table) bool {
	d := c.resolve(table)
	if d == nil {
		return true
	}
	if !c.confirmConfig() {
		c.refuse(unconfirmedRetryAfter, "not confirmed: "+d.reason)
		return false
	}
	if newer := c.g.table.Load(); newer != table {
		c.route, c.team, c.revision = nil, nil, newer.Version
		d = c.resolve(newer)
	}
	if d != nil {
		c.deny(d.status, d.reason)
	}
	return d == nil
}

// confirmConfig waits until control has answered a question that was asked after the request had arrived, and returns
// false if it does not in time, or can't be asked.
func (c *call) confirmConfig() bool { return c.g.confirmFrom(c.r.Context(), c.firstQuestion) }

// confirmFrom waits until control has answered the question with a number or a later one, and returns false if it does not in time, or
// can't be asked.
func (g *Gateway) confirmFrom(ctx context.Context, question uint64) bool {
	if !g.subscribed.Load() && g.evidence().outOfReach() {
		return false
	}
	g.askUrgently()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return g.freshness.Wait(ctx, question)
}

// askUrgently sends the next question at once.
func (g *Gateway) askUrgently() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// nextQuestion returns the question of the next report.
func (g *Gateway) nextQuestion(urgent bool) message.Question {
	return message.Question{Number: g.freshness.Ask(clock.Now()), Urgent: urgent}
}

// applyConfig puts the configuration of an update in force if its version is above the one in force. The first one of this process
// needs the confirmation that it is the newest: control hosts may lag. holdsEvacuations reports that the gateway has the evacuations
// that the update names, without which it confirms nothing.
func (g *Gateway) applyConfig(update *message.Picture, holdsEvacuations bool) {
	current := g.table.Load()
	if len(update.Document) > 0 && (current == nil || update.Version > current.Version) {
		table, err := g.opts.Dialect.ParseTable(update.Document)
		if err != nil {
			event.ConfigRefused.On(g.opts.Logger).Uint64("revision", update.Version).Err(err).Msg("")
			return
		}
		g.pending.Store(table)
	}
	pending := g.pending.Load()
	confirmed := update.Confirmed > 0 && holdsEvacuations && pending != nil && update.Version <= pending.Version
	if pending != nil && (current != nil || confirmed) {
		now := time.Now()
		g.pending.Store(nil)
		g.tableSince.Store(&now)
		g.table.Store(pending)
		event.ConfigInForce.On(g.opts.Logger).Uint64("revision", pending.Version).Uint64("question", update.Confirmed).Msg("")
	}
	if table := g.table.Load(); table != nil && table.Version >= update.Version && holdsEvacuations {
		g.freshness.Confirm(update.Confirmed)
	}
}
