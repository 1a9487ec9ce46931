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
	simulationStep = 100 * time.Millisecond
	openTime       = 300 * time.Millisecond
)

// simEngine simulates one engine according to the platform's protocol.
type simEngine struct {
	roster.Endpoint
	dead bool
	// partitioned engines run, but control neither hears from them nor reaches them with orders.
	partitioned  bool
	lastModel    string
	highestEpoch uint64
	members      []string
	model        string
	readyAt      time.Time
	openAt       time.Time
	stageAt      time.Time
	// lastReport is the last state that the planner was told of, at reportedAt. Engines with
	// reportsLost run and receive orders, but their reports do not arrive.
	lastReport  roster.Endpoint
	reportedAt  time.Time
	reportsLost bool
	staging     string
}

// lateOrder is an order that is carried out later than it was sent.
type lateOrder struct {
	at    time.Time
	order Order
}

// simulation simulates engines, the loss of orders and the portal's view of the engines.
type simulation struct {
	t       require.TestingT
	rng     *rand.Rand
	now     time.Time
	engine  *routes.Engine
	engines []*simEngine
	planner Planner
	term    uint64
	// leaderSince is when the current leader was elected.
	leaderSince    time.Time
	trafficStarted bool
	demand         map[string]float64
	lateOrders     []lateOrder
	// lateShare is the fraction of orders that get no answer and are carried out later.
	lateShare float64
	loads     []time.Time
	// joinLoads counts the joins that needed a load from the weight store.
	joinLoads int
	// wasReady holds the engines that were ever ready, by replica name and epoch.
	wasReady  map[string]map[string]bool
	startedMs int64
	decisions []Decision
	// evacuated are the failure domains, which are the fabric domains here, that are evacuated. idle holds the heads without requests.
	evacuated []string
	idle      map[string]bool
}

func newSimulation(t require.TestingT, seed uint64, domains, each int) *simulation {
	s := &simulation{
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
			s.add(fmt.Sprintf("fabric-%d", d))
		}
	}
	return s
}

// add adds an engine that holds no model.
func (s *simulation) add(fabric string) *simEngine {
	s.startedMs++
	e := &simEngine{Endpoint: roster.Endpoint{
		ID: fmt.Sprintf("e%03d", s.startedMs), Service: "s", Fabric: fabric, FailureDomain: fabric, Slots: 48, Engine: true, StartedMs: s.startedMs,
	}}
	s.engines = append(s.engines, e)
	return e
}

func (s *simulation) find(id string) *simEngine {
	i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.ID == id })
	if i < 0 {
		return nil
	}
	return s.engines[i]
}

// run advances the simulation by d.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// runUntil advances the simulation until done returns true, and returns how long that took.
func (s *simulation) runUntil(limit time.Duration, done func() bool) time.Duration {
	began := s.now
	for !done() {
		require.Less(s.t, s.now.Sub(began), limit, "condition was not reached in time")
		s.step()
	}
	return s.now.Sub(began)
}

func (s *simulation) step() {
	s.now = s.now.Add(simulationStep)
	for _, l := range s.lateOrders {
		if !l.at.After(s.now) {
			s.execute(l.order)
		}
	}
	s.lateOrders = slices.DeleteFunc(s.lateOrders, func(l lateOrder) bool { return !l.at.After(s.now) })
	for _, e := range s.engines {
		s.advance(e)
	}
	orders, decisions := s.planner.Step(s.now, s.view())
	s.decisions = append(s.decisions, decisions...)
	for _, o := range orders {
		s.deliver(o)
	}
}

func (s *simulation) view() View {
	v := View{Engine: s.engine, Heads: map[string]HeadReport{}, TrafficStarted: s.trafficStarted, Term: s.term, LeaderSince: s.leaderSince, Demand: s.demand, Evacuated: s.evacuated}
	for _, e := range s.engines {
		if !e.reportsLost {
			e.lastReport, e.reportedAt = e.Endpoint, s.now
		}
		if e.lastReport.ID == "" {
			e.lastReport = e.Endpoint // Known from an announcement before the simulation began.
		}
		v.Hosts = append(v.Hosts, Host{Endpoint: e.lastReport, LastReport: e.reportedAt, Alive: !e.dead && !e.partitioned})
		if e.IsServingHead() && !e.dead && s.complete(e) && !s.idle[e.ID] {
			v.Heads[e.ID] = HeadReport{Waiting: 5}
		}
	}
	return v
}

// complete reports whether all members of a head's replica are alive and in it.
func (s *simulation) complete(head *simEngine) bool {
	for _, id := range head.members {
		m := s.find(id)
		if m == nil || m.dead || m.Member == nil || m.Member.Replica != head.Member.Replica {
			return false
		}
	}
	return true
}

func (s *simulation) deliver(o Order) {
	if s.rng.Float64() < s.lateShare {
		s.lateOrders = append(s.lateOrders, lateOrder{s.now.Add(2*time.Second + time.Duration(s.rng.Int64N(int64(10*time.Second)))), o})
		s.planner.HandleAnswer(o, AnswerNone)
		return
	}
	s.planner.HandleAnswer(o, s.execute(o))
}

