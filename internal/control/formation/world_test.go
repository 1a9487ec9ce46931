package formation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	worldStep = 100 * time.Millisecond
	openTime  = 300 * time.Millisecond
)

// engineSim is a stand-in for one engine, as the platform's protocol describes it.
type engineSim struct {
	roster.Endpoint
	dead bool
	// cut engines live but are not heard of and take no orders.
	cut     bool
	last    string
	highest uint64
	members []string
	model   string
	readyAt time.Time
	openAt  time.Time
	stageAt time.Time
	// heard is what the planner was last told of it, at reported; mute engines live and take
	// orders, but their reports do not arrive.
	heard    roster.Endpoint
	reported time.Time
	mute     bool
	staging  string
}

// lateOrder is an order that is carried out later than it was given.
type lateOrder struct {
	at    time.Time
	order Order
}

// world plays engines, the loss of orders and the portal's view of them.
type world struct {
	t       require.TestingT
	rng     *rand.Rand
	now     time.Time
	engine  *routes.Engine
	engines []*engineSim
	planner Planner
	term    uint64
	// since is when the present leader began to lead.
	since   time.Time
	started bool
	demand  map[string]float64
	late    []lateOrder
	// lateShare is the share of orders without an answer, which are carried out later.
	lateShare float64
	loads     []time.Time
	// joinLoads counts the joins that had to load from the weight store.
	joinLoads int
	// wasReady remembers which engines were ever ready in each place.
	wasReady map[string]map[string]bool
	born     int64
	notes    []Decision
}

func newWorld(t require.TestingT, seed uint64, domains, each int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), term: 1, wasReady: map[string]map[string]bool{},
		engine: &routes.Engine{
			Slots: 48, LoadRate: 3, MaxConcurrentLoads: 6,
			Models: []routes.Model{
				{Name: "large", Size: 6, Share: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
				{Name: "small", Size: 3, Share: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
			},
		},
	}
	for d := range domains {
		for range each {
			w.add(fmt.Sprintf("fabric-%d", d))
		}
	}
	return w
}

// add brings an empty engine.
func (w *world) add(fabric string) *engineSim {
	w.born++
	e := &engineSim{Endpoint: roster.Endpoint{
		ID: fmt.Sprintf("e%03d", w.born), Service: "s", Fabric: fabric, Slots: 48, Engine: true, StartedMs: w.born,
	}}
	w.engines = append(w.engines, e)
	return e
}

func (w *world) find(id string) *engineSim {
	i := slices.IndexFunc(w.engines, func(e *engineSim) bool { return e.ID == id })
	if i < 0 {
		return nil
	}
	return w.engines[i]
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// until lets time pass until done, and returns how long that took.
func (w *world) until(limit time.Duration, done func() bool) time.Duration {
	began := w.now
	for !done() {
		require.Less(w.t, w.now.Sub(began), limit, "did not come about in time")
		w.step()
	}
	return w.now.Sub(began)
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	for _, l := range w.late {
		if !l.at.After(w.now) {
			w.carryOut(l.order)
		}
	}
	w.late = slices.DeleteFunc(w.late, func(l lateOrder) bool { return !l.at.After(w.now) })
	for _, e := range w.engines {
		w.advance(e)
	}
	orders, notes := w.planner.Step(w.now, w.view())
	w.notes = append(w.notes, notes...)
	for _, o := range orders {
		w.give(o)
	}
}

func (w *world) view() View {
	v := View{Engine: w.engine, Heads: map[string]HeadReport{}, TrafficStarted: w.started, Term: w.term, LeaderSince: w.since, Demand: w.demand}
	for _, e := range w.engines {
		if !e.mute {
			e.heard, e.reported = e.Endpoint, w.now
		}
		if e.heard.ID == "" {
			e.heard = e.Endpoint // Known from before, by an announcement of another time.
		}
		v.Hosts = append(v.Hosts, Host{Endpoint: e.heard, LastReport: e.reported, Alive: !e.dead && !e.cut})
		if e.IsServingHead() && !e.dead && w.whole(e) {
			v.Heads[e.ID] = HeadReport{Waiting: 5}
		}
	}
	return v
}

// whole reports whether all members of a head's replica are alive and in it.
func (w *world) whole(head *engineSim) bool {
	for _, id := range head.members {
		m := w.find(id)
		if m == nil || m.dead || m.Member == nil || m.Member.Replica != head.Member.Replica {
			return false
		}
	}
	return true
}

func (w *world) give(o Order) {
	if w.rng.Float64() < w.lateShare {
		w.late = append(w.late, lateOrder{w.now.Add(2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))), o})
		w.planner.HandleAnswer(o, AnswerNone)
		return
	}
	w.planner.HandleAnswer(o, w.carryOut(o))
}

func (w *world) carryOut(o Order) Answer {
	e := w.find(o.Host())
	if e == nil || e.dead || e.cut {
		return AnswerNone
	}
	switch o := o.(type) {
	case Join:
		return w.join(e, o)
	case Open:
		return w.open(e, o)
	case Close:
		if e.Member == nil || e.Member.Replica != o.Replica || e.Member.Epoch != o.Epoch {
			return AnswerConflict
		}
		w.setState(e, roster.MemberReady)
	case Leave:
		if e.Member == nil || e.Member.Replica != o.Replica || e.Member.Epoch != o.Epoch {
			return AnswerConflict
		}
		e.Member, e.Model, e.members, e.openAt = nil, "", nil, time.Time{}
	case Stage:
		if !slices.Contains(e.Staged, o.Model) && e.staging == "" {
			m, _ := w.engine.Model(o.Model)
			w.load(&e.stageAt, m)
			e.staging = o.Model
		}
	}
	return AnswerDone
}

