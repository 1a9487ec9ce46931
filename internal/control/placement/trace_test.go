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
	// noticeTime passes from a loss until control knows of it, freeTime until the
	// lost host's lease with its margin has run out.
	noticeTime  = 5 * time.Second
	freeTime    = 8 * time.Second
	releaseTime = time.Second
	drainTime   = 20 * time.Second
	stopTime    = 3 * time.Minute
	roundTime   = 10 * time.Second
	// longRound is the time between decisions of a long trace while nothing happens.
	longRound = 30 * time.Second
)

// event is one line of a script: "lose" (restart), "fail" (comes back without its
// weights), "cut" (comes back as it was), "back", "slow", "stop", "roll", "version",
// "adapters", "want".
type event struct {
	at   time.Duration
	verb string
	args []string
}

// machine is the truth about a host, which the picture follows late.
type machine struct {
	up       bool
	changed  time.Time
	loaded   replica.ID
	copying  Weights
	copyLeft float64
	loadLeft time.Duration
	rest     []string
}

// trace moves virtual time, applies decisions and sums up what they cost.
type trace struct {
	t        require.TestingT
	fleet    Fleet
	machines []machine
	events   []event
	decide   func(Fleet) []Decision
	log      []string
	said     map[string]bool
	drains   map[replica.ID]time.Time
	claims   int
	happened int
	round    time.Duration
	// checks the invariants of each round.
	checks bool
	// unnoticed says that a host is down and control does not know it yet.
	unnoticed bool
	// down is group seconds, stranded accelerator seconds, slow the group seconds
	// that slow members cost.
	down, stranded, slow float64
}

// newTrace builds perFabric hosts in each of the fabric domains a, b and c.
func newTrace(t require.TestingT, perFabric int, deployments ...Deployment) *trace {
	tr := &trace{t: t, checks: true, round: roundTime, decide: Decide, drains: map[replica.ID]time.Time{}}
	tr.fleet = Fleet{Now: epoch, Deployments: deployments, WeightStore: WeightStore{Rate: 4e9, HostRate: 1e9}}
	for _, fabric := range []string{"a", "b", "c"} {
		for i := range perFabric {
			id := host.ID(fabric + strconv.Itoa(i))
			h := Host{ID: id, Fabric: domain.Fabric(fabric), Failure: domain.Failure(fabric), Accelerators: 4, Alive: true, AliveChangedAt: epoch}
			tr.fleet.Hosts = append(tr.fleet.Hosts, h)
			tr.machines = append(tr.machines, machine{up: true})
		}
	}
	return tr
}

// script appends events such as "10m lose a0 a1; 11m back a0 a1".
func (tr *trace) script(s string) {
	for line := range strings.SplitSeq(s, ";") {
		words := strings.Fields(line)
		at, err := time.ParseDuration(words[0])
		require.NoError(tr.t, err)
		tr.add(event{at, words[1], words[2:]})
	}
}

func (tr *trace) add(e event) {
	tr.events = append(tr.events, e)
	slices.SortStableFunc(tr.events, func(a, b event) int { return int(a.at - b.at) })
}

func (tr *trace) elapsed() time.Duration { return tr.fleet.Now.Sub(epoch) }

func (tr *trace) say(format string, args ...any) {
	if !tr.checks {
		return
	}
	tr.log = append(tr.log, fmt.Sprintf("%9s ", tr.elapsed().Round(time.Second))+fmt.Sprintf(format, args...))
}

func (tr *trace) host(id string) (*Host, *machine) {
	i := slices.IndexFunc(tr.fleet.Hosts, func(h Host) bool { return string(h.ID) == id })
	return &tr.fleet.Hosts[i], &tr.machines[i]
}

// happen carries out one event of the script.
func (tr *trace) happen(e event) {
	tr.happened++
	tr.say("event %s %s", e.verb, strings.Join(e.args, " "))
	now := tr.fleet.Now
	d := &tr.fleet.Deployments[0]
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
		_, m := tr.host(e.args[0])
		m.rest = e.args[1:]
		e.args = e.args[:1]
	}
	for _, id := range e.args {
		h, m := tr.host(id)
		switch e.verb {
		case "back":
			if m.up {
				continue
			}
			m.up, m.changed = true, now
			h.Stop = PlannedStop{}
			if len(m.rest) > 0 {
				tr.add(event{tr.elapsed() + time.Second, "roll", m.rest})
				m.rest = nil
			}
		case "slow":
			h.Slowness, h.SlowSince = 1.6, now
		case "normal":
			h.Slowness = 1
		case "stop", "roll":
			h.Stop = PlannedStop{Requested: true, Deadline: now.Add(10 * time.Minute)}
		default:
			tr.lose(h, m, e.verb)
		}
	}
}

