package balance

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/entry/overload"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	modelTick = 5 * time.Millisecond
	// modelDrain is the time without new requests at the end of a run, in which those that wait are served.
	modelDrain = 5 * time.Second
)

// modelKind is a kind of requests and the demand for it.
type modelKind struct {
	name           string
	priority       int
	objective      time.Duration
	prompt, output int
	// perSecond is the demand of all gateways. team and session name those of a request; nil is the kind's name and none.
	perSecond func(time.Duration) float64
	team      func(*rand.Rand) string
	session   func(*rand.Rand) string
}

// modelCall is one caller and its request, with the prompt tokens and the output tokens that are left.
type modelCall struct {
	kind            *modelKind
	team, session   string
	began, arrived  time.Time
	deadline        time.Time
	attempts        int
	sent            time.Time
	forecast        time.Duration
	req             Request
	gateway, head   int
	prompt, output  int
	first, promised bool
}

// modelWaiter is a call that waits at its gateway.
type modelWaiter struct {
	*Waiter
	call *modelCall
}

// modelHead prefills in order, one chunk in each round of decode steps, as forecast assumes.
type modelHead struct {
	calls []*modelCall
	busy  time.Time
	lost  bool
}

// advance runs the head until now and returns the calls whose first event has come and those that have ended.
func (h *modelHead) advance(now time.Time) (begun, ended []*modelCall) {
	e := engine()
	if h.busy.Before(now.Add(-modelTick)) {
		h.busy = now.Add(-modelTick)
	}
	for h.busy.Before(now) && len(h.calls) > 0 {
		active := h.calls[:min(len(h.calls), e.Slots)]
		decoding, chunk := 0, e.PrefillChunk
		for _, c := range active {
			if c.prompt == 0 {
				decoding++
				continue
			}
			part := min(chunk, c.prompt)
			c.prompt, chunk = c.prompt-part, chunk-part
			if c.prompt == 0 && part > 0 {
				begun = append(begun, c)
			}
		}
		h.busy = h.busy.Add(time.Duration(float64(e.PrefillChunk-chunk) / e.PrefillRate * float64(time.Second)))
		h.busy = h.busy.Add(time.Duration(e.StepsPerRound) * (e.StepTime + time.Duration(decoding)*e.StepTimePerRequest))
		var kept []*modelCall
		for _, c := range h.calls {
			if c.prompt == 0 {
				c.output -= e.StepsPerRound
			}
			if c.output <= 0 {
				ended = append(ended, c)
				continue
			}
			kept = append(kept, c)
		}
		h.calls = kept
	}
	return begun, ended
}

// load returns the load that the head reports.
func (h *modelHead) load() dialect.Load {
	l := dialect.Load{Slots: engine().Slots}
	for _, c := range h.calls {
		if c.prompt > 0 {
			l.Waiting++
		} else {
			l.Running++
		}
	}
	return l
}

// modelCount counts the callers of one kind or team by their results.
type modelCount struct {
	offered, inTime, late, refused, promised, returned, returnServed, gaveUp int
}

// served returns the share of the callers that got a response while they waited.
func (c *modelCount) served() float64 { return float64(c.inTime+c.late) / float64(max(c.offered, 1)) }

// value returns the mean value of a response, in which a late one counts a quarter.
func (c *modelCount) value() float64 {
	return (float64(c.inTime) + float64(c.late)/4) / float64(max(c.offered, 1))
}

// model runs gateways and heads without a network.
type model struct {
	rng      *rand.Rand
	gateways []*Balancer
	heads    []*modelHead
	kinds    []*modelKind
	counts   map[string]*modelCount
	waiting  []modelWaiter
	returns  []*modelCall
	// told holds the Retry-After of each refusal, and onTick is called at each tick.
	told      []time.Duration
	longest   int
	onTick    func(at time.Duration, now time.Time)
	named     func(rng *rand.Rand, session string) string
	falseLoad func(head int) (dialect.Load, bool)
}

func newModel(gateways, headCount int, ranked bool, kinds ...*modelKind) *model {
	m := &model{rng: rand.New(rand.NewPCG(1, uint64(gateways))), kinds: kinds, counts: map[string]*modelCount{}}
	var all []routes.Route
	for _, k := range kinds {
		all = append(all, routes.Route{Name: k.name, Priority: k.priority, Targets: []routes.Target{{Service: "llm", Weight: 1}}})
	}
	for range gateways {
		b := heads(headCount)
		b.Gateways, b.Ranked, b.ServeLate = gateways, ranked, ranked
		if ranked {
			b.SetRoutes(append(all, routes.Route{Priority: 99, Targets: all[0].Targets}))
		}
		m.gateways = append(m.gateways, b)
	}
	for range headCount {
		m.heads = append(m.heads, &modelHead{})
	}
	return m
}

func (m *model) count(c *modelCall, change func(*modelCount)) {
	for _, name := range []string{c.kind.name, "team " + c.team, "session " + c.session} {
		if m.counts[name] == nil {
			m.counts[name] = &modelCount{}
		}
		change(m.counts[name])
	}
}

