package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/entry/explanation"
	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/process/clock"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// Pages returns the gateway's pages for the health listeners, by the patterns of http.ServeMux.
func (g *Gateway) Pages() map[string]http.Handler {
	if g.opts.ExplainToken == "" {
		return nil
	}
	return map[string]http.Handler{"GET " + explanation.Path: http.HandlerFunc(g.serveExplanation)}
}

// serveExplanation answers an operator who asks where a request would go.
func (g *Gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
	if !g.isOperator(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "unknown token", http.StatusUnauthorized)
		return
	}
	q, err := explanation.ParseRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	document, err := json.Marshal(g.Explain(q))
	if err != nil {
		event.ExplanationFailed.On(g.opts.Logger).Err(err).Msg("")
		http.Error(w, "the explanation can't be written", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(document)
}

// isOperator reports whether a request carries Options.ExplainToken. The time that this takes doesn't depend on the token.
func (g *Gateway) isOperator(r *http.Request) bool {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	given, expected := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(g.opts.ExplainToken))
	return g.opts.ExplainToken != "" && subtle.ConstantTimeCompare(given[:], expected[:]) == 1
}

// Explain returns where a request would go if it arrived now, and why. It sends and records nothing.
func (g *Gateway) Explain(q explanation.Request) explanation.Document {
	d := explanation.Document{
		Gateway: string(g.opts.Self), FailureDomain: string(g.opts.FailureDomain), Request: q,
		RouteRegions: []string{}, TeamRegions: []string{}, Targets: []explanation.Target{}, Candidates: []explanation.Candidate{},
	}
	table := g.table.Load()
	d.Configuration = g.explainConfiguration(table)
	d.Evacuations = g.explainEvacuations()
	if table == nil {
		d.Verdict = refused(time.Second, "no configuration yet")
		return d
	}
	c := g.explainedCall(q)
	if denied := c.resolveExplained(table, q); denied != nil {
		d.Verdict = explanation.Verdict{Action: explanation.ActionDenied, Status: denied.status, Reason: denied.reason}
	} else {
		c.describe(&d)
		c.explainBalance(&d)
	}
	if earlier, ok := c.earlierVerdict(); ok {
		d.Verdict = earlier
	}
	return d
}

// explainedCall returns a call that is never served.
func (g *Gateway) explainedCall(q explanation.Request) *call {
	h := g.opts.Dialect.Headers
	header := http.Header{}
	for name, value := range map[string]string{h.APIKey: q.Key, h.Model: q.Model, h.PromptParts: q.Parts} {
		if value != "" {
			header.Set(name, value)
		}
	}
	r := &http.Request{Method: q.Method, RequestURI: q.Path, Host: q.Host, Header: header}
	return &call{g: g, r: r, arrivedAt: time.Now(), request: &upstream.Request{Method: q.Method, Target: q.Path}}
}

// resolveExplained resolves a request that is only explained.
func (c *call) resolveExplained(table *routes.Table, q explanation.Request) *denial {
	if d := c.resolveRoute(table); d != nil {
		return d
	}
	c.usage = dialect.Usage{PromptTokens: q.PromptTokens, MaxOutputTokens: q.OutputTokens}
	c.setDeadline() // Records nothing, as the request has no deadline of its own.
	c.setKeys()
	return nil
}

// earlierVerdict returns the verdict on a request that isn't served whatever its endpoints are, and whether there is one.
func (c *call) earlierVerdict() (explanation.Verdict, bool) {
	g := c.g
	switch {
	case g.server.Stopping():
		return refused(stoppingRetryAfter, "stopping"), true
	case g.isCutOff():
		return refused(time.Second, "cut off from control"), true
	case !g.evidence().allowsService(g.configAge()):
		v := refused(unconfirmedRetryAfter, reasonUnconfirmed)
		v.Action = explanation.ActionAsksControl
		return v, true
	case c.route == nil:
		return explanation.Verdict{}, false
	}
	g.mu.Lock()
	held, ok := g.observer.WouldRefuse(c.keys.All())
	g.mu.Unlock()
	return refused(max(held.For, minHeldRetryAfter), reasonHeld), ok
}

