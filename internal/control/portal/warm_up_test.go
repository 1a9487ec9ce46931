package portal

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
)

var testWarmUp = routes.WarmUp{Time: 3 * time.Second, PerSecond: 32}

// newWarming returns a portal of a system that has traffic, whose service has a warm-up limit.
func newWarming(warmUp routes.WarmUp) *Portal {
	p := New(Options{Self: "p", FirstStart: true, Heartbeat: time.Second})
	p.machine = &portalstate.Machine{}
	p.trafficStarted = true
	p.setTable(routes.Table{Services: []routes.Service{{Name: "plain", WarmUp: warmUp}}}.WithIndex())
	return p
}

func plainEndpoint(id string, sequence uint64) roster.Endpoint {
	return roster.Endpoint{ID: id, Service: "plain", Address: "10.1.0.1:" + id, FailureDomain: "a", Slots: 8, StartedMs: 1, Sequence: sequence}
}

func (p *Portal) announceNow(e roster.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyAnnouncement(e, time.Now(), true)
}

// TestLeaderGrantsPermitsOfColdEndpoints guards against cold endpoints that get no permits, or get them from a new leader while those of the
// one before may be in use, and against permits of a limit that nobody has.
func TestLeaderGrantsPermitsOfColdEndpoints(t *testing.T) {
	p := newWarming(testWarmUp)
	p.announceNow(plainEndpoint("1", 1))
	now := time.Now()
	p.mu.Lock()
	p.hearLimits("g", message.LimitReport{Number: 7, Arrivals: []message.Arrivals{{Scope: "plain/", Count: 5}}}, now)
	p.mu.Unlock()
	permits := func(now time.Time, leaderFor time.Duration) int {
		p.mu.Lock()
		p.grantedAt = time.Time{}
		p.mu.Unlock()
		p.grantPermits(now, now.Add(-leaderFor))
		m := p.permitUpdate("g")
		if m == nil {
			return 0
		}
		require.Equal(t, uint64(7), m.WarmUp.Report)
		require.InDelta(t, 3*time.Second, m.WarmUp.Cold[0].Remaining, float64(time.Second))
		return m.WarmUp.Cold[0].Permits
	}
	require.Zero(t, permits(now, time.Second), "a new leader")
	require.Zero(t, permits(now, time.Minute), "its bucket is empty")
	require.Equal(t, 3, permits(now.Add(100*time.Millisecond), time.Minute))
}

// TestColdEndpointsAreInUpdates guards against gateways that don't hear which endpoints are cold, and for how long, and against updates
// that change for deployments without a warm-up limit.
func TestColdEndpointsAreInUpdates(t *testing.T) {
	for _, warmUp := range []routes.WarmUp{testWarmUp, {}} {
		p := newWarming(warmUp)
		e := plainEndpoint("1", 1)
		e.ColdMs = 9000
		p.announceNow(e)
		state := subscriberState{sent: map[string]sentState{}}
		m := p.nextUpdate(&state, "g", true)
		if !warmUp.IsSet() {
			require.Nil(t, m.WarmUp)
			require.Nil(t, p.permitUpdate("g"))
			continue
		}
		require.True(t, m.WarmUp.Judged)
		require.Len(t, m.WarmUp.Cold, 1)
		require.InDelta(t, 9*time.Second, m.WarmUp.Cold[0].Remaining, float64(time.Second))
		require.Zero(t, m.WarmUp.Cold[0].Permits)
	}
}

// TestCountingDownIsNoNews guards against an update to every gateway with each announcement of a cold endpoint, whose remaining time
// counts down, and against one that is not sent when the endpoint has become cold again.
func TestCountingDownIsNoNews(t *testing.T) {
	p := newWarming(testWarmUp)
	e := plainEndpoint("1", 1)
	e.ColdMs = 2900
	p.announceNow(e)
	changed := p.changeNotify()
	for i := range 5 {
		e.Sequence, e.ColdMs = uint64(i+2), int64(2900-100*i)
		p.announceNow(e)
	}
	select {
	case <-changed:
		require.Fail(t, "an update for a value that counts down")
	default:
	}
	e.Sequence, e.ColdMs = 10, 5000
	p.announceNow(e)
	<-changed
}

// TestColdTimeWithoutWarmUpLimitIsNoNews guards against updates and log lines in deployments without a warm-up limit, whose endpoints may
// still announce a cold time.
func TestColdTimeWithoutWarmUpLimitIsNoNews(t *testing.T) {
	p := newWarming(routes.WarmUp{})
	e := plainEndpoint("1", 1)
	p.announceNow(e)
	changed := p.changeNotify()
	e.Sequence, e.ColdMs = 2, 3000
	p.announceNow(e)
	select {
	case <-changed:
		require.Fail(t, "an update for a cold time that limits nothing")
	default:
	}
}

// TestReturnsMakeEndpointsCold guards against endpoints that get the load of warm ones after control took them for dead, after their
// domain's evacuation was withdrawn, or when gateways or another control host say so.
func TestReturnsMakeEndpointsCold(t *testing.T) {
	warm := func(t *testing.T) (*Portal, roster.Endpoint) {
		t.Helper()
		p := newWarming(testWarmUp)
		p.trafficStarted = false
		e := plainEndpoint("1", 1)
		p.announceNow(e)
		p.trafficStarted = true
		require.Empty(t, p.coldEndpoints(time.Now()), "it has started before traffic")
		return p, e
	}
	for name, become := range map[string]func(p *Portal, e roster.Endpoint){
		"withdrawal": func(p *Portal, _ roster.Endpoint) {
			p.applyEvacuations(portalstate.Evacuations{Revision: 1, Domains: []string{"a"}})
		},
		"dead, then announced": func(p *Portal, e roster.Endpoint) {
			p.health[e.ID] = endpointHealth{dead: true}
			e.Sequence = 2
			p.announceNow(e)
		},
		"dead, then probed": func(p *Portal, e roster.Endpoint) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.judgeReturn(e, time.Now())
		},
		"gateway": func(p *Portal, e roster.Endpoint) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.hearLimits("g", message.LimitReport{Cold: []message.ColdEndpoint{{Endpoint: e.ID, StartedMs: 1, Remaining: time.Second}}}, time.Now())
		},
		"response": func(p *Portal, e roster.Endpoint) { p.HearCold(e.Incarnation(), time.Second) },
		"another control host": func(p *Portal, e roster.Endpoint) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.takeOverCold(message.Heard{Endpoint: e, Cold: time.Second}, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, e := warm(t)
			become(p, e)
			require.Len(t, p.coldEndpoints(time.Now()), 1)
			p, e = warm(t)
			p.setTable(routes.Table{Services: []routes.Service{{Name: "plain"}}}.WithIndex())
			become(p, e)
			require.Empty(t, p.coldEndpoints(time.Now()), "no warm-up limit")
		})
	}
}

// TestFollowersKnowThatThereIsTraffic guards against control hosts to which no gateway reports, which would take nothing for cold when they
// become the leader.
func TestFollowersKnowThatThereIsTraffic(t *testing.T) {
	leader, follower, without := newWarming(testWarmUp), newWarming(testWarmUp), newWarming(routes.WarmUp{})
	follower.trafficStarted = false
	require.False(t, follower.tellsTraffic())
	require.True(t, leader.tellsTraffic())
	require.False(t, without.tellsTraffic(), "no warm-up limit")
	follower.peerTraffic = true
	require.True(t, follower.tellsTraffic())
	follower.announceNow(plainEndpoint("1", 1))
	require.Len(t, follower.coldEndpoints(time.Now()), 1)
}
