package placement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

const (
	// detectionTime passes from a loss until control knows of it, leaseExpiryTime until
	// the lost host's lease and the drift margin have expired.
	detectionTime   = 5 * time.Second
	leaseExpiryTime = 8 * time.Second
	releaseTime     = time.Second
	drainTime       = 20 * time.Second
	stopTime        = 3 * time.Minute
	roundTime       = 10 * time.Second
	// idleRoundTime is the time between runs of Decide in a long simulation while
	// nothing happens.
	idleRoundTime = 30 * time.Second
)

// event is one event of a script. Its verb is "lose" (a restart, which keeps only the
// weights on disk), "fail" (the host returns without its weights), "cut" (the host is
// unreachable and returns unchanged), "back", "slow", "normal", "stop" (a planned stop),
// "roll" (planned stops one after the other), "evacuate", "withdraw" (its end), "version", "adapters" or "want".
type event struct {
	at   time.Duration
	verb string
	args []string
}

// simulatedHost is the actual state of a host. The fleet snapshot shows it with a delay.
type simulatedHost struct {
	up          bool
	upChangedAt time.Time
	// loadedFor is the replica for which the engine has loaded the model.
	loadedFor replica.ID
	// copying are the weights that the host copies, with copyLeft bytes left.
	copying  Weights
	copyLeft float64
	// loadLeft is the time left of the local load.
	loadLeft time.Duration
	// nextToStop are the hosts of a rolling stop that follow this one.
	nextToStop []string
}

// simulation advances virtual time, applies events and decisions, and adds up the costs.
type simulation struct {
	t              require.TestingT
	fleet          Fleet
	simulatedHosts []simulatedHost
	events         []event
	decide         func(Fleet) []Decision
	log            []string
	lastWaits      map[string]bool
	drainStarts    map[replica.ID]time.Time
	claims         int
	eventCount     int
	round          time.Duration
	// checks enables the check of the invariants in each round, and the log.
	checks bool
	// undetectedLoss is true while a host is down and control does not know it yet.
	undetectedLoss bool
	// down is the downtime in replica seconds, stranded the idle accelerator seconds,
	// and slow the replica seconds lost to slow members.
	down, stranded, slow float64
}

// newSimulation returns a simulation with perFabric hosts in each of the fabric domains
// a, b and c.
func newSimulation(t require.TestingT, perFabric int, deployments ...Deployment) *simulation {
	sim := &simulation{t: t, checks: true, round: roundTime, decide: Decide, drainStarts: map[replica.ID]time.Time{}}
	sim.fleet = Fleet{Now: epoch, Deployments: deployments, WeightStore: WeightStore{Rate: 4e9, HostRate: 1e9}}
	for _, fabric := range []string{"a", "b", "c"} {
		for i := range perFabric {
			id := host.ID(fabric + strconv.Itoa(i))
			h := Host{ID: id, Fabric: domain.Fabric(fabric), Failure: domain.Failure(fabric), Accelerators: 4, Alive: true, AliveChangedAt: epoch}
			sim.fleet.Hosts = append(sim.fleet.Hosts, h)
			sim.simulatedHosts = append(sim.simulatedHosts, simulatedHost{up: true})
		}
	}
	return sim
}

// script adds the events of a script such as "10m lose a0 a1; 11m back a0 a1".
func (sim *simulation) script(s string) {
	for line := range strings.SplitSeq(s, ";") {
		words := strings.Fields(line)
		at, err := time.ParseDuration(words[0])
		require.NoError(sim.t, err)
		sim.addEvent(event{at, words[1], words[2:]})
	}
}

func (sim *simulation) addEvent(e event) {
	sim.events = append(sim.events, e)
	slices.SortStableFunc(sim.events, func(a, b event) int { return int(a.at - b.at) })
}

func (sim *simulation) elapsed() time.Duration { return sim.fleet.Now.Sub(epoch) }

func (sim *simulation) logf(format string, args ...any) {
	if !sim.checks {
		return
	}
	sim.log = append(sim.log, fmt.Sprintf("%9s ", sim.elapsed().Round(time.Second))+fmt.Sprintf(format, args...))
}

func (sim *simulation) host(id string) (*Host, *simulatedHost) {
	i := slices.IndexFunc(sim.fleet.Hosts, func(h Host) bool { return string(h.ID) == id })
	return &sim.fleet.Hosts[i], &sim.simulatedHosts[i]
}

