package membership

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/lease"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	ttl = 3 * time.Second
	// maxSkew is how much faster or slower than true a clock of the model runs, in
	// thousandths: two clocks differ by less than the two drift margins together.
	maxSkew = 45
)

// TestOneValidLeasePerHost runs processes that announce one host, with the lease
// that real daemons use, against leaders that come and go. Clocks drift, frames are
// late or lost, processes pause, restart and say goodbye. At most one process has a
// valid lease, and none has when the leader takes the host for lost.
func TestOneValidLeasePerHost(t *testing.T) {
	require.NoError(t, flag.Set("rapid.steps", "150"))
	require.NoError(t, flag.Set("rapid.checks", "2000"))
	rapid.Check(t, func(t *rapid.T) {
		w := &world{machine: state.New()}
		w.elect(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"start":    w.start,
			"announce": w.announce,
			"renew":    w.renew,
			"renew2":   w.renew,
			"receive":  w.receive,
			"receive2": w.receive,
			"grant":    w.grant,
			"grant2":   w.grant,
			"pass":     w.pass,
			"step":     w.step,
			"elect":    w.elect,
			"goodbye":  w.goodbye,
			"cut":      w.cut,
		})
	})
}

// clock is a process's own view of the true time.
type clock struct{ skew int }

func drawClock(t *rapid.T) clock {
	return clock{skew: rapid.SampledFrom([]int{-maxSkew, 0, maxSkew}).Draw(t, "skew")}
}

func (c clock) at(elapsed time.Duration) time.Time {
	return time.UnixMilli(1_000_000).Add(elapsed + elapsed*time.Duration(c.skew)/1000)
}

type processModel struct {
	clock       clock
	incarnation host.Incarnation
	lease       lease.Lease
	stopped     bool
}

type grantModel struct {
	to       *processModel
	sequence uint64
}

type renewalModel struct {
	from    *processModel
	renewal message.Renewal
	// leader is the one to whom the session of the renewal leads.
	leader *Table
}

type world struct {
	elapsed   time.Duration
	machine   *state.Machine
	table     *Table
	clock     clock
	processes []*processModel
	renewals  []renewalModel
	grants    []grantModel
}

func (w *world) now() time.Time { return w.clock.at(w.elapsed) }

func (w *world) check(t *rapid.T) {
	valid := 0
	for _, p := range w.processes {
		if !p.stopped && p.lease.Valid(p.clock.at(w.elapsed), 1) {
			valid++
		}
	}
	if valid > 1 {
		t.Fatalf("%d processes hold valid leases of one host", valid)
	}
	if d := w.table.Daemon("a1"); valid > 0 && d != nil && !d.Alive {
		t.Fatalf("the host counts as lost while its lease is valid")
	}
}

// draw returns the index of one of n things; it is false if there is none.
func draw(t *rapid.T, n int) (int, bool) {
	if n == 0 {
		return 0, false
	}
	return rapid.IntRange(0, n-1).Draw(t, "which"), true
}

func (w *world) process(t *rapid.T) *processModel {
	if i, ok := draw(t, len(w.processes)); ok {
		return w.processes[i]
	}
	return nil
}

// elect puts a new leader in office. It knows only what is replicated.
func (w *world) elect(t *rapid.T) {
	if w.table != nil && rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
		return
	}
	w.clock = drawClock(t)
	w.table = New(w.now(), ttl)
	w.admitted()
}

func (w *world) admitted() {
	for _, h := range w.machine.Hosts() {
		w.table.RecordAdmitted(w.now(), h.Role, h.Info)
	}
}

func (w *world) start(t *rapid.T) {
	if len(w.processes) == 4 {
		return
	}
	p := &processModel{clock: drawClock(t), incarnation: host.Incarnation(len(w.processes) + 1)}
	w.processes = append(w.processes, p)
	w.open(p)
}

func (w *world) announce(t *rapid.T) {
	if p := w.process(t); p != nil && !p.stopped {
		w.open(p)
	}
}

// open opens a session, unless the process has lost its place.
func (w *world) open(p *processModel) {
	if h, _ := w.machine.Host("a1"); contains(h.FormerIncarnations, p.incarnation) {
		return
	}
	p.lease.Restart()
	w.table.Announce(w.now(), host.RoleAgent, host.Info{ID: "a1", Incarnation: p.incarnation})
}

func contains(all []host.Incarnation, one host.Incarnation) bool {
	for _, i := range all {
		if i == one {
			return true
		}
	}
	return false
}

func (w *world) renew(t *rapid.T) {
	p := w.process(t)
	if p == nil || p.stopped {
		return
	}
	sequence := p.lease.Renewing(p.clock.at(w.elapsed))
	w.renewals = append(w.renewals, renewalModel{from: p, leader: w.table, renewal: message.Renewal{
		Host: "a1", Incarnation: p.incarnation, Sequence: sequence,
	}})
}

// receive hands a renewal to its leader. One that leads no more grants nothing.
func (w *world) receive(t *rapid.T) {
	i, ok := draw(t, len(w.renewals))
	if !ok {
		return
	}
	r := w.renewals[i]
	w.renewals = append(w.renewals[:i:i], w.renewals[i+1:]...)
	if r.leader == w.table && w.table.Renew(w.now(), r.renewal) {
		w.grants = append(w.grants, grantModel{to: r.from, sequence: r.renewal.Sequence})
	}
}

func (w *world) grant(t *rapid.T) {
	i, ok := draw(t, len(w.grants))
	if !ok {
		return
	}
	g := w.grants[i]
	w.grants = append(w.grants[:i:i], w.grants[i+1:]...)
	if !g.to.stopped {
		g.to.lease.Granted(g.sequence, ttl, 1)
	}
}

func (w *world) pass(t *rapid.T) {
	steps := []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, time.Second, 2900 * time.Millisecond, 4 * time.Second}
	w.elapsed += rapid.SampledFrom(steps).Draw(t, "time")
}

// step is the leader's look at the fleet: who is lost, and who may be admitted.
func (w *world) step(t *rapid.T) {
	w.table.ExpireLeases(w.now())
	for _, c := range w.table.Admissible(w.now()) {
		command, err := state.Encode(w.now(), 0, state.Admit{Role: c.Role, Info: c.Info})
		require.NoError(t, err)
		w.machine.Apply(0, command)
	}
	w.admitted()
}

func (w *world) goodbye(t *rapid.T) {
	p := w.process(t)
	if p == nil || p.stopped || rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
		return
	}
	p.stopped = true
	p.lease.Drop()
	if rapid.Bool().Draw(t, "arrives") {
		w.table.Goodbye(w.now(), "a1", p.incarnation, false)
	}
}

func (w *world) cut(t *rapid.T) {
	if p := w.process(t); p != nil {
		w.table.SessionEnded("a1", p.incarnation)
	}
}
