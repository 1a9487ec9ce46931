package suspicion

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/entry/routing"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/enginesim"
)

var seeds = flag.Uint64("seeds", 2, "number of seeds of the measurement")

// The simulation consists of entries, each with its own Router and Tracker, of replicas that crash
// while they run a poisonous body, and of control, whose views arrive with a delay.
const (
	tick          = 10 * time.Millisecond
	simulatedTime = time.Minute
	replicaCount  = 30
	entryCount    = 3
	arrivalRate   = 50.0
	// reportDelay is the time from a crash to control's commit, and maxPushDelay the greatest
	// delay of a view after that.
	reportDelay  = 60 * time.Millisecond
	maxPushDelay = 100 * time.Millisecond
	callTimeout  = 20 * time.Second
	retryDelay   = 50 * time.Millisecond
	// maxTimeToCrash bounds how long a poisonous body runs before it crashes the replica.
	maxTimeToCrash = time.Second
)

type call struct {
	body      uint64
	entry     int
	deadline  time.Duration
	exclude   map[replica.ID]bool
	replica   replica.ID
	attemptID routing.AttemptID
	suspect   bool
	ended     bool
	// answered is called when the caller receives its response.
	answered func(ok bool)
}

type entry struct {
	router  *routing.Router
	tracker *Tracker
	view    view.View
}

type simulation struct {
	rng *rand.Rand
	enginesim.Timeline
	entries     [entryCount]entry
	running     map[replica.ID][]*call
	down        map[replica.ID]bool
	control     quarantine.State
	poisonous   map[uint64]bool
	trackingOff bool
	crashes     byte
	refused     int
	served      int
	// sequence orders the views.
	sequence uint64
}

func (s *simulation) clock() time.Time { return time.UnixMilli(s.Now().Milliseconds() + 1_000_000) }

// push sends control's view to each entry with a random delay.
func (s *simulation) push() {
	var v view.View
	for i := range replicaCount {
		id := replicaID(i)
		if !s.down[id] {
			spec := replica.Spec{Deployment: "d", Model: "m"}
			v.Routes = append(v.Routes, view.Route{Replica: replica.Replica{ID: id, Fence: 1, Spec: spec, State: replica.StateServing}})
		}
	}
	s.sequence++
	v.Sequence = s.sequence
	v.Quarantine = s.control.View(s.clock())
	for i := range s.entries {
		s.After(time.Duration(s.rng.Int64N(int64(maxPushDelay))), func() {
			e := &s.entries[i]
			if !v.Newer(e.view) {
				return
			}
			e.view = v
			e.router.SetView(s.clock(), v)
			e.tracker.SetView(s.clock(), v.Quarantine)
			s.revoke(i)
		})
	}
}

// revoke cancels the calls of an entry that may no longer run in their present way, and sends them again.
func (s *simulation) revoke(entry int) {
	if s.trackingOff {
		return
	}
	tracker := s.entries[entry].tracker
	for _, hash := range tracker.Revoked(s.clock()) {
		_, quarantined := tracker.Check(s.clock(), hash).(Quarantined)
		for i := range replicaCount {
			for _, c := range slices.Clone(s.running[replicaID(i)]) {
				if c.entry == entry && c.body == hash && (quarantined || !c.suspect) {
					s.endAttempt(c, false)
					s.send(c)
				}
			}
		}
	}
}

func replicaID(i int) replica.ID { return replica.ID(strconv.Itoa(i)) }

func (s *simulation) send(c *call) {
	e := s.entries[c.entry]
	verdict := e.tracker.Check(s.clock(), c.body)
	if _, refused := verdict.(Quarantined); (refused && !s.trackingOff) || s.Now() >= c.deadline {
		s.finish(c, false)
		return
	}
	_, c.suspect = verdict.(Suspect)
	c.suspect = c.suspect && !s.trackingOff
	req := routing.Request{Deployment: "d", PromptTokens: 500, BodyHash: c.body, Exclude: c.exclude, Suspect: c.suspect}
	choice, err := e.router.Pick(s.clock(), req)
	if err != nil {
		s.After(retryDelay, func() { s.send(c) })
		return
	}
	c.replica = choice.Route.Replica.ID
	runsAsSuspect := func(other *call) bool { return other.suspect }
	if s.down[c.replica] || (c.suspect && slices.ContainsFunc(s.running[c.replica], runsAsSuspect)) {
		s.After(retryDelay, func() { s.send(c) })
		return
	}
	c.attemptID = e.router.Dispatched(s.clock(), req, choice)
	e.tracker.Begin(c.body, c.replica, c.suspect)
	s.running[c.replica] = append(s.running[c.replica], c)
	c.ended = false
	attemptID, id := c.attemptID, c.replica
	s.After(150*time.Millisecond, func() { e.router.FirstToken(s.clock(), attemptID) })
	if s.poisonous[c.body] {
		s.After(2*tick+time.Duration(s.rng.Int64N(int64(maxTimeToCrash))), func() {
			if !s.down[id] && c.attemptID == attemptID && !c.ended {
				s.crash(id)
			}
		})
		return
	}
	s.After(500*time.Millisecond+time.Duration(s.rng.Int64N(int64(3*time.Second))), func() {
		if c.attemptID == attemptID && !c.ended {
			s.endAttempt(c, true)
			s.finish(c, true)
		}
	})
}