// applyEvent applies one event of the script.
func (sim *simulation) applyEvent(e event) {
	sim.eventCount++
	sim.logf("event %s %s", e.verb, strings.Join(e.args, " "))
	now := sim.fleet.Now
	d := &sim.fleet.Deployments[0]
	switch e.verb {
	case "want":
		d.Replicas, _ = strconv.Atoi(e.args[0])
		return
	case "version":
		d.Spec.Version = e.args[0]
		return
	case "adapters":
		d.Spec.Adapters = e.args
		return
	case "roll":
		_, actual := sim.host(e.args[0])
		actual.nextToStop = e.args[1:]
		e.args = e.args[:1]
	}
	for _, id := range e.args {
		h, actual := sim.host(id)
		switch e.verb {
		case "back":
			if actual.up {
				continue
			}
			actual.up, actual.upChangedAt = true, now
			h.Stop = PlannedStop{}
			if len(actual.nextToStop) > 0 {
				sim.addEvent(event{sim.elapsed() + time.Second, "roll", actual.nextToStop})
				actual.nextToStop = nil
			}
		case "evacuate":
			h.Evacuated = true
		case "withdraw":
			h.Evacuated = false
		case "slow":
			h.Slowness, h.SlowSince = 1.6, now
		case "normal":
			h.Slowness = 1
		case "stop", "roll":
			h.Stop = PlannedStop{Requested: true, Deadline: now.Add(10 * time.Minute)}
		default:
			sim.lose(h, actual, e.verb)
		}
	}
}

// lose takes a host down.
func (sim *simulation) lose(h *Host, actual *simulatedHost, verb string) {
	if !actual.up {
		return
	}
	actual.up, actual.upChangedAt = false, sim.fleet.Now
	if verb == "cut" {
		return
	}
	actual.loadedFor, actual.copying, actual.loadLeft = "", Weights{}, 0
	if verb == "fail" {
		h.Weights = nil
	}
}

// updateFleet updates the fleet snapshot to what control knows now.
func (sim *simulation) updateFleet() {
	now := sim.fleet.Now
	sim.undetectedLoss = false
	for i := range sim.fleet.Hosts {
		h, actual := &sim.fleet.Hosts[i], &sim.simulatedHosts[i]
		if h.Stop.Requested && actual.up && (h.Replica == "" || !now.Before(h.Stop.Deadline)) {
			sim.logf("stops %s", h.ID)
			sim.lose(h, actual, "stop")
			sim.addEvent(event{sim.elapsed() + stopTime, "back", []string{string(h.ID)}})
		}
		if h.Alive && !actual.up && now.Sub(actual.upChangedAt) >= detectionTime {
			h.Alive, h.AliveChangedAt, h.LastLost = false, now, now
			h.Losses++
		}
		if !h.Alive && actual.up {
			h.Alive, h.AliveChangedAt = true, now
		}
		if now.Sub(h.LastLost) > time.Hour {
			h.Losses = 0
		}
		if h.Alive && !actual.up {
			sim.undetectedLoss = true
		}
		h.Preloading = actual.copying != (Weights{}) && actual.loadedFor == h.Replica
		sim.startLoad(h, actual)
	}
	for i := range sim.fleet.Replicas {
		sim.updateReplica(&sim.fleet.Replicas[i])
	}
}

// startLoad starts the load that a host's claim needs.
func (sim *simulation) startLoad(h *Host, actual *simulatedHost) {
	if !actual.up || h.Replica == "" || actual.loadedFor == h.Replica || actual.loadLeft > 0 {
		return
	}
	d := sim.deployment(h.Replica)
	if actual.copying == d.weights() {
		return
	}
	actual.copying = Weights{}
	if h.holds(d.weights()) {
		actual.loadLeft = d.LoadCost.LocalLoadTime
		return
	}
	actual.copying, actual.copyLeft = d.weights(), d.LoadCost.BytesPerHost
}

func (sim *simulation) deployment(id replica.ID) *Deployment {
	r := slices.IndexFunc(sim.fleet.Replicas, func(r Replica) bool { return r.ID == id })
	name := sim.fleet.Replicas[r].Spec.Deployment
	return &sim.fleet.Deployments[slices.IndexFunc(sim.fleet.Deployments, func(d Deployment) bool { return d.Spec.Deployment == name })]
}