func (s *simulation) execute(o Order) Answer {
	e := s.find(o.Host())
	if e == nil || e.dead || e.partitioned {
		return AnswerNone
	}
	switch o := o.(type) {
	case Join:
		return s.join(e, o)
	case Open:
		return s.open(e, o)
	case Close:
		if e.Member == nil || e.Member.Replica != o.Replica || e.Member.Epoch != o.Epoch {
			return AnswerConflict
		}
		s.setState(e, roster.MemberReady)
	case Leave:
		if e.Member == nil || e.Member.Replica != o.Replica || e.Member.Epoch != o.Epoch {
			return AnswerConflict
		}
		e.Member, e.Model, e.members, e.openAt = nil, "", nil, time.Time{}
	case Stage:
		if !slices.Contains(e.Staged, o.Model) && e.staging == "" {
			m, _ := s.engine.Model(o.Model)
			s.load(&e.stageAt, m)
			e.staging = o.Model
		}
	}
	return AnswerDone
}

// load records the start of a load and sets at to the time of its end.
func (s *simulation) load(at *time.Time, m routes.Model) {
	took := m.LoadTime
	if !s.trafficStarted {
		took /= 10
	} else {
		s.loads = append(s.loads, s.now)
	}
	*at = s.now.Add(took)
}

func (s *simulation) join(e *simEngine, o Join) Answer {
	if o.Epoch < e.highestEpoch {
		return AnswerConflict
	}
	if e.Member != nil && e.Member.Replica == o.Replica && e.Member.Epoch == o.Epoch {
		return AnswerDone
	}
	s.requireReleased(e, o)
	e.highestEpoch, e.openAt = o.Epoch, time.Time{}
	m, _ := s.engine.Model(o.Model)
	switch {
	case e.lastModel == o.Model:
		e.readyAt = s.now.Add(joinTime)
	case slices.Contains(e.Staged, o.Model):
		e.readyAt = s.now.Add(m.WarmLoadTime)
	default:
		s.load(&e.readyAt, m)
		if s.trafficStarted {
			s.joinLoads++
		}
	}
	e.Member = &roster.Membership{
		Replica: o.Replica, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.ID), State: roster.MemberJoining,
	}
	e.model, e.Model, e.members = o.Model, "", o.Members
	return AnswerDone
}

// requireReleased fails if an engine is taken from a replica whose head is open or closing, even
// if that head can't make progress any more.
func (s *simulation) requireReleased(e *simEngine, o Join) {
	if e.Member == nil || len(e.members) == 0 {
		return
	}
	head := s.find(e.members[0])
	if head == nil || head.dead || head.Member == nil || head.Member.Replica != e.Member.Replica {
		return
	}
	state := head.Member.State
	require.False(s.t, state == roster.MemberOpen || state == roster.MemberClosing,
		"%s joins %s while %s is the serving head of %s", e.ID, o.Replica, head.ID, e.Member.Replica)
}

func (s *simulation) open(e *simEngine, o Open) Answer {
	if e.Member == nil || e.Member.Replica != o.Replica || e.Member.Epoch != o.Epoch {
		return AnswerConflict
	}
	switch e.Member.State {
	case roster.MemberOpen:
		return AnswerDone
	case roster.MemberReady:
		e.openAt = s.now.Add(openTime)
		return AnswerDone
	default:
		return AnswerConflict
	}
}

func (s *simulation) setState(e *simEngine, state roster.MemberState) {
	m := *e.Member
	m.State = state
	e.Member = &m
}

// advance completes the operations of an engine that are due.
func (s *simulation) advance(e *simEngine) {
	e.Sequence++
	if e.dead {
		return
	}
	if e.staging != "" && !s.now.Before(e.stageAt) {
		e.Staged, e.staging = []string{e.staging}, ""
	}
	if e.Member == nil {
		return
	}
	if e.Member.State == roster.MemberJoining && !s.now.Before(e.readyAt) {
		s.setState(e, roster.MemberReady)
		e.Model, e.lastModel, e.Staged = e.model, e.model, []string{e.model}
		key := fmt.Sprint(e.Member.Replica, e.Member.Epoch)
		if s.wasReady[key] == nil {
			s.wasReady[key] = map[string]bool{}
		}
		s.wasReady[key][e.ID] = true
	}
	if e.Member.State == roster.MemberReady && !e.openAt.IsZero() && !s.now.Before(e.openAt) {
		e.openAt = time.Time{}
		s.setState(e, roster.MemberOpen)
		s.requireAllReady(e)
	}
}

// requireAllReady fails if a head starts to serve before all its members were ready.
func (s *simulation) requireAllReady(head *simEngine) {
	m, _ := s.engine.Model(head.model)
	require.Len(s.t, head.members, m.Size)
	key := fmt.Sprint(head.Member.Replica, head.Member.Epoch)
	for _, id := range head.members {
		require.True(s.t, s.wasReady[key][id], "%s opens although %s was never ready", key, id)
	}
}

// serving returns the number of complete replicas that serve a model.
func (s *simulation) serving(model string) int {
	n := 0
	for _, e := range s.engines {
		if !e.dead && e.IsServingHead() && e.model == model && s.complete(e) {
			n++
		}
	}
	return n
}

// memberOf returns a member of a replica that serves the model. Rank -1 is the last member.
func (s *simulation) memberOf(model string, rank int) *simEngine {
	for _, e := range s.engines {
		if !e.dead && e.IsServingHead() && e.model == model && s.complete(e) {
			if rank < 0 {
				rank = len(e.members) - 1
			}
			return s.find(e.members[rank])
		}
	}
	require.FailNow(s.t, "no replica serves "+model)
	return nil
}

// restart starts an engine again. It keeps only what its host stores.
func (s *simulation) restart(e *simEngine) {
	s.startedMs++
	e.dead, e.partitioned, e.StartedMs, e.lastModel, e.model, e.Model = false, false, s.startedMs, "", "", ""
	e.Member, e.members, e.highestEpoch, e.Sequence, e.staging = nil, nil, 0, 0, ""
	e.openAt = time.Time{}
}