// endAttempt ends a call's attempt on its replica; ok says that it completed.
func (s *simulation) endAttempt(c *call, ok bool) {
	c.ended = true
	e := s.entries[c.entry]
	s.running[c.replica] = slices.DeleteFunc(s.running[c.replica], func(other *call) bool { return other == c })
	e.router.Finished(s.clock(), c.attemptID, routing.Result{Complete: ok})
	e.tracker.End(c.body, c.replica, c.suspect)
	if ok && c.suspect && e.tracker.Completed(c.body) {
		s.After(reportDelay, func() {
			s.control.Complete(s.clock(), []uint64{c.body})
			s.push()
		})
	}
}

func (s *simulation) crash(id replica.ID) {
	s.down[id] = true
	s.crashes++
	report := message.CrashReport{Replica: id, Fence: 1, CrashID: request.ID{s.crashes}}
	for _, c := range slices.Clone(s.running[id]) {
		report.Suspects = append(report.Suspects, c.body)
		s.endAttempt(c, false)
		s.After(tick, func() {
			s.entries[c.entry].tracker.Crashed(s.clock(), c.body, id, 1)
			c.exclude[id] = true
			s.revoke(c.entry)
			s.After(RetryAfterCrash, func() { s.send(c) })
		})
	}
	s.After(reportDelay, func() {
		s.control.Crash(s.clock(), report)
		s.push()
	})
}

func (s *simulation) finish(c *call, ok bool) {
	if s.poisonous[c.body] {
		s.After(RetryAfterCrash, func() { c.answered(ok) })
		return
	}
	if ok {
		s.served++
	} else {
		s.refused++
	}
}

// attack describes how callers send poisonous bodies repeatedly. A poisonous body crashes every engine that runs it.
type attack struct {
	name string
	// copies is how often each body is sent at once, through the entries in turn. resendAfter is
	// how long a caller waits for a response before it sends the body again, or 0 for no limit.
	copies      int
	resendAfter time.Duration
	// bodies is the number of different bodies that crash.
	bodies int
}

func (s *simulation) attack(a attack, body uint64, entry int) {
	done := false
	again := func() {
		if !done {
			done = true
			s.attack(a, body, s.rng.IntN(entryCount))
		}
	}
	if a.resendAfter > 0 {
		s.After(a.resendAfter, again)
	}
	s.send(&call{
		body: body, entry: entry, deadline: s.Now() + callTimeout, exclude: make(map[replica.ID]bool),
		answered: func(bool) { s.After(tick, again) },
	})
}

func simulate(a attack, off bool, seed uint64) *simulation {
	s := &simulation{
		rng:     rand.New(rand.NewPCG(seed, 5)),
		running: make(map[replica.ID][]*call), down: make(map[replica.ID]bool),
		poisonous: make(map[uint64]bool), trackingOff: off,
	}
	for i := range s.entries {
		s.entries[i] = entry{router: routing.New(rand.New(rand.NewPCG(seed, uint64(i))), routing.Policy{}), tracker: New()}
	}
	s.push()
	for n := range uint64(a.bodies) {
		s.poisonous[n+1] = true
		for i := range a.copies {
			s.After(time.Duration(5+15*n)*time.Second, func() { s.attack(a, n+1, i%entryCount) })
		}
	}
	var arrive func()
	arrive = func() {
		s.send(&call{
			body: s.rng.Uint64() | 1<<40, entry: s.rng.IntN(entryCount), deadline: s.Now() + callTimeout,
			exclude: make(map[replica.ID]bool),
		})
		s.After(time.Duration(s.rng.ExpFloat64()/arrivalRate*float64(time.Second)), arrive)
	}
	s.After(time.Second, arrive)
	s.RunUntil(simulatedTime)
	return s
}

// TestPoisonousBodyCrashesAtMostTwoReplicas counts the replicas that one body crashes, for
// callers that use different entries and resend at different times. All other calls in flight
// must be answered.
func TestPoisonousBodyCrashesAtMostTwoReplicas(t *testing.T) {
	attacks := []attack{
		{name: "sent again when answered", copies: 1, bodies: 1},
		{name: "sent again after 5 s", copies: 1, resendAfter: 5 * time.Second, bodies: 1},
		{name: "sent again after 300 ms", copies: 1, resendAfter: 300 * time.Millisecond, bodies: 1},
		{name: "six copies at once", copies: 6, bodies: 1},
		{name: "three bodies in turn", copies: 1, bodies: 3},
	}
	for _, a := range attacks {
		for seed := uint64(1); seed <= *seeds; seed++ {
			off, on := simulate(a, true, seed), simulate(a, false, seed)
			t.Logf("| %s | %d | %d | %d | %d | %d |", a.name, seed, off.crashes, off.refused, on.crashes, on.refused)
			require.LessOrEqual(t, int(on.crashes), 2*a.bodies, "%s seed %d", a.name, seed)
			require.Zero(t, on.refused, "%s seed %d", a.name, seed)
		}
	}
}
