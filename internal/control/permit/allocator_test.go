package permit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
)

var start = time.Unix(4_000_000, 0)

func incarnation(i int) roster.Incarnation {
	return roster.Incarnation{ID: fmt.Sprint("e", i), StartedMs: 1}
}

func scopeOfAll(roster.Incarnation) string { return "plain/" }

func neverGone(roster.Incarnation) bool { return false }

// limitLoad describes a simulation of gateways that share endpoints with limits.
type limitLoad struct {
	gateways, endpoints int
	// perSecond is the limit of each endpoint, and limited the share of the endpoints that have one.
	perSecond, limited float64
	// arrivals are requests a second in all. skew is how uneven they are: gateway i gets 1/(i+1)^skew of them.
	arrivals, skew float64
	// burst is a factor of the arrivals in each fifth second.
	burst float64
	// restartEvery is how often a gateway restarts, and leaderEvery how often the leader changes; 0 is never.
	restartEvery, leaderEvery time.Duration
}

const (
	simulationStep  = 5 * time.Millisecond
	simulationTime  = 40 * time.Second
	reportInterval  = 100 * time.Millisecond
	grantInterval   = 80 * time.Millisecond
	deliveryDelay   = 20 * time.Millisecond
	limitWindow     = 4 * time.Second
	electionTime    = 1500 * time.Millisecond
	restartTime     = 300 * time.Millisecond
	requestTime     = 50 * time.Millisecond
	limitBeginsAt   = 2 * time.Second
	limitCountsFrom = limitBeginsAt + 3*time.Second
)

type limitSimulation struct {
	limitLoad
	rng      *rand.Rand
	control  Allocator
	balancer []*balance.Balancer
	waiting  []map[*balance.Waiter]bool
	arrived  []int
	downTill []time.Time
	// sent holds the times at which requests reached each endpoint.
	sent            [][]time.Time
	served, refused int
	retryAfter      []time.Duration
	ends            []requestEnd
	resubscribed    []bool
}

type requestEnd struct {
	gateway int
	id      string
	at      time.Time
}

func newLimitSimulation(load limitLoad, seed uint64) *limitSimulation {
	s := &limitSimulation{limitLoad: load, rng: rand.New(rand.NewPCG(seed, 11)), sent: make([][]time.Time, load.endpoints)}
	for range load.gateways {
		s.balancer = append(s.balancer, s.newBalancer())
		s.waiting = append(s.waiting, map[*balance.Waiter]bool{})
	}
	s.arrived, s.downTill, s.resubscribed = make([]int, load.gateways), make([]time.Time, load.gateways), make([]bool, load.gateways)
	return s
}

func (s *limitSimulation) newBalancer() *balance.Balancer {
	b := &balance.Balancer{FailureDomain: "a", Gateways: s.gateways}
	b.SetServices([]routes.Service{{Name: "plain"}})
	for i := range s.endpoints {
		b.UpdateEndpoints([]roster.Endpoint{{ID: incarnation(i).ID, Service: "plain", FailureDomain: "a", Slots: 50, StartedMs: 1}})
	}
	return b
}

func gatewayID(i int) host.ID { return host.ID(fmt.Sprint("g", i)) }

// limit returns the limit of an endpoint, 0 for none.
func (s *limitSimulation) limitOf(i int, now time.Time) float64 {
	if now.Sub(start) < limitBeginsAt || float64(i) >= s.limited*float64(s.endpoints) {
		return 0
	}
	return s.perSecond
}

