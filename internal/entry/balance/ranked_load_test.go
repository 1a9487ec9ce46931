package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
)

const (
	// modelHeads heads of the model place about modelCapacity mean requests a second.
	modelHeads    = 6
	modelCapacity = 110.0
	// returnsServed is the share of returning callers that are served at their first return. They return only once.
	returnsServed = 0.9
	// sampleError is the difference of two shares that a few callers of one run make.
	sampleError = 0.01
)

// eachSize runs a test at 5, 20 and 47 gateways.
func eachSize(t *testing.T, test func(t *testing.T, gateways int)) {
	t.Helper()
	for _, gateways := range []int{5, 20, 47} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) { test(t, gateways) })
	}
}

// steady is a constant demand, as a share of the capacity.
func steady(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share * modelCapacity }
}

// burst is a demand that rises for some seconds out of every twelve.
func burst(base, peak float64, length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(12*time.Second) < length {
			return peak * modelCapacity
		}
		return base * modelCapacity
	}
}

func urgentKind(perSecond func(time.Duration) float64) *modelKind {
	return &modelKind{name: "urgent", objective: 400 * time.Millisecond, prompt: 1042, output: 131, perSecond: perSecond}
}

func patientKind(perSecond func(time.Duration) float64) *modelKind {
	return &modelKind{name: "patient", priority: 2, objective: 1500 * time.Millisecond, prompt: 1042, output: 131, perSecond: perSecond}
}

// TestBurstOfOneKindReturnsIntoRoom guards against callers that are refused in a burst and get a return time within it: nine in
// ten are served when they return.
func TestBurstOfOneKindReturnsIntoRoom(t *testing.T) {
	eachSize(t, func(t *testing.T, gateways int) {
		m := newModel(gateways, modelHeads, true, urgentKind(burst(0.5, 1.8, 4*time.Second)), patientKind(steady(0.1)))
		m.run(22 * time.Second)
		c := m.counts["urgent"]
		require.Positive(t, c.returned)
		require.GreaterOrEqual(t, float64(c.returnServed)/float64(c.returned), returnsServed, "%+v", *c)
		require.GreaterOrEqual(t, c.served(), 0.85, "%+v", *c)
	})
}

// TestRefusedCallersDontReturnInStep guards against callers that are refused together and return together: the returns of
// callers that arrive within a tenth of a second are spread, and nine in ten of those that return are served.
func TestRefusedCallersDontReturnInStep(t *testing.T) {
	eachSize(t, func(t *testing.T, gateways int) {
		crowd := func(at time.Duration) float64 {
			if at >= 4*time.Second && at < 4100*time.Millisecond {
				return 40 * modelCapacity
			}
			return 0.4 * modelCapacity
		}
		m := newModel(gateways, modelHeads, true, urgentKind(crowd), patientKind(steady(0.05)))
		m.run(22 * time.Second)
		c := m.counts["urgent"]
		require.Positive(t, c.returned)
		require.GreaterOrEqual(t, float64(c.returnServed)/float64(c.returned), returnsServed, "%+v", *c)
		perSlot := map[time.Duration]int{}
		for _, told := range m.told {
			perSlot[told.Truncate(100*time.Millisecond)]++
		}
		for at, count := range perSlot {
			require.LessOrEqual(t, count, max(20, len(m.told)/4), "callers told to return %v later", at)
		}
	})
}

// TestUrgentCrowdIsServedBesideAPatientOne guards against less urgent requests that occupy the heads, so that urgent ones, which have
// a shorter objective, are not served in time. Neither kind is starved.
func TestUrgentCrowdIsServedBesideAPatientOne(t *testing.T) {
	eachSize(t, func(t *testing.T, gateways int) {
		m := newModel(gateways, modelHeads, true, urgentKind(steady(1)), patientKind(steady(0.5)))
		m.run(22 * time.Second)
		urgent, patient := m.counts["urgent"], m.counts["patient"]
		require.GreaterOrEqual(t, urgent.served(), patient.served()-sampleError, "%+v %+v", *urgent, *patient)
		require.GreaterOrEqual(t, patient.served(), 0.1, "%+v", *patient)
	})
}

// TestHalfOfTheHeadsLost guards against promises and queues that are based on the capacity of lost heads: the urgent kind is served
// at least as well as the less urgent one, and few waiting callers time out.
func TestHalfOfTheHeadsLost(t *testing.T) {
	eachSize(t, func(t *testing.T, gateways int) {
		m := newModel(gateways, modelHeads, true, urgentKind(steady(0.45)), patientKind(steady(0.25)))
		m.onTick = func(at time.Duration, _ time.Time) {
			if at == 8*time.Second {
				m.loseHeads(modelHeads / 2)
			}
		}
		m.run(22 * time.Second)
		urgent, patient := m.counts["urgent"], m.counts["patient"]
		require.GreaterOrEqual(t, urgent.served(), patient.served()-sampleError, "%+v %+v", *urgent, *patient)
		require.LessOrEqual(t, float64(urgent.gaveUp)/float64(urgent.offered), 0.05, "%+v", *urgent)
	})
}