// load counts the start of a load and says when it is over.
func (w *world) load(at *time.Time, m routes.Model) {
	took := m.LoadTime
	if !w.started {
		took /= 10
	} else {
		w.loads = append(w.loads, w.now)
	}
	*at = w.now.Add(took)
}

func (w *world) join(e *engineSim, o Join) Answer {
	if o.Epoch < e.highest {
		return AnswerConflict
	}
	if e.Member != nil && e.Member.Replica == o.Replica && e.Member.Epoch == o.Epoch {
		return AnswerDone
	}
	w.requireReleased(e, o)
	e.highest, e.openAt = o.Epoch, time.Time{}
	m, _ := w.engine.Model(o.Model)
	switch {
	case e.last == o.Model:
		e.readyAt = w.now.Add(joinTime)
	case slices.Contains(e.Staged, o.Model):
		e.readyAt = w.now.Add(m.WarmLoadTime)
	default:
		w.load(&e.readyAt, m)
		if w.started {
			w.joinLoads++
		}
	}
	e.Member = &roster.Membership{
		Replica: o.Replica, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.ID), State: roster.MemberJoining,
	}
	e.model, e.Model, e.members = o.Model, "", o.Members
	return AnswerDone
}

// requireReleased fails if an engine is taken from a replica whose head still serves, or
// stands still and has not had the time to break.
func (w *world) requireReleased(e *engineSim, o Join) {
	if e.Member == nil || len(e.members) == 0 {
		return
	}
	head := w.find(e.members[0])
	if head == nil || head.dead || head.Member == nil || head.Member.Replica != e.Member.Replica {
		return
	}
	state := head.Member.State
	require.False(w.t, state == roster.MemberOpen || state == roster.MemberClosing,
		"%s is taken by %s while %s heads %s", e.ID, o.Replica, head.ID, e.Member.Replica)
}

func (w *world) open(e *engineSim, o Open) Answer {
	if e.Member == nil || e.Member.Replica != o.Replica || e.Member.Epoch != o.Epoch {
		return AnswerConflict
	}
	switch e.Member.State {
	case roster.MemberOpen:
		return AnswerDone
	case roster.MemberReady:
		e.openAt = w.now.Add(openTime)
		return AnswerDone
	default:
		return AnswerConflict
	}
}

func (w *world) setState(e *engineSim, s roster.MemberState) {
	m := *e.Member
	m.State = s
	e.Member = &m
}

// advance finishes what an engine has under way.
func (w *world) advance(e *engineSim) {
	e.Sequence++
	if e.dead {
		return
	}
	if e.staging != "" && !w.now.Before(e.stageAt) {
		e.Staged, e.staging = []string{e.staging}, ""
	}
	if e.Member == nil {
		return
	}
	if e.Member.State == roster.MemberJoining && !w.now.Before(e.readyAt) {
		w.setState(e, roster.MemberReady)
		e.Model, e.last, e.Staged = e.model, e.model, []string{e.model}
		place := fmt.Sprint(e.Member.Replica, e.Member.Epoch)
		if w.wasReady[place] == nil {
			w.wasReady[place] = map[string]bool{}
		}
		w.wasReady[place][e.ID] = true
	}
	if e.Member.State == roster.MemberReady && !e.openAt.IsZero() && !w.now.Before(e.openAt) {
		e.openAt = time.Time{}
		w.setState(e, roster.MemberOpen)
		w.requireWhole(e)
	}
}

// requireWhole fails if a head begins to serve whose members were not all ready.
func (w *world) requireWhole(head *engineSim) {
	m, _ := w.engine.Model(head.model)
	require.Len(w.t, head.members, m.Size)
	place := fmt.Sprint(head.Member.Replica, head.Member.Epoch)
	for _, id := range head.members {
		require.True(w.t, w.wasReady[place][id], "%s opens while %s was never ready", place, id)
	}
}

// serving counts the whole replicas that serve a model.
func (w *world) serving(model string) int {
	n := 0
	for _, e := range w.engines {
		if !e.dead && e.IsServingHead() && e.model == model && w.whole(e) {
			n++
		}
	}
	return n
}

// memberOf returns a member of a replica that serves a model; rank -1 is the last.
func (w *world) memberOf(model string, rank int) *engineSim {
	for _, e := range w.engines {
		if !e.dead && e.IsServingHead() && e.model == model && w.whole(e) {
			if rank < 0 {
				rank = len(e.members) - 1
			}
			return w.find(e.members[rank])
		}
	}
	require.FailNow(w.t, "no replica serves "+model)
	return nil
}

// restart brings an engine back empty, but for what its host holds.
func (w *world) restart(e *engineSim) {
	w.born++
	e.dead, e.cut, e.StartedMs, e.last, e.model, e.Model = false, false, w.born, "", "", ""
	e.Member, e.members, e.highest, e.Sequence, e.staging = nil, nil, 0, 0, ""
	e.openAt = time.Time{}
}
