package gateway

import (
	"strconv"
	"strings"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// resolve sets the request's route, team, service, usage and deadlines, and adds the usage to the demand. It returns the denial of a
// request that is not allowed, else nil.
func (c *call) resolve(table *routes.Table) *denial {
	if d := c.resolveRoute(table); d != nil {
		return d
	}
	c.addDemand(table)
	c.setDeadline()
	return nil
}

// resolveRoute sets the request's route, team, service and usage, and records nothing. It returns the denial of a request that is not
// allowed, else nil.
func (c *call) resolveRoute(table *routes.Table) *denial {
	if limit := table.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return &denialHeaderTooLarge
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	route, ok := table.Match(c.r.Host, path)
	if !ok {
		return &denialNoRoute
	}
	c.route, c.priority = route, route.Priority
	h := c.g.opts.Dialect.Headers
	team, known := table.Team(c.r.Header.Get(h.APIKey))
	if len(table.Teams) > 0 && !route.Anonymous && !known {
		return &denialUnknownKey
	}
	if c.bodyLimit = table.Limits.BodyBytes; c.bodyLimit <= 0 {
		c.bodyLimit = defaultBodyBytes
	}
	if c.r.ContentLength > c.bodyLimit {
		return &denialBodyTooLarge
	}
	if known {
		c.team = team
		if team.Priority != nil {
			c.priority = *team.Priority
		}
	}
	c.service = route.Pick(c.g.randomFraction())
	c.parts = c.g.opts.Dialect.ParsePromptParts(strings.Join(c.r.Header.Values(h.PromptParts), ","))
	c.readUsage(table)
	return nil
}

// readUsage sets the request's usage and model from its headers.
func (c *call) readUsage(table *routes.Table) {
	h := c.g.opts.Dialect.Headers
	if text := c.r.Header.Get(h.Usage); text != "" {
		c.usage, _ = c.g.opts.Dialect.ParseUsage(text)
	}
	if length, err := strconv.Atoi(c.r.Header.Get(h.LengthHint)); err == nil && length > 0 {
		c.usage.MaxOutputTokens = min(c.usage.MaxOutputTokens, length)
	}
	c.modelKnown = true
	if service, ok := table.Service(c.service); ok && service.Engine != nil {
		c.model = c.r.Header.Get(h.Model)
		if c.model != "" {
			_, c.modelKnown = service.Engine.Model(c.model)
		}
	}
}

// addDemand adds the request's usage to the demand for its model.
func (c *call) addDemand(table *routes.Table) {
	service, ok := table.Service(c.service)
	if !ok || service.Engine == nil || !c.modelKnown {
		return
	}
	c.g.mu.Lock()
	d := c.g.demandFor(c.model)
	d.engine = service.Engine
	d.usage.PromptTokens += c.usage.PromptTokens
	d.usage.MaxOutputTokens += c.usage.MaxOutputTokens
	c.g.mu.Unlock()
}

// demandFor returns the demand for a model; mu must be held.
func (g *Gateway) demandFor(model string) *demand {
	d := g.demand[model]
	if d == nil {
		d = &demand{}
		g.demand[model] = d
	}
	return d
}

// setDeadline sets the request's deadlines. A caller with a shorter timeout than others of its
// route is assumed to be retrying, and the difference counts towards the objective.
func (c *call) setDeadline() {
	c.deadline = c.arrivedAt.Add(c.route.Timeout)
	c.objectiveDeadline = c.arrivedAt.Add(c.route.Objective)
	timeout, ok := c.g.opts.Dialect.ParseDeadline(c.r.Header.Get(c.g.opts.Dialect.Headers.Deadline))
	if !ok {
		return
	}
	if end := c.arrivedAt.Add(timeout); end.Before(c.deadline) {
		c.deadline = end
	}
	c.waited = c.g.callerTimeouts.alreadyWaited(c.route.Name, timeout)
	c.objectiveDeadline = c.objectiveDeadline.Add(-c.waited)
}