// updateReplica updates a replica's state and that of its members.
func (sim *simulation) updateReplica(r *Replica) {
	whole := true
	r.Members = make([]Member, len(r.Hosts))
	for at, id := range r.Hosts {
		_, actual := sim.host(string(id))
		if actual.loadedFor != r.ID {
			r.Members[at] = Member{State: MemberLoading, FromStore: actual.copying != (Weights{})}
		}
		whole = whole && actual.up && actual.loadedFor == r.ID
	}
	drain, draining := sim.drainStarts[r.ID]
	r.Idle = draining && sim.fleet.Now.Sub(drain) >= drainTime
	old := r.State
	switch {
	case draining:
		r.State = replica.StateDraining
	case whole:
		r.State = replica.StateServing
	case r.State != replica.StateLoading:
		r.State = replica.StateDegraded
	}
	if old != r.State {
		sim.logf("%s is %s", r.ID, r.State)
	}
}

// applyDecision executes one decision.
func (sim *simulation) applyDecision(d Decision) {
	sim.logf("%s", describe(d))
	switch d := d.(type) {
	case Form:
		sim.claim(d.Spec, d.Hosts)
	case Swap:
		for _, id := range d.Old {
			sim.dissolve(id)
		}
		sim.claim(d.Spec, d.Hosts)
	case Dissolve:
		sim.dissolve(d.Replica)
	case Drain:
		sim.drainStarts[d.Replica] = sim.fleet.Now
	case Update:
		for i := range sim.fleet.Replicas {
			if sim.fleet.Replicas[i].ID == d.Replica {
				sim.fleet.Replicas[i].Spec = d.Spec
			}
		}
	case Preload:
		_, actual := sim.host(string(d.Host))
		actual.copying, actual.copyLeft = d.Weights, sim.fleet.Deployments[0].LoadCost.BytesPerHost
	}
}

// describe formats a decision as one line.
func describe(d Decision) string {
	kind := strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", d), "placement."))
	switch d := d.(type) {
	case Form:
		return fmt.Sprint(kind, " ", d.Spec.Deployment, " ", d.Hosts, " ", d.Reason)
	case Swap:
		return fmt.Sprint(kind, " ", d.Old, " to ", d.Hosts, " ", d.Reason)
	case Update:
		return fmt.Sprint(kind, " ", d.Replica, " ", d.Spec.Adapters, " ", d.Reason)
	case Preload:
		return fmt.Sprint(kind, " ", d.Host, " ", d.Weights, " ", d.Reason)
	}
	return kind + " " + strings.Trim(fmt.Sprint(d), "{}")
}

func (sim *simulation) claim(spec replica.Spec, hosts []host.ID) {
	sim.claims++
	r := Replica{CreatedAt: sim.fleet.Now}
	r.ID = replica.ID(fmt.Sprint("r", sim.claims))
	r.Fence, r.Spec, r.Hosts, r.State = replica.Fence(sim.claims), spec, hosts, replica.StateLoading
	sim.fleet.Replicas = append(sim.fleet.Replicas, r)
	for _, id := range hosts {
		h, _ := sim.host(string(id))
		require.Empty(sim.t, h.Replica, "host %s is in two replicas", id)
		h.Replica = r.ID
	}
}

func (sim *simulation) dissolve(id replica.ID) {
	at := slices.IndexFunc(sim.fleet.Replicas, func(r Replica) bool { return r.ID == id })
	for _, id := range sim.fleet.Replicas[at].Hosts {
		h, actual := sim.host(string(id))
		h.Replica, actual.loadedFor, actual.loadLeft = "", "", 0
		h.ClaimableAt = sim.fleet.Now.Add(releaseTime)
		if !actual.up {
			h.ClaimableAt = actual.upChangedAt.Add(leaseExpiryTime)
		}
	}
	delete(sim.drainStarts, id)
	sim.fleet.Replicas = slices.Delete(sim.fleet.Replicas, at, at+1)
}