// TestTeamThatFloodsStarvesNoOther guards against a team that sends nine tenths of a load over capacity: the other teams, which ask for
// less than their equal share, are served.
func TestTeamThatFloodsStarvesNoOther(t *testing.T) {
	eachSize(t, func(t *testing.T, gateways int) {
		kind := urgentKind(steady(1.5))
		kind.team = func(rng *rand.Rand) string {
			if rng.IntN(10) > 0 {
				return "flood"
			}
			return fmt.Sprint("small", rng.IntN(3))
		}
		m := newModel(gateways, modelHeads, true, kind)
		m.run(22 * time.Second)
		flood := m.counts["team flood"]
		for i := range 3 {
			small := m.counts[fmt.Sprint("team small", i)]
			require.GreaterOrEqual(t, small.served(), 0.9, "%+v", *small)
			require.GreaterOrEqual(t, small.value(), flood.value(), "%+v %+v", *small, *flood)
		}
	})
}

// TestHotSessionStarvesNoOther guards against one session that makes a team's load exceed the capacity: the team's other sessions are
// served at least as well as it.
func TestHotSessionStarvesNoOther(t *testing.T) {
	eachSize(t, func(t *testing.T, gateways int) {
		kind := urgentKind(steady(1.5))
		kind.session = func(rng *rand.Rand) string {
			if rng.IntN(10) < 7 {
				return "hot"
			}
			return "other"
		}
		m := newModel(gateways, modelHeads, true, kind)
		m.named = func(rng *rand.Rand, name string) string {
			if name == "other" {
				return fmt.Sprint(name, rng.IntN(40))
			}
			return name
		}
		m.run(22 * time.Second)
		hot, other := m.counts["session hot"], m.counts["session other"]
		require.GreaterOrEqual(t, other.served(), hot.served(), "%+v %+v", *hot, *other)
		require.GreaterOrEqual(t, other.served(), 0.85, "%+v", *other)
		require.GreaterOrEqual(t, hot.served(), 0.1, "%+v", *hot)
	})
}

// TestEndpointThatLiesAboutItsLoad guards against a head that reports no load and so attracts all requests: those at the other heads
// are served.
func TestEndpointThatLiesAboutItsLoad(t *testing.T) {
	eachSize(t, func(t *testing.T, gateways int) {
		m := newModel(gateways, modelHeads, true, urgentKind(steady(0.7)), patientKind(steady(0.2)))
		m.falseLoad = func(head int) (dialect.Load, bool) { return dialect.Load{Slots: 48}, head == 0 }
		m.run(22 * time.Second)
		require.GreaterOrEqual(t, m.counts["urgent"].served(), 0.5)
	})
}

// TestGatewaysThatRestartWithPromisesOut guards against returns that only the gateway which promised them would serve: all gateways
// restart while callers wait for their return.
func TestGatewaysThatRestartWithPromisesOut(t *testing.T) {
	eachSize(t, func(t *testing.T, gateways int) {
		m := newModel(gateways, modelHeads, true, urgentKind(burst(0.4, 2.5, 3*time.Second)), patientKind(steady(0.1)))
		m.onTick = func(at time.Duration, _ time.Time) {
			if at == 3*time.Second {
				for _, b := range m.gateways {
					b.ranked = nil
				}
				m.waiting = nil
			}
		}
		m.run(11 * time.Second)
		c := m.counts["urgent"]
		require.GreaterOrEqual(t, float64(c.returnServed)/float64(max(c.returned, 1)), returnsServed, "%+v", *c)
	})
}

// TestLateResponsesTakeSpareCapacityByDefault guards against late and returned requests that take the places of those that can be served in
// time, where operators have not enabled late responses: in a burst more urgent callers are served in time than with them.
func TestLateResponsesTakeSpareCapacityByDefault(t *testing.T) {
	eachSize(t, func(t *testing.T, gateways int) {
		inTime := map[bool]int{}
		for _, serveLate := range []bool{false, true} {
			m := newModel(gateways, modelHeads, true, urgentKind(burst(0.7, 1.8, 4*time.Second)), patientKind(steady(0.1)))
			for _, b := range m.gateways {
				b.ServeLate = serveLate
			}
			m.run(22 * time.Second)
			inTime[serveLate] = m.counts["urgent"].inTime
		}
		require.Greater(t, inTime[false], inTime[true])
	})
}