func (s *limitSimulation) run() {
	weights := make([]float64, s.gateways)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -s.skew)
		sum += weights[i]
	}
	leaderless := time.Time{}
	for now := start; now.Sub(start) < simulationTime; now = now.Add(simulationStep) {
		elapsed := now.Sub(start)
		if s.leaderEvery > 0 && elapsed%s.leaderEvery == s.leaderEvery/2 {
			s.control, leaderless = Allocator{}, now.Add(electionTime)
			for i := range s.resubscribed {
				s.resubscribed[i] = true
			}
		}
		if s.restartEvery > 0 && elapsed%s.restartEvery == s.restartEvery/2 {
			i := s.rng.IntN(s.gateways)
			s.balancer[i], s.waiting[i], s.downTill[i] = s.newBalancer(), map[*balance.Waiter]bool{}, now.Add(restartTime)
		}
		rate := s.arrivals
		if s.burst > 0 && int(elapsed.Seconds())%5 == 0 {
			rate *= s.burst
		}
		for i := range s.gateways {
			for s.rng.Float64() < rate*weights[i]/sum*simulationStep.Seconds() {
				s.submit(i, now)
				if s.rng.IntN(2) == 0 {
					break
				}
			}
		}
		s.endRequests(now)
		if elapsed%reportInterval == 0 && now.After(leaderless) {
			s.report(now)
		}
		if elapsed%grantInterval == 0 && now.After(leaderless) {
			s.control.Grant(now, neverGone)
		}
		if (elapsed+deliveryDelay)%grantInterval == 0 && now.After(leaderless) {
			s.deliver(now)
		}
		for i := range s.balancer {
			s.balancer[i].ProcessQueue(now)
			s.collect(i, now)
		}
	}
}

func (s *limitSimulation) submit(i int, now time.Time) {
	if now.Before(s.downTill[i]) {
		return
	}
	s.arrived[i]++
	d, w := s.balancer[i].Submit(balance.Request{
		Service: "plain", ArrivedAt: now, Objective: 300 * time.Millisecond, ObjectiveDeadline: now.Add(300 * time.Millisecond), WaitUntil: now.Add(105 * time.Millisecond),
	}, now)
	if w != nil {
		s.waiting[i][w] = true
		return
	}
	s.decided(i, d, now)
}

func (s *limitSimulation) decided(i int, d balance.Decision, now time.Time) {
	if d.Refused {
		s.refused++
		s.retryAfter = append(s.retryAfter, d.RetryAfter)
		return
	}
	s.served++
	var endpoint int
	_, _ = fmt.Sscanf(d.Endpoint.ID, "e%d", &endpoint)
	s.sent[endpoint] = append(s.sent[endpoint], now)
	s.ends = append(s.ends, requestEnd{i, d.Endpoint.ID, now.Add(requestTime)})
	s.balancer[i].HearLimit(incarnation(endpoint), s.limitOf(endpoint, now), now, now)
}

func (s *limitSimulation) collect(i int, now time.Time) {
	for w := range s.waiting[i] {
		select {
		case d := <-w.Decided:
			delete(s.waiting[i], w)
			s.decided(i, d, now)
		default:
		}
	}
}

func (s *limitSimulation) endRequests(now time.Time) {
	kept := s.ends[:0]
	for _, e := range s.ends {
		if now.Before(e.at) {
			kept = append(kept, e)
			continue
		}
		s.balancer[e.gateway].RequestEnded(e.id, balance.Request{}, false, balance.ResultSuccess, now)
	}
	s.ends = kept
}

func (s *limitSimulation) report(now time.Time) {
	for i, b := range s.balancer {
		if now.Before(s.downTill[i]) {
			continue
		}
		r := message.LimitReport{Arrivals: []message.Arrivals{{Scope: "plain/", Count: s.arrived[i]}}}
		for _, l := range b.TakeLimits(s.resubscribed[i], now) {
			r.Limits = append(r.Limits, message.EndpointLimit{
				Endpoint: l.Endpoint.ID, StartedMs: 1, PerSecond: l.PerSecond, Age: now.Sub(l.HeardAt), SentAge: now.Sub(l.SentAt), Permits: l.Unused,
			})
		}
		s.arrived[i], s.resubscribed[i] = 0, false
		s.control.Report(gatewayID(i), r, scopeOfAll, now)
	}
}

func (s *limitSimulation) deliver(now time.Time) {
	for i, b := range s.balancer {
		if now.Before(s.downTill[i]) {
			continue
		}
		b.SetGranting(now)
		for _, l := range s.control.Take(gatewayID(i), !b.HasLimits(), now) {
			b.SetLimit(balance.EndpointLimit{Endpoint: l.Incarnation(), PerSecond: l.PerSecond, HeardAt: now.Add(-l.Age)}, l.Permits, now)
		}
	}
}

