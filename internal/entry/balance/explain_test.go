package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
	"github.com/egretreach/egretreach/internal/entry/overload"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// dump returns everything that a balancer holds. Permits are listed to the end of their memory, as a copy that shares it may write there.
func dump(b *Balancer) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%+v\n", *b)
	for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
		t := b.endpoints[id]
		fmt.Fprintf(&out, "%s %+v %+v %+v %+v\n", id, *t, t.limit.permits[:cap(t.limit.permits)], t.warm.permits[:cap(t.warm.permits)],
			t.warm.unused[:cap(t.warm.unused)])
	}
	for _, w := range b.queue[:cap(b.queue)] {
		if w != nil {
			fmt.Fprintf(&out, "%p %+v %d\n", w, w.Request, len(w.Decided))
		}
	}
	for s, r := range b.ranked {
		fmt.Fprintf(&out, "%v\n", s)
		for _, w := range r.waiting {
			fmt.Fprintf(&out, "%p %+v %+v %d\n", w, w.Request, w.turn, len(w.Decided))
		}
	}
	return out.String()
}

// rankedScopes returns copies of the state of the ranked scopes.
func rankedScopes(b *Balancer) map[scope]overload.Scope {
	all := map[scope]overload.Scope{}
	for s, r := range b.ranked {
		all[s] = r.Clone()
	}
	return all
}

// explainModel changes a balancer at random.
type explainModel struct {
	b   *Balancer
	rng *rand.Rand
	now time.Time
	// sent are the requests in flight, by endpoint.
	sent    map[string][]Request
	serial  uint64
	reasons map[string]int
	actions map[string]int
}

func newExplainModel(seed uint64) *explainModel {
	m := &explainModel{
		b: &Balancer{FailureDomain: "a", Regions: map[string]string{"a": "north", "b": "south"}}, rng: rand.New(rand.NewPCG(seed, 1)),
		now: noon, sent: map[string][]Request{},
	}
	m.b.SetGateways(2, noon)
	m.b.SetServices([]routes.Service{
		{Name: "llm", Engine: engine(), WarmUp: routes.WarmUp{Time: 3 * time.Second, PerSecond: 32}},
		{Name: "plain", WarmUp: routes.WarmUp{Time: 2 * time.Second, PerSecond: 10}},
	})
	for i := range 8 {
		m.update(i, 1)
	}
	return m
}

// update announces an endpoint. Even ones are plain.
func (m *explainModel) update(i int, started int64) {
	e := roster.Endpoint{ID: fmt.Sprint("e", i), Service: "plain", FailureDomain: string("abc"[i%3]), Slots: 3, StartedMs: started}
	if i%2 == 1 {
		e.Service, e.Slots, e.Engine, e.Model = "llm", 48, true, "m"
		e.Member = &roster.Membership{Replica: fmt.Sprint("r", i), State: roster.MemberOpen}
	}
	m.b.UpdateEndpoints([]roster.Endpoint{e})
}

// request returns a random request.
func (m *explainModel) request() Request {
	req := newRequest(m.rng.IntN(4000), m.now)
	if m.rng.IntN(2) == 0 {
		req.Service, req.Model = "plain", ""
	}
	req.Priority = m.rng.IntN(3)
	req.Resumed = m.rng.IntN(10) == 0
	if m.rng.IntN(4) == 0 {
		req.Regions.Route = []string{[]string{"north", "south", "west"}[m.rng.IntN(3)]}
	}
	if m.rng.IntN(5) == 0 {
		req.Exclude = []string{fmt.Sprint("e", m.rng.IntN(8))}
	}
	switch m.rng.IntN(6) {
	case 0:
		req.WaitUntil = m.now
	case 1:
		req.ObjectiveDeadline = m.now
	}
	return req
}

// change does one random thing that a gateway does.
func (m *explainModel) change() {
	i := m.rng.IntN(8)
	id, t := fmt.Sprint("e", i), m.b.endpoints[fmt.Sprint("e", i)]
	incarnation := t.Incarnation()
	switch m.rng.IntN(18) {
	case 0:
		m.update(i, t.StartedMs+int64(m.rng.IntN(2)))
	case 1:
		m.b.SetEvacuated([][]string{{}, {}, {"a"}, {"b", "c"}, {"a", "b", "c"}}[m.rng.IntN(5)], m.now)
	case 2:
		m.b.MarkBusy(id, t.StartedMs, time.Duration(m.rng.IntN(500))*time.Millisecond, m.now)
	case 3:
		if m.rng.IntN(4) == 0 {
			m.b.MarkLeaving(id, t.StartedMs)
		}
	case 4:
		m.b.MarkLost([]string{id}, m.now)
	case 5, 6:
		m.b.HearLimit(incarnation, float64(m.rng.IntN(3)*5), m.now, m.now)
	case 7, 8:
		m.b.SetLimit(EndpointLimit{Endpoint: incarnation}, 1+m.rng.IntN(3), m.now)
	case 9:
		m.b.AssumeCold(incarnation, m.now)
	case 10, 11:
		m.serial++
		m.b.SetCold(ColdEndpoint{incarnation, time.Second}, ColdGrant{m.serial, 1 + m.rng.IntN(3), 0}, m.now)
	case 12:
		m.b.SetLoad(id, dialect.Load{Running: m.rng.IntN(t.Slots + 1), Waiting: m.rng.IntN(t.Slots)}, m.now)
	case 13:
		m.b.SetGranting(m.now)
	case 14:
		m.b.ProcessQueue(m.now)
	default:
		m.end(id)
	}
}