// lose takes a host down.
func (tr *trace) lose(h *Host, m *machine, verb string) {
	if !m.up {
		return
	}
	m.up, m.changed = false, tr.fleet.Now
	if verb == "cut" {
		return
	}
	m.loaded, m.copying, m.loadLeft = "", Weights{}, 0
	if verb == "fail" {
		h.Weights = nil
	}
}

// observe brings the picture up to what control knows now.
func (tr *trace) observe() {
	now := tr.fleet.Now
	tr.unnoticed = false
	for i := range tr.fleet.Hosts {
		h, m := &tr.fleet.Hosts[i], &tr.machines[i]
		if h.Stop.Requested && m.up && (h.Replica == "" || !now.Before(h.Stop.Deadline)) {
			tr.say("stops %s", h.ID)
			tr.lose(h, m, "stop")
			tr.add(event{tr.elapsed() + stopTime, "back", []string{string(h.ID)}})
		}
		if h.Alive && !m.up && now.Sub(m.changed) >= noticeTime {
			h.Alive, h.AliveChangedAt, h.LastLost = false, now, now
			h.Losses++
		}
		if !h.Alive && m.up {
			h.Alive, h.AliveChangedAt = true, now
		}
		if now.Sub(h.LastLost) > time.Hour {
			h.Losses = 0
		}
		if h.Alive && !m.up {
			tr.unnoticed = true
		}
		h.Preloading = m.copying != (Weights{}) && m.loaded == h.Replica
		tr.work(h, m)
	}
	for i := range tr.fleet.Replicas {
		tr.observeReplica(&tr.fleet.Replicas[i])
	}
}

// work starts the load that a host's claim calls for.
func (tr *trace) work(h *Host, m *machine) {
	if !m.up || h.Replica == "" || m.loaded == h.Replica || m.loadLeft > 0 {
		return
	}
	d := tr.deployment(h.Replica)
	if m.copying == d.weights() {
		return
	}
	m.copying = Weights{}
	if h.holds(d.weights()) {
		m.loadLeft = d.LoadCost.LocalLoadTime
		return
	}
	m.copying, m.copyLeft = d.weights(), d.LoadCost.BytesPerHost
}

func (tr *trace) deployment(id replica.ID) *Deployment {
	r := slices.IndexFunc(tr.fleet.Replicas, func(r Replica) bool { return r.ID == id })
	name := tr.fleet.Replicas[r].Spec.Deployment
	return &tr.fleet.Deployments[slices.IndexFunc(tr.fleet.Deployments, func(d Deployment) bool { return d.Spec.Deployment == name })]
}

// observeReplica works out a replica's state.
func (tr *trace) observeReplica(r *Replica) {
	whole := true
	r.Members = make([]Member, len(r.Hosts))
	for at, id := range r.Hosts {
		_, m := tr.host(string(id))
		if m.loaded != r.ID {
			r.Members[at] = Member{State: MemberLoading, FromStore: m.copying != (Weights{})}
		}
		whole = whole && m.up && m.loaded == r.ID
	}
	drain, draining := tr.drains[r.ID]
	r.Idle = draining && tr.fleet.Now.Sub(drain) >= drainTime
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
		tr.say("%s is %s", r.ID, r.State)
	}
}

// apply carries one decision out.
func (tr *trace) apply(d Decision) {
	tr.say("%s", describe(d))
	switch d := d.(type) {
	case Form:
		tr.claim(d.Spec, d.Hosts)
	case Swap:
		for _, id := range d.Old {
			tr.dissolve(id)
		}
		tr.claim(d.Spec, d.Hosts)
	case Dissolve:
		tr.dissolve(d.Replica)
	case Drain:
		tr.drains[d.Replica] = tr.fleet.Now
	case Update:
		for i := range tr.fleet.Replicas {
			if tr.fleet.Replicas[i].ID == d.Replica {
				tr.fleet.Replicas[i].Spec = d.Spec
			}
		}
	case Preload:
		_, m := tr.host(string(d.Host))
		m.copying, m.copyLeft = d.Weights, tr.fleet.Deployments[0].LoadCost.BytesPerHost
	}
}

// describe writes a decision as one line.
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

func (tr *trace) claim(spec replica.Spec, hosts []host.ID) {
	tr.claims++
	r := Replica{CreatedAt: tr.fleet.Now}
	r.ID = replica.ID(fmt.Sprint("r", tr.claims))
	r.Fence, r.Spec, r.Hosts, r.State = replica.Fence(tr.claims), spec, hosts, replica.StateLoading
	tr.fleet.Replicas = append(tr.fleet.Replicas, r)
	for _, id := range hosts {
		h, _ := tr.host(string(id))
		require.Empty(tr.t, h.Replica, "%s is in two groups", id)
		h.Replica = r.ID
	}
}