// describe sets what the configuration says of the request.
func (c *call) describe(d *explanation.Document) {
	d.Route, d.Priority, d.Service, d.Model = c.route.Name, c.priority, c.service, c.model
	d.RouteRegions = append(d.RouteRegions, c.route.Regions...)
	if c.team != nil {
		d.Team = c.team.Name
		d.TeamRegions = append(d.TeamRegions, c.team.Regions...)
	}
	for _, t := range c.route.Targets {
		d.Targets = append(d.Targets, explanation.Target{Service: t.Service, Weight: t.Weight})
	}
}

// explainBalance sets what the balancer would do with the request. It decides on a copy, so that requests aren't delayed.
func (c *call) explainBalance(d *explanation.Document) {
	g := c.g
	req := c.balanceRequest(time.Duration(float64(c.route.Objective) * maxQueueShare))
	g.mu.Lock()
	balancer := g.balancer.CopyFor(req)
	suspended := balancer.HasWarmUps() && g.warmUps.suspendedSince(time.Until(clock.Now()))
	g.mu.Unlock()
	if suspended {
		balancer.DropColdPermits()
	}
	e := balancer.Explain(req, c.arrivedAt)
	d.Queue = explanation.Queue{Waiting: e.Queued, Before: e.QueuedBefore}
	for _, candidate := range e.Candidates {
		d.Candidates = append(d.Candidates, explainCandidate(candidate))
	}
	switch {
	case e.Waits:
		d.Verdict = explanation.Verdict{Action: explanation.ActionWaits, WaitMs: milliseconds(req.WaitUntil.Sub(c.arrivedAt))}
	case e.Decision.Refused:
		d.Verdict = refused(e.Decision.RetryAfter, e.Decision.Reason)
	default:
		d.Verdict = explanation.Verdict{
			Action: explanation.ActionSent, Endpoint: e.Decision.Endpoint.ID, ForecastMs: milliseconds(e.Decision.Forecast),
		}
	}
}

func explainCandidate(c balance.Candidate) explanation.Candidate {
	out := explanation.Candidate{
		Endpoint: c.Endpoint.ID, Address: c.Endpoint.Address, FailureDomain: c.Endpoint.FailureDomain, Region: c.Region,
		ForecastMs: milliseconds(c.Forecast), Occupied: c.Occupied, Slots: c.Endpoint.Slots, InFlight: c.InFlight,
		OccupiedFrom: c.LoadFrom.String(), OccupiedAgeMs: milliseconds(c.LoadAge), PassedOver: c.Reason(),
	}
	if c.MayGet() {
		out.Cost = &c.Cost
	}
	return out
}

// explainConfiguration returns the version of a configuration, which may be nil, and the evidence for its age.
func (g *Gateway) explainConfiguration(table *routes.Table) explanation.Configuration {
	now := clock.Now()
	out := explanation.Configuration{AgeMs: -1, Following: g.following.Load(), LatenessMs: milliseconds(g.lateness.Recent(now))}
	if age, known := g.freshness.Age(now); known {
		out.AgeMs = milliseconds(age)
	}
	if table != nil {
		out.Version = table.Version
	}
	return out
}

// explainEvacuations returns the evacuated failure domains.
func (g *Gateway) explainEvacuations() explanation.Evacuations {
	g.mu.Lock()
	defer g.mu.Unlock()
	return explanation.Evacuations{Revision: g.evacuationRevision, Domains: g.balancer.Evacuated()}
}

// refused returns the verdict on a request that is refused.
func refused(after time.Duration, reason string) explanation.Verdict {
	return explanation.Verdict{
		Action: explanation.ActionRefused, Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfterSeconds(after),
	}
}

// milliseconds returns a time in milliseconds, to the microsecond.
func milliseconds(d time.Duration) float64 { return math.Round(float64(d)/1e3) / 1e3 }
