package placement

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

const (
	// The fault rates are those of a fleet of the target size: 17 failures and 200
	// restarts a day on 790 hosts.
	failuresPerHostDay = 17.0 / 790
	restartsPerHostDay = 200.0 / 790
	traceDays          = 7
	traceSeeds         = 10
	perFabric          = 10
)

// fixedPolicy returns a simple policy to compare with: it either waits for the hosts of
// a degraded replica to return, or rebuilds the replica at the first loss. With full,
// it also uses idle hosts for extra replicas.
func fixedPolicy(rebuild, full bool) func(Fleet) []Decision {
	return func(f Fleet) []Decision {
		p := newPlanner(&f)
		for i := range p.groups {
			if g := &p.groups[i]; rebuild && g.degraded() {
				p.endGroup(g, ReasonMemberLost)
			}
		}
		for _, dep := range p.deploymentOrder() {
			wanted := f.Deployments[dep].Replicas
			if full {
				wanted = f.Deployments[dep].maxReplicas()
			}
			for range wanted - p.countReplicas(dep).total() {
				p.form(dep, ReasonReplicaWanted)
			}
		}
		return p.decisions
	}
}

// faultTrace draws a trace of faults over traceDays days from a seed, as a script.
func faultTrace(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 4))
	span := traceDays * 24 * time.Hour
	var lines []string
	at := func() time.Duration { return time.Hour + time.Duration(r.Float64()*float64(span-2*time.Hour)) }
	sample := func(floor, mean time.Duration) time.Duration {
		return floor + time.Duration(r.ExpFloat64()*float64(mean))
	}
	anyHost := func() string { return fmt.Sprint(string("abc"[r.IntN(3)]), r.IntN(perFabric)) }
	outage := func(start, length time.Duration, verb, hosts string) {
		lines = append(lines, fmt.Sprint(start, " ", verb, " ", hosts), fmt.Sprint(start+length, " back ", hosts))
	}
	fail := func(start time.Duration, h string) { outage(start, sample(30*time.Minute, 2*time.Hour), "fail", h) }
	hostDays := 3.0 * perFabric * traceDays
	for range poisson(r, failuresPerHostDay*hostDays) {
		fail(at(), anyHost())
	}
	for range poisson(r, restartsPerHostDay*hostDays) {
		if r.IntN(4) == 0 {
			outage(at(), sample(10*time.Second, 20*time.Second), "cut", anyHost())
			continue
		}
		outage(at(), sample(20*time.Second, 40*time.Second), "lose", anyHost())
	}
	whole := randomDomain(r)
	outage(at(), sample(time.Minute, 2*time.Minute), "cut", whole)
	outage(at(), sample(20*time.Minute, 30*time.Minute), "lose", whole)
	second := at()
	fail(second, "b1")
	fail(second+2*time.Minute, "b2")
	flap := at()
	for i := range 5 {
		outage(flap+time.Duration(i)*10*time.Minute, time.Minute, "lose", "c3")
	}
	slow, straggler := at(), anyHost()
	lines = append(lines, fmt.Sprint(slow, " slow ", straggler), fmt.Sprint(slow+4*time.Hour, " normal ", straggler))
	for range 4 {
		lines = append(lines, fmt.Sprint(at(), " stop ", anyHost()))
	}
	lines = append(lines, fmt.Sprint(at(), " roll ", randomDomain(r)))
	return strings.Join(lines, ";")
}

// randomDomain returns the names of all hosts of a random fabric domain.
func randomDomain(r *rand.Rand) string {
	var hosts []string
	fabric := string("abc"[r.IntN(3)])
	for i := range perFabric {
		hosts = append(hosts, fmt.Sprint(fabric, i))
	}
	return strings.Join(hosts, " ")
}

// poisson draws a number of events from the Poisson distribution with that mean.
func poisson(r *rand.Rand, mean float64) int {
	count := 0
	for left := mean; ; count++ {
		if left -= r.ExpFloat64(); left < 0 {
			return count
		}
	}
}