func (tr *trace) dissolve(id replica.ID) {
	at := slices.IndexFunc(tr.fleet.Replicas, func(r Replica) bool { return r.ID == id })
	for _, id := range tr.fleet.Replicas[at].Hosts {
		h, m := tr.host(string(id))
		h.Replica, m.loaded, m.loadLeft = "", "", 0
		h.ClaimableAt = tr.fleet.Now.Add(releaseTime)
		if !m.up {
			h.ClaimableAt = m.changed.Add(freeTime)
		}
	}
	delete(tr.drains, id)
	tr.fleet.Replicas = slices.Delete(tr.fleet.Replicas, at, at+1)
}

// run moves virtual time to the end.
func (tr *trace) run(end time.Duration) {
	for tr.elapsed() < end {
		for len(tr.events) > 0 && tr.events[0].at <= tr.elapsed() {
			e := tr.events[0]
			tr.events = tr.events[1:]
			tr.happen(e)
		}
		tr.observe()
		decisions := tr.decide(tr.fleet)
		if tr.checks {
			requireSafe(tr.t, tr.fleet, decisions)
		}
		step := min(tr.round, end-tr.elapsed())
		if tr.unnoticed || len(tr.drains) > 0 {
			step = min(step, time.Second)
		}
		if len(tr.events) > 0 {
			step = min(step, tr.events[0].at-tr.elapsed())
		}
		said := tr.said
		tr.said = make(map[string]bool)
		for _, d := range decisions {
			wait, waits := d.(Wait)
			if !waits {
				step = min(step, releaseTime)
				tr.apply(d)
				continue
			}
			if left := wait.Until.Sub(tr.fleet.Now); left > 0 {
				step = min(step, left)
			}
			line := fmt.Sprint("wait ", wait.Deployment, " ", wait.Replica, " ", wait.Reason)
			if !said[line] && !tr.said[line] {
				tr.say("%s", line)
			}
			tr.said[line] = true
		}
		tr.observe()
		tr.advance(max(step, time.Millisecond))
	}
}

// advance moves loads on and sums up costs. It ends early when a load does.
func (tr *trace) advance(step time.Duration) {
	store := tr.fleet.WeightStore
	copying := 0
	for i := range tr.machines {
		if tr.machines[i].copying != (Weights{}) {
			copying++
		}
	}
	rate := min(store.HostRate, store.Rate/float64(max(copying, 1)))
	for i := range tr.machines {
		m := &tr.machines[i]
		if m.copying != (Weights{}) {
			step = min(step, seconds(m.copyLeft/rate)+time.Millisecond)
		} else if m.up && m.loadLeft > 0 {
			step = min(step, m.loadLeft)
		}
	}
	for i := range tr.machines {
		tr.progress(&tr.fleet.Hosts[i], &tr.machines[i], step, rate)
	}
	tr.charge(step.Seconds())
	tr.fleet.Now = tr.fleet.Now.Add(step)
}

// progress moves one host's load on.
func (tr *trace) progress(h *Host, m *machine, step time.Duration, rate float64) {
	switch {
	case !m.up:
	case m.copying != (Weights{}):
		m.copyLeft -= rate * step.Seconds()
		if m.copyLeft <= 0 {
			h.Weights = append(slices.Clip(h.Weights), m.copying)
			m.copying = Weights{}
		}
	case m.loadLeft > 0:
		m.loadLeft -= step
		if m.loadLeft <= 0 {
			m.loaded = h.Replica
		}
	}
}

// charge sums up what the last seconds cost.
func (tr *trace) charge(seconds float64) {
	serving := make(map[replica.ID]bool)
	for _, d := range tr.fleet.Deployments {
		count := 0
		for _, r := range tr.fleet.Replicas {
			if r.State != replica.StateServing || r.Spec.Deployment != d.Spec.Deployment {
				continue
			}
			serving[r.ID] = true
			count++
			tr.slow += seconds * (1 - 1/tr.slowness(&r))
		}
		tr.down += seconds * float64(max(0, d.Replicas-count))
	}
	for i := range tr.fleet.Hosts {
		h := &tr.fleet.Hosts[i]
		if tr.machines[i].up && !h.Stop.Requested && !serving[h.Replica] {
			tr.stranded += seconds * float64(h.Accelerators)
		}
	}
}

func (tr *trace) slowness(r *Replica) float64 {
	slowest := 1.0
	for _, id := range r.Hosts {
		h, _ := tr.host(string(id))
		slowest = max(slowest, h.slowness())
		if first, _ := tr.host(string(r.Hosts[0])); first.Fabric != h.Fabric {
			slowest = max(slowest, crossFabricSlowness)
		}
	}
	return slowest
}
