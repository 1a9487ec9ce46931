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
	"github.com/egretreach/egretreach/internal/standin/batch"
)

var seeds = flag.Uint64("seeds", 2, "number of seeds of the measurement")

// The model: entries that route with their own Router and Tracker, replicas that a
// poisonous body crashes, and control, whose views come late.
const (
	tick        = 10 * time.Millisecond
	modelFor    = time.Minute
	replicaMax  = 30
	entryMax    = 3
	arrivalRate = 50.0
	// reportDelay is from a crash to control's commit, pushDelay the greatest delay
	// of a view from there.
	reportDelay = 60 * time.Millisecond
	pushDelay   = 100 * time.Millisecond
	answerIn    = 20 * time.Second
	backoff     = 50 * time.Millisecond
	// crashWithin is how long a poisonous body runs before the crash, at most.
	crashWithin = time.Second
)

type call struct {
	body     uint64
	entry    int
	deadline time.Duration
	exclude  map[replica.ID]bool
	id       replica.ID
	ticket   routing.AttemptID
	suspect  bool
	ended    bool
	// answered is called when the caller gets its answer.
	answered func(ok bool)
}

type entryModel struct {
	router  *routing.Router
	tracker *Tracker
	view    view.View
}

type fleet struct {
	rng *rand.Rand
	batch.Timeline
	entries [entryMax]entryModel
	running map[replica.ID][]*call
	down    map[replica.ID]bool
	control quarantine.State
	poison  map[uint64]bool
	off     bool
	crashes byte
	refused int
	served  int
	// sequence orders the views.
	sequence uint64
}

func (f *fleet) clock() time.Time { return time.UnixMilli(f.Now().Milliseconds() + 1_000_000) }

// push sends control's view to each entry, late.
func (f *fleet) push() {
	var v view.View
	for i := range replicaMax {
		id := modelID(i)
		if !f.down[id] {
			spec := replica.Spec{Deployment: "d", Model: "m"}
			v.Routes = append(v.Routes, view.Route{Replica: replica.Replica{ID: id, Fence: 1, Spec: spec, State: replica.StateServing}})
		}
	}
	f.sequence++
	v.Sequence = f.sequence
	v.Quarantine = f.control.View(f.clock())
	for i := range f.entries {
		f.In(time.Duration(f.rng.Int64N(int64(pushDelay))), func() {
			e := &f.entries[i]
			if !v.Newer(e.view) {
				return
			}
			e.view = v
			e.router.SetView(f.clock(), v)
			e.tracker.SetView(f.clock(), v.Quarantine)
			f.confine(i)
		})
	}
}

// confine offers again what may no longer run as it does.
func (f *fleet) confine(entry int) {
	if f.off {
		return
	}
	tracker := f.entries[entry].tracker
	for _, hash := range tracker.Revoked(f.clock()) {
		_, quarantined := tracker.Check(f.clock(), hash).(Quarantined)
		for i := range replicaMax {
			for _, c := range slices.Clone(f.running[modelID(i)]) {
				if c.entry == entry && c.body == hash && (quarantined || !c.suspect) {
					f.end(c, false)
					f.send(c)
				}
			}
		}
	}
}

func modelID(i int) replica.ID { return replica.ID(strconv.Itoa(i)) }

func (f *fleet) send(c *call) {
	e := f.entries[c.entry]
	verdict := e.tracker.Check(f.clock(), c.body)
	if _, refused := verdict.(Quarantined); (refused && !f.off) || f.Now() >= c.deadline {
		f.finish(c, false)
		return
	}
	_, c.suspect = verdict.(Suspect)
	c.suspect = c.suspect && !f.off
	req := routing.Request{Deployment: "d", PromptTokens: 500, BodyHash: c.body, Exclude: c.exclude, Suspect: c.suspect}
	choice, err := e.router.Pick(f.clock(), req)
	if err != nil {
		f.In(backoff, func() { f.send(c) })
		return
	}
	c.id = choice.Route.Replica.ID
	busy := func(o *call) bool { return o.suspect }
	if f.down[c.id] || (c.suspect && slices.ContainsFunc(f.running[c.id], busy)) {
		f.In(backoff, func() { f.send(c) })
		return
	}
	c.ticket = e.router.Dispatched(f.clock(), req, choice)
	e.tracker.Begin(c.body, c.id, c.suspect)
	f.running[c.id] = append(f.running[c.id], c)
	c.ended = false
	at, id := c.ticket, c.id
	f.In(150*time.Millisecond, func() { e.router.FirstToken(f.clock(), at) })
	if f.poison[c.body] {
		f.In(2*tick+time.Duration(f.rng.Int64N(int64(crashWithin))), func() {
			if !f.down[id] && c.ticket == at && !c.ended {
				f.crash(id)
			}
		})
		return
	}
	f.In(500*time.Millisecond+time.Duration(f.rng.Int64N(int64(3*time.Second))), func() {
		if c.ticket == at && !c.ended {
			f.end(c, true)
			f.finish(c, true)
		}
	})
}