// end ends a request at an endpoint with a random result, or has its first event arrive.
func (m *explainModel) end(id string) {
	if len(m.sent[id]) == 0 {
		return
	}
	req := m.sent[id][0]
	if m.rng.IntN(4) == 0 {
		m.b.FirstEventReceived(id, req, 300*time.Millisecond, 500*time.Millisecond, m.now)
		return
	}
	m.sent[id] = m.sent[id][1:]
	results := []Result{ResultSuccess, ResultSuccess, ResultServerError, ResultOverloaded, ResultUnreachable, ResultConnectionRefused}
	m.b.RequestEnded(id, req, m.rng.IntN(2) == 0, results[m.rng.IntN(len(results))], m.now)
}

// explainAndSubmit checks the explanation of a request against what Submit does.
func (m *explainModel) explainAndSubmit(t *testing.T, seed uint64) {
	req := m.request()
	before, scopes := dump(m.b), rankedScopes(m.b)
	e := m.b.Explain(req, m.now)
	require.Equal(t, before, dump(m.b), "seed %d: the explanation changed the balancer", seed)
	require.Equal(t, scopes, rankedScopes(m.b), "seed %d: the explanation changed a ranked scope", seed)
	d, w := m.b.Submit(req, m.now)
	require.Equal(t, w != nil, e.Waits, "seed %d", seed)
	require.Equal(t, d, e.Decision, "seed %d", seed)
	picked := ""
	for _, c := range e.Candidates {
		m.reasons[c.Reason()]++
		if c.Reason() == "" {
			require.Empty(t, picked, "seed %d: two endpoints were picked", seed)
			picked = c.Endpoint.ID
		}
	}
	require.Equal(t, d.Endpoint.ID, picked, "seed %d", seed)
	switch {
	case w != nil:
		m.actions["waits"]++
	case d.Refused:
		m.actions[d.Reason]++
	default:
		m.actions["sent"]++
		m.sent[picked] = append(m.sent[picked], req)
	}
}

// TestExplanationIsWhatSubmitDoes changes balancers at random and compares each explanation with what Submit does with the same request
// then. It guards against a second, different rule in Explain, and against one that uses up permits, reserves return times, counts
// throughput or queues the request.
func TestExplanationIsWhatSubmitDoes(t *testing.T) {
	reasons, actions := map[string]int{}, map[string]int{}
	for seed := range uint64(8) {
		m := newExplainModel(seed)
		m.reasons, m.actions = reasons, actions
		if seed%2 == 1 {
			m.b.ServeLate = seed%4 == 1
			m.b.Ranked = true
			m.b.SetRoutes(llmRoutes(0, 2))
		}
		for range 300 {
			m.now = m.now.Add(time.Duration(m.rng.IntN(60)) * time.Millisecond)
			for range 1 + m.rng.IntN(3) {
				m.change()
			}
			m.explainAndSubmit(t, seed)
		}
	}
	for _, reason := range []string{
		"", "costlier", "no_capacity", "tried", "returning", "evacuated", "region", "cold", "limited", "leaving", "busy", "banned", "silent",
	} {
		require.Positive(t, reasons[reason], "no endpoint was passed over as %q: %v", reason, reasons)
	}
	for _, action := range []string{"sent", "waits", "no room", reasonLimited, reasonQueueFull, reasonEvacuated, reasonRegion, reasonBarred} {
		require.Positive(t, actions[action], "no request was %q: %v", action, actions)
	}
}

// TestExplanationUsesNoPermit guards against an explanation that takes the only permit of a limited or cold endpoint, or reserves the
// place of a refused caller that gets a Retry-After.
func TestExplanationUsesNoPermit(t *testing.T) {
	b := plain(1)
	b.SetGranting(noon)
	b.HearLimit(limited("p0"), 5, noon, noon)
	b.SetLimit(EndpointLimit{Endpoint: limited("p0"), PerSecond: 5, HeardAt: noon}, 1, noon)
	req := plainRequest(noon)
	for range 5 {
		require.Equal(t, "p0", b.Explain(req, noon).Decision.Endpoint.ID)
	}
	d, _ := b.Submit(req, noon)
	require.Equal(t, "p0", d.Endpoint.ID)
	first := b.Explain(req, noon)
	require.Equal(t, "limited", first.Candidates[0].Reason())
	for range 5 {
		require.Equal(t, first, b.Explain(req, noon), "each explanation names the same time to return")
	}
	d, _ = b.Submit(req, noon)
	require.Equal(t, first.Decision, d)
}