func (m *model) run(total time.Duration) {
	for at := time.Duration(0); at < total; at += modelTick {
		now := noon.Add(at)
		if m.onTick != nil {
			m.onTick(at, now)
		}
		for _, k := range m.kinds {
			for expected := k.perSecond(at) * modelTick.Seconds(); at < total-modelDrain && m.rng.Float64() < expected; expected-- {
				c := &modelCall{kind: k, team: k.name, began: now, deadline: now.Add(10 * time.Second)}
				if k.team != nil {
					c.team = k.team(m.rng)
				}
				if k.session != nil {
					c.session = k.session(m.rng)
				}
				m.count(c, func(n *modelCount) { n.offered++ })
				m.send(c, now)
			}
		}
		due := m.returns
		m.returns = nil
		for _, c := range due {
			if now.Before(c.arrived) {
				m.returns = append(m.returns, c)
				continue
			}
			m.count(c, func(n *modelCount) { n.returned++ })
			m.send(c, now)
		}
		for i, h := range m.heads {
			if !h.lost {
				m.advance(i, h, now)
			}
		}
		m.collect(now)
	}
}

// sessionName returns the name of a session that the gateways see. named distinguishes those that are counted as one.
func (m *model) sessionName(session string) string {
	if m.named == nil {
		return session
	}
	return m.named(m.rng, session)
}

// loseHeads ends the first heads with all that they run.
func (m *model) loseHeads(count int) {
	for i := range count {
		m.heads[i].lost = true
		for _, b := range m.gateways {
			b.RemoveEndpoints([]string{fmt.Sprint("h", i)})
		}
	}
}

// send submits a call to any gateway.
func (m *model) send(c *modelCall, now time.Time) {
	c.arrived, c.gateway = now, m.rng.IntN(len(m.gateways))
	c.attempts++
	c.prompt, c.output = max(1, int(float64(c.kind.prompt)*m.rng.ExpFloat64())), max(1, int(float64(c.kind.output)*m.rng.ExpFloat64()))
	until := now.Add(time.Duration(0.35 * float64(c.kind.objective)))
	c.req = Request{
		Service: "llm", Model: "m", Priority: c.kind.priority, PromptTokens: c.prompt, Objective: c.kind.objective,
		ObjectiveDeadline: c.began.Add(c.kind.objective), ArrivedAt: now, WaitUntil: until, Team: c.team, Session: m.sessionName(c.session), Waited: now.Sub(c.began), Deadline: c.deadline,
		LateUntil: overload.LateUntil(now, c.deadline, c.kind.objective, 0), Spread: m.rng.Float64(),
	}
	b := m.gateways[c.gateway]
	d, w := b.Submit(c.req, now)
	if w != nil {
		m.waiting = append(m.waiting, modelWaiter{w, c})
		m.longest = max(m.longest, b.Waiting())
		return
	}
	m.decide(c, d, now)
}

// decide carries out a decision: the request goes to its head, or its caller returns once.
func (m *model) decide(c *modelCall, d Decision, now time.Time) {
	if !d.Refused {
		c.sent, c.forecast = now, d.Forecast
		_, _ = fmt.Sscanf(d.Endpoint.ID, "h%d", &c.head)
		m.heads[c.head].calls = append(m.heads[c.head].calls, c)
		return
	}
	if c.attempts == 1 {
		m.told = append(m.told, d.RetryAfter)
		m.count(c, func(n *modelCount) {
			n.refused++
			if d.Overload.Promised {
				n.promised++
			}
		})
		c.promised = d.Overload.Promised
		c.arrived = now.Add(min(d.RetryAfter, c.deadline.Sub(now)/3))
		m.returns = append(m.returns, c)
	}
}

// collect carries out the decisions on waiting requests.
func (m *model) collect(now time.Time) {
	for _, b := range m.gateways {
		if b.Waiting() > 0 && now.Sub(noon)%(4*modelTick) == 0 {
			b.ProcessQueue(now)
		}
	}
	waiting := m.waiting
	m.waiting = nil
	for _, w := range waiting {
		select {
		case d := <-w.Decided:
			m.decide(w.call, d, now)
		default:
			m.waiting = append(m.waiting, w)
		}
	}
}

// advance runs a head and passes its events to the gateways.
func (m *model) advance(id int, h *modelHead, now time.Time) {
	begun, ended := h.advance(now)
	load := h.load()
	if m.falseLoad != nil {
		if l, ok := m.falseLoad(id); ok {
			load = l
		}
	}
	name := fmt.Sprint("h", id)
	for _, c := range begun {
		b := m.gateways[c.gateway]
		b.SetLoad(name, load, now)
		b.FirstEventReceived(name, c.req, c.forecast, now.Sub(c.sent), now)
		c.first = true
		m.answered(c, now)
	}
	if now.Sub(noon)%(10*modelTick) == 0 {
		for _, b := range m.gateways {
			b.DataReceived(name, now)
		}
	}
	for _, c := range ended {
		b := m.gateways[c.gateway]
		b.RequestEnded(name, c.req, c.first, ResultSuccess, now)
		b.ProcessQueue(now)
	}
}

// answered counts a first event by when it came.
func (m *model) answered(c *modelCall, now time.Time) {
	m.count(c, func(n *modelCount) {
		switch {
		case now.Sub(c.arrived) > overload.Patience(c.kind.objective, 0):
			n.gaveUp++
			return
		case now.Sub(c.began) <= c.kind.objective:
			n.inTime++
		default:
			n.late++
		}
		if c.attempts > 1 {
			n.returnServed++
		}
	})
}