// worst returns the greatest number of requests that a limited endpoint got in limitWindow.
func (s *limitSimulation) worst() int {
	worst := 0
	for i := range s.endpoints {
		if s.limitOf(i, start.Add(simulationTime)) == 0 {
			continue
		}
		first := 0
		for last, at := range s.sent[i] {
			if at.Sub(start) < limitCountsFrom {
				first = last + 1
				continue
			}
			for at.Sub(s.sent[i][first]) > limitWindow {
				first++
			}
			worst = max(worst, last-first+1)
		}
	}
	return worst
}

// used returns the share of all limits that was used in the second half.
func (s *limitSimulation) used() float64 {
	used, limits := 0, 0.0
	for i := range s.endpoints {
		limits += s.limitOf(i, start.Add(simulationTime)) * simulationTime.Seconds() / 2
		for _, at := range s.sent[i] {
			if at.Sub(start) > simulationTime/2 && s.limitOf(i, at) > 0 {
				used++
			}
		}
	}
	return float64(used) / limits
}

// TestLimitHoldsForAllGatewaysTogether guards against an endpoint that gets more requests than its limit allows,
// and against limits of which a good part is left unused while requests are refused, under uneven load, bursts,
// restarts of gateways and changes of the leader.
func TestLimitHoldsForAllGatewaysTogether(t *testing.T) {
	for name, load := range map[string]limitLoad{
		"even":                      {gateways: 5, endpoints: 8, perSecond: 11.4, limited: 1, arrivals: 120},
		"uneven":                    {gateways: 5, endpoints: 8, perSecond: 11.4, limited: 1, arrivals: 120, skew: 2},
		"one gateway":               {gateways: 1, endpoints: 8, perSecond: 11.4, limited: 1, arrivals: 120},
		"some limited":              {gateways: 5, endpoints: 8, perSecond: 5, limited: 0.7, arrivals: 120},
		"dozens of gateways":        {gateways: 40, endpoints: 20, perSecond: 2, limited: 1, arrivals: 120, skew: 1},
		"low limits, many gateways": {gateways: 40, endpoints: 4, perSecond: 0.5, limited: 1, arrivals: 60},
		"bursts":                    {gateways: 5, endpoints: 8, perSecond: 11.4, limited: 1, arrivals: 60, burst: 5},
		"gateways restart":          {gateways: 5, endpoints: 8, perSecond: 11.4, limited: 1, arrivals: 120, restartEvery: 2 * time.Second},
		"the leader changes":        {gateways: 5, endpoints: 8, perSecond: 11.4, limited: 1, arrivals: 120, leaderEvery: 6 * time.Second, skew: 1},
		"all of it":                 {gateways: 12, endpoints: 8, perSecond: 8, limited: 1, arrivals: 120, burst: 3, leaderEvery: 9 * time.Second, restartEvery: 3 * time.Second, skew: 1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newLimitSimulation(load, seed)
				s.run()
				allowed := int(1.5*load.perSecond*limitWindow.Seconds()) + 5
				t.Logf("seed %d: at most %d in 4 s, allowed %d; %.2f of the limits used; %d served, %d refused", seed, s.worst(), allowed, s.used(), s.served, s.refused)
				require.LessOrEqual(t, s.worst(), allowed, "seed %d", seed)
				require.Greater(t, s.used(), 0.7, "seed %d", seed)
			}
		})
	}
}

// BenchmarkGrant measures one grant and its delivery with 800 limited endpoints and 40 gateways, all with load.
func BenchmarkGrant(b *testing.B) {
	var a Allocator
	now := start
	for g := range 40 {
		r := message.LimitReport{Arrivals: []message.Arrivals{{Scope: "plain/", Count: 10 + g}}}
		if g == 0 {
			for i := range 800 {
				r.Limits = append(r.Limits, message.EndpointLimit{Endpoint: incarnation(i).ID, StartedMs: 1, PerSecond: 11.4})
			}
		}
		a.Report(gatewayID(g), r, scopeOfAll, now)
	}
	for b.Loop() {
		now = now.Add(grantInterval)
		a.Grant(now, neverGone)
		for g := range 40 {
			a.Report(gatewayID(g), message.LimitReport{Arrivals: []message.Arrivals{{Scope: "plain/", Count: 10 + g}}}, scopeOfAll, now)
			a.Take(gatewayID(g), false, now)
		}
	}
}