// end takes a call off its replica.
func (f *fleet) end(c *call, ok bool) {
	c.ended = true
	e := f.entries[c.entry]
	f.running[c.id] = slices.DeleteFunc(f.running[c.id], func(o *call) bool { return o == c })
	e.router.Finished(f.clock(), c.ticket, routing.Result{Complete: ok})
	e.tracker.End(c.body, c.id, c.suspect)
	if ok && c.suspect && e.tracker.Completed(c.body) {
		f.In(reportDelay, func() {
			f.control.Complete(f.clock(), []uint64{c.body})
			f.push()
		})
	}
}

func (f *fleet) crash(id replica.ID) {
	f.down[id] = true
	f.crashes++
	report := message.CrashReport{Replica: id, Fence: 1, Crash: request.ID{f.crashes}}
	for _, c := range slices.Clone(f.running[id]) {
		report.Suspects = append(report.Suspects, c.body)
		f.end(c, false)
		f.In(tick, func() {
			f.entries[c.entry].tracker.Crashed(f.clock(), c.body, id, 1)
			c.exclude[id] = true
			f.confine(c.entry)
			f.In(RetryAfterCrash, func() { f.send(c) })
		})
	}
	f.In(reportDelay, func() {
		f.control.Crash(f.clock(), report)
		f.push()
	})
}

func (f *fleet) finish(c *call, ok bool) {
	if f.poison[c.body] {
		f.In(RetryAfterCrash, func() { c.answered(ok) })
		return
	}
	if ok {
		f.served++
	} else {
		f.refused++
	}
}

// attack sends the poisonous body again and again.
type attack struct {
	name string
	// copies are sent at once, each through an entry of its own; patience is how
	// long the caller waits for an answer before it sends again, 0 for ever.
	copies   int
	patience time.Duration
	// bodies is the number of different bodies that crash.
	bodies int
}

func (f *fleet) attack(a attack, body uint64, entry int) {
	done := false
	again := func() {
		if !done {
			done = true
			f.attack(a, body, f.rng.IntN(entryMax))
		}
	}
	if a.patience > 0 {
		f.In(a.patience, again)
	}
	f.send(&call{
		body: body, entry: entry, deadline: f.Now() + answerIn, exclude: make(map[replica.ID]bool),
		answered: func(bool) { f.In(tick, again) },
	})
}

func simulate(a attack, off bool, seed uint64) *fleet {
	f := &fleet{
		rng:     rand.New(rand.NewPCG(seed, 5)),
		running: make(map[replica.ID][]*call), down: make(map[replica.ID]bool),
		poison: make(map[uint64]bool), off: off,
	}
	for i := range f.entries {
		f.entries[i] = entryModel{router: routing.New(rand.New(rand.NewPCG(seed, uint64(i))), routing.Policy{}), tracker: New()}
	}
	f.push()
	for n := range uint64(a.bodies) {
		f.poison[n+1] = true
		for i := range a.copies {
			f.In(time.Duration(5+15*n)*time.Second, func() { f.attack(a, n+1, i%entryMax) })
		}
	}
	var arrive func()
	arrive = func() {
		f.send(&call{
			body: f.rng.Uint64() | 1<<40, entry: f.rng.IntN(entryMax), deadline: f.Now() + answerIn,
			exclude: make(map[replica.ID]bool),
		})
		f.In(time.Duration(f.rng.ExpFloat64()/arrivalRate*float64(time.Second)), arrive)
	}
	f.In(time.Second, arrive)
	f.Run(modelFor)
	return f
}

// TestCrashingRequest counts the replicas that one body takes down: two at most,
// whatever entries and times its caller uses. Innocents in flight are answered.
func TestCrashingRequest(t *testing.T) {
	attacks := []attack{
		{name: "sent again when answered", copies: 1, bodies: 1},
		{name: "sent again after 5 s", copies: 1, patience: 5 * time.Second, bodies: 1},
		{name: "sent again after 300 ms", copies: 1, patience: 300 * time.Millisecond, bodies: 1},
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
