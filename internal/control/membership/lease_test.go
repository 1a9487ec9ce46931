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
	// clockSkew is how much faster or slower than true time a simulated clock runs, in
	// thousandths. Two clocks differ by less than the two drift margins together.
	clockSkew = 45
)

// TestAtMostOneValidLeasePerHost runs several processes that announce the same host,
// with the lease code of real daemons, against changing leaders. Clocks drift, frames
// are delayed or lost, processes pause, restart and say goodbye. At any time at most one
// process may hold a valid lease, and none while the leader considers the host lost.
func TestAtMostOneValidLeasePerHost(t *testing.T) {
	require.NoError(t, flag.Set("rapid.steps", "150"))
	require.NoError(t, flag.Set("rapid.checks", "2000"))
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{machine: state.New()}
		s.elect(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         s.check,
			"start":    s.start,
			"announce": s.announce,
			"renew":    s.renew,
			"renew2":   s.renew,
			"receive":  s.receive,
			"receive2": s.receive,
			"grant":    s.grant,
			"grant2":   s.grant,
			"pass":     s.pass,
			"step":     s.step,
			"elect":    s.elect,
			"goodbye":  s.goodbye,
			"cut":      s.cut,
		})
	})
}

// clock is the clock of one process, which runs too slow or too fast by skew thousandths.
type clock struct{ skew int }

func drawClock(t *rapid.T) clock {
	return clock{skew: rapid.SampledFrom([]int{-clockSkew, 0, clockSkew}).Draw(t, "skew")}
}

func (c clock) at(elapsed time.Duration) time.Time {
	return time.UnixMilli(1_000_000).Add(elapsed + elapsed*time.Duration(c.skew)/1000)
}

type simulatedProcess struct {
	clock       clock
	incarnation host.Incarnation
	lease       lease.Lease
	stopped     bool
}

type grantInFlight struct {
	to       *simulatedProcess
	sequence uint64
}

type renewalInFlight struct {
	from    *simulatedProcess
	renewal message.Renewal
	// leader is the leader at the other end of the renewal's session.
	leader *Table
}

type simulation struct {
	elapsed   time.Duration
	machine   *state.Machine
	table     *Table
	clock     clock
	processes []*simulatedProcess
	renewals  []renewalInFlight
	grants    []grantInFlight
}

func (s *simulation) now() time.Time { return s.clock.at(s.elapsed) }

func (s *simulation) check(t *rapid.T) {
	valid := 0
	for _, p := range s.processes {
		if !p.stopped && p.lease.Valid(p.clock.at(s.elapsed), 1) {
			valid++
		}
	}
	if valid > 1 {
		t.Fatalf("%d processes hold valid leases of one host", valid)
	}
	if d := s.table.Daemon("a1"); valid > 0 && d != nil && !d.Alive {
		t.Fatalf("the host is marked lost while its lease is valid")
	}
}

// drawIndex draws an index below n. It returns false if n is 0.
func drawIndex(t *rapid.T, n int) (int, bool) {
	if n == 0 {
		return 0, false
	}
	return rapid.IntRange(0, n-1).Draw(t, "which"), true
}

func (s *simulation) drawProcess(t *rapid.T) *simulatedProcess {
	if i, ok := drawIndex(t, len(s.processes)); ok {
		return s.processes[i]
	}
	return nil
}

// elect starts the term of a new leader, which knows only the replicated state.
func (s *simulation) elect(t *rapid.T) {
	if s.table != nil && rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
		return
	}
	s.clock = drawClock(t)
	s.table = New(s.now(), ttl)
	s.recordAdmitted()
}

func (s *simulation) recordAdmitted() {
	for _, h := range s.machine.Hosts() {
		s.table.RecordAdmitted(s.now(), h.Role, h.Info)
	}
}

func (s *simulation) start(t *rapid.T) {
	if len(s.processes) == 4 {
		return
	}
	p := &simulatedProcess{clock: drawClock(t), incarnation: host.Incarnation(len(s.processes) + 1)}
	s.processes = append(s.processes, p)
	s.openSession(p)
}

func (s *simulation) announce(t *rapid.T) {
	if p := s.drawProcess(t); p != nil && !p.stopped {
		s.openSession(p)
	}
}

// openSession opens a session, unless a later incarnation has been admitted.
func (s *simulation) openSession(p *simulatedProcess) {
	if h, _ := s.machine.Host("a1"); contains(h.FormerIncarnations, p.incarnation) {
		return
	}
	p.lease.ForgetPending()
	s.table.Announce(s.now(), host.RoleAgent, host.Info{ID: "a1", Incarnation: p.incarnation})
}

func contains(all []host.Incarnation, one host.Incarnation) bool {
	for _, i := range all {
		if i == one {
			return true
		}
	}
	return false
}

func (s *simulation) renew(t *rapid.T) {
	p := s.drawProcess(t)
	if p == nil || p.stopped {
		return
	}
	sequence := p.lease.RecordRenewal(p.clock.at(s.elapsed))
	s.renewals = append(s.renewals, renewalInFlight{from: p, leader: s.table, renewal: message.Renewal{
		Host: "a1", Incarnation: p.incarnation, Sequence: sequence,
	}})
}

// receive delivers a renewal to its leader. A former leader grants nothing.
func (s *simulation) receive(t *rapid.T) {
	i, ok := drawIndex(t, len(s.renewals))
	if !ok {
		return
	}
	r := s.renewals[i]
	s.renewals = append(s.renewals[:i:i], s.renewals[i+1:]...)
	if r.leader == s.table && s.table.Renew(s.now(), r.renewal) {
		s.grants = append(s.grants, grantInFlight{to: r.from, sequence: r.renewal.Sequence})
	}
}

func (s *simulation) grant(t *rapid.T) {
	i, ok := drawIndex(t, len(s.grants))
	if !ok {
		return
	}
	g := s.grants[i]
	s.grants = append(s.grants[:i:i], s.grants[i+1:]...)
	if !g.to.stopped {
		g.to.lease.ApplyGrant(g.sequence, ttl, 1)
	}
}

// pass lets some time pass.
func (s *simulation) pass(t *rapid.T) {
	steps := []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, time.Second, 2900 * time.Millisecond, 4 * time.Second}
	s.elapsed += rapid.SampledFrom(steps).Draw(t, "time")
}

// step is a periodic step of the leader: it marks lost hosts and admits incarnations.
func (s *simulation) step(t *rapid.T) {
	s.table.ExpireLeases(s.now())
	for _, c := range s.table.Admissible(s.now()) {
		command, err := state.Encode(s.now(), 0, state.Admit{Role: c.Role, Info: c.Info})
		require.NoError(t, err)
		s.machine.Apply(0, command)
	}
	s.recordAdmitted()
}

func (s *simulation) goodbye(t *rapid.T) {
	p := s.drawProcess(t)
	if p == nil || p.stopped || rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
		return
	}
	p.stopped = true
	p.lease.Release()
	if rapid.Bool().Draw(t, "arrives") {
		s.table.Goodbye(s.now(), "a1", p.incarnation, false)
	}
}

// cut ends the session of a process.
func (s *simulation) cut(t *rapid.T) {
	if p := s.drawProcess(t); p != nil {
		s.table.SessionEnded("a1", p.incarnation)
	}
}