// run advances virtual time to end.
func (sim *simulation) run(end time.Duration) {
	for sim.elapsed() < end {
		for len(sim.events) > 0 && sim.events[0].at <= sim.elapsed() {
			e := sim.events[0]
			sim.events = sim.events[1:]
			sim.applyEvent(e)
		}
		sim.updateFleet()
		decisions := sim.decide(sim.fleet)
		if sim.checks {
			requireInvariants(sim.t, sim.fleet, decisions)
		}
		step := min(sim.round, end-sim.elapsed())
		if sim.undetectedLoss || len(sim.drainStarts) > 0 {
			step = min(step, time.Second)
		}
		if len(sim.events) > 0 {
			step = min(step, sim.events[0].at-sim.elapsed())
		}
		previousWaits := sim.lastWaits
		sim.lastWaits = make(map[string]bool)
		for _, d := range decisions {
			wait, waits := d.(Wait)
			if !waits {
				step = min(step, releaseTime)
				sim.applyDecision(d)
				continue
			}
			if left := wait.Until.Sub(sim.fleet.Now); left > 0 {
				step = min(step, left)
			}
			line := fmt.Sprint("wait ", wait.Deployment, " ", wait.Replica, " ", wait.Reason)
			if !previousWaits[line] && !sim.lastWaits[line] {
				sim.logf("%s", line)
			}
			sim.lastWaits[line] = true
		}
		sim.updateFleet()
		sim.advance(max(step, time.Millisecond))
	}
}

// advance advances time, loads and costs by step, or by less if a load ends earlier.
func (sim *simulation) advance(step time.Duration) {
	store := sim.fleet.WeightStore
	copying := 0
	for i := range sim.simulatedHosts {
		if sim.simulatedHosts[i].copying != (Weights{}) {
			copying++
		}
	}
	rate := min(store.HostRate, store.Rate/float64(max(copying, 1)))
	for i := range sim.simulatedHosts {
		actual := &sim.simulatedHosts[i]
		if actual.copying != (Weights{}) {
			step = min(step, seconds(actual.copyLeft/rate)+time.Millisecond)
		} else if actual.up && actual.loadLeft > 0 {
			step = min(step, actual.loadLeft)
		}
	}
	for i := range sim.simulatedHosts {
		sim.advanceLoad(&sim.fleet.Hosts[i], &sim.simulatedHosts[i], step, rate)
	}
	sim.addCosts(step.Seconds())
	sim.fleet.Now = sim.fleet.Now.Add(step)
}

// advanceLoad advances the load of one host.
func (sim *simulation) advanceLoad(h *Host, actual *simulatedHost, step time.Duration, rate float64) {
	switch {
	case !actual.up:
	case actual.copying != (Weights{}):
		actual.copyLeft -= rate * step.Seconds()
		if actual.copyLeft <= 0 {
			h.Weights = append(slices.Clip(h.Weights), actual.copying)
			actual.copying = Weights{}
		}
	case actual.loadLeft > 0:
		actual.loadLeft -= step
		if actual.loadLeft <= 0 {
			actual.loadedFor = h.Replica
		}
	}
}

// addCosts adds the costs of the last seconds.
func (sim *simulation) addCosts(seconds float64) {
	serving := make(map[replica.ID]bool)
	for _, d := range sim.fleet.Deployments {
		count := 0
		for _, r := range sim.fleet.Replicas {
			if r.State != replica.StateServing || r.Spec.Deployment != d.Spec.Deployment {
				continue
			}
			if head, _ := sim.host(string(r.Head())); head.Evacuated {
				continue
			}
			serving[r.ID] = true
			count++
			sim.slow += seconds * (1 - 1/sim.slowness(&r))
		}
		sim.down += seconds * float64(max(0, d.Replicas-count))
	}
	for i := range sim.fleet.Hosts {
		h := &sim.fleet.Hosts[i]
		if sim.simulatedHosts[i].up && !h.leaving() && !serving[h.Replica] {
			sim.stranded += seconds * float64(h.Accelerators)
		}
	}
}

func (sim *simulation) slowness(r *Replica) float64 {
	slowest := 1.0
	for _, id := range r.Hosts {
		h, _ := sim.host(string(id))
		slowest = max(slowest, h.slowness())
		if first, _ := sim.host(string(r.Hosts[0])); first.Fabric != h.Fabric {
			slowest = max(slowest, crossFabricSlowness)
		}
	}
	return slowest
}