// BenchmarkFaultTraces runs the same faults against each policy, with the costs of each
// user, and reports every seed on its own.
func BenchmarkFaultTraces(b *testing.B) {
	users := []struct {
		name               string
		downtime, stranded float64
	}{{"cascadia", 20000, 1}, {"jordan", 10, 1}}
	policies := []struct {
		name   string
		decide func(Fleet) []Decision
		cold   bool
	}{
		{name: "always_wait", decide: fixedPolicy(false, false)},
		{name: "always_wait_full", decide: fixedPolicy(false, true)},
		{name: "always_rebuild", decide: fixedPolicy(true, false)},
		{name: "always_rebuild_full", decide: fixedPolicy(true, true)},
		{name: "decide_cold", decide: Decide, cold: true},
		{name: "decide", decide: Decide},
	}
	for _, user := range users {
		for _, policy := range policies {
			for seed := range uint64(traceSeeds) {
				b.Run(fmt.Sprintf("%s/%s/seed=%d", user.name, policy.name, seed), func(b *testing.B) {
					drafts, lookups := deployment("drafts", 5, 4, 2), deployment("lookups", 2, 2, 1)
					lookups.MaxReplicas = 5
					drafts.CrossFabric = true
					for _, d := range []*Deployment{&drafts, &lookups} {
						d.DowntimeCost, d.StrandedCost = user.downtime, user.stranded
					}
					var sim *simulation
					for b.Loop() {
						sim = newSimulation(b, perFabric, drafts, lookups)
						sim.checks, sim.round, sim.decide = false, idleRoundTime, policy.decide
						sim.fleet.Policy.ColdSpares = policy.cold
						sim.script(faultTrace(seed))
						sim.run(time.Hour)
						sim.down, sim.stranded, sim.slow = 0, 0, 0
						sim.run(traceDays * 24 * time.Hour)
					}
					b.ReportMetric(sim.down, "down_s")
					b.ReportMetric(sim.stranded, "stranded_acc_s")
					b.ReportMetric(sim.slow, "slow_s")
					b.ReportMetric(user.downtime*sim.down+user.stranded*sim.stranded, "cost")
				})
			}
		}
	}
}

// largeFleet divides the hosts of each fabric domain into groups of size hosts. Every
// tenth group is spare, every fifth serves a deployment of lower priority.
func largeFleet(hosts, failureSize, fabricSize, size int) Fleet {
	f := Fleet{Now: epoch, WeightStore: WeightStore{Rate: 4e9, HostRate: 1e9}}
	f.Deployments = []Deployment{deployment("drafts", 0, size, 2), deployment("lookups", 0, size, 1)}
	for i := range hosts {
		f.Hosts = append(f.Hosts, Host{
			ID:           host.ID(fmt.Sprint("h", i)),
			Failure:      domain.Failure(strconv.Itoa(i / failureSize)),
			Fabric:       domain.Fabric(strconv.Itoa(i / fabricSize)),
			Accelerators: 4, Alive: true, Weights: []Weights{{Model: "drafts", Version: "1"}, {Model: "lookups", Version: "1"}},
		})
	}
	for first := 0; first+size <= hosts; first += size {
		if first%fabricSize+size > fabricSize {
			first += fabricSize - first%fabricSize - size
			continue
		}
		if first/size%10 == 9 {
			continue
		}
		d := &f.Deployments[boolToInt(first/size%5 == 3)]
		d.Replicas++
		r := Replica{}
		r.ID, r.Spec, r.State = replica.ID(fmt.Sprint("r", len(f.Replicas))), d.Spec, replica.StateServing
		for i := first; i < first+size; i++ {
			f.Hosts[i].Replica = r.ID
			r.Hosts = append(r.Hosts, f.Hosts[i].ID)
		}
		f.Replicas = append(f.Replicas, r)
	}
	return f
}

// BenchmarkDecide measures one run of Decide on a fleet without faults, after the loss
// of a failure domain, and after the loss of further hosts.
func BenchmarkDecide(b *testing.B) {
	for _, hosts := range []int{30, 200, 790} {
		f := largeFleet(hosts, 10, 10, 4)
		if hosts == 790 {
			f = largeFleet(hosts, 72, 24, 8)
		}
		b.Run(fmt.Sprintf("hosts=%d/quiet", hosts), func(b *testing.B) { benchDecide(b, f) })
		for i := range f.Hosts {
			if f.Hosts[i].Failure == "0" {
				f.Hosts[i].Alive, f.Hosts[i].AliveChangedAt = false, epoch.Add(-5*time.Minute)
			}
		}
		b.Run(fmt.Sprintf("hosts=%d/domain_lost", hosts), func(b *testing.B) { benchDecide(b, f) })
		for i := 0; i < len(f.Hosts); i += 2 * f.Deployments[0].HostsPerReplica {
			f.Hosts[i].Alive, f.Hosts[i].AliveChangedAt = false, epoch.Add(-5*time.Minute)
		}
		b.Run(fmt.Sprintf("hosts=%d/domain_and_many_lost", hosts), func(b *testing.B) { benchDecide(b, f) })
	}
}

func benchDecide(b *testing.B, f Fleet) {
	b.ReportAllocs()
	var decisions []Decision
	for b.Loop() {
		decisions = Decide(f)
	}
	b.ReportMetric(float64(len(decisions)), "decisions")
}
