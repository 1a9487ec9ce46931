package gateway

import (
	"strconv"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// applyUpdate applies a fleet snapshot or a change of it.
func (g *Gateway) applyUpdate(update *message.Picture) {
	if update.Partial {
		g.applyPermits(update)
		return
	}
	g.applyConfig(update, g.applyEvacuations(update))
	now := time.Now()
	g.updated.Set()
	g.mu.Lock()
	defer g.mu.Unlock()
	if table := g.table.Load(); table != nil {
		g.balancer.SetServices(table.Services)
		g.balancer.SetRoutes(table.Routes)
	}
	var changed []roster.Endpoint
	var fresh []roster.Incarnation
	for _, e := range update.Endpoints {
		if err := e.Validate(); err != nil {
			event.UpdateSkipped.On(g.opts.Logger).Str("endpoint", strconv.QuoteToASCII(e.ID)).Err(err).Msg("")
			continue
		}
		old, known := g.roster.Get(e.ID)
		if g.roster.Announce(e, now) == roster.ChangeContent {
			changed = append(changed, e)
			if !known || old.StartedMs != e.StartedMs {
				fresh = append(fresh, e.Incarnation())
			}
		}
	}
	g.dropReplaced(changed)
	g.balancer.UpdateEndpoints(changed)
	g.balancer.MarkLost(update.Lost, now)
	g.applyHolds(update, now)
	if update.Gateways > 0 {
		g.balancer.SetGateways(update.Gateways, now)
	}
	g.assumeCold(update, fresh, now)
	g.applyLimits(update, now)
	g.balancer.ProcessQueue(now)
}

// applyPermits applies an update between two snapshots.
func (g *Gateway) applyPermits(update *message.Picture) {
	now := time.Now()
	g.updated.Set()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyLimits(update, now)
	g.balancer.ProcessQueue(now)
}

// dropReplaced removes the endpoints that have left from the balancer, and closes the idle
// connections to those of changed that have left. In the roster an endpoint has also left if
// another endpoint uses its address now. mu must be held.
func (g *Gateway) dropReplaced(changed []roster.Endpoint) {
	if len(changed) == 0 {
		return // An endpoint leaves or is replaced only by a change.
	}
	for _, e := range changed {
		if e.State == roster.StateLeft {
			g.upstream.CloseIdle(e.Address)
		}
	}
	var replaced []roster.Endpoint
	for _, e := range g.roster.All() {
		if e.State == roster.StateLeft {
			replaced = append(replaced, e.Endpoint)
		}
	}
	g.balancer.UpdateEndpoints(replaced)
}
