package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// heardNotice is the reference model's state of one incarnation.
type heardNotice struct {
	leaving bool
	// busyUntil is the end of the busy time.
	busyUntil time.Time
}

// TestNoRequestGoesAgainstANotice draws endpoints, notices, restarts, announcements and requests. It
// guards against a request to an incarnation that has said that it leaves, or within the time for
// which it accepts none, and against a request that isn't placed although an endpoint without a
// notice has capacity.
func TestNoRequestGoesAgainstANotice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := plain(4), noon
		started, heard := map[string]int64{}, map[string]heardNotice{}
		for i := range 4 {
			started[fmt.Sprint("p", i)] = 1
		}
		key := func(id string) string { return fmt.Sprint(id, "/", started[id]) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				b.MarkLeaving(id, started[id])
				heard[key(id)] = heardNotice{leaving: true, busyUntil: heard[key(id)].busyUntil}
			case 1:
				busy := time.Duration(rapid.IntRange(1, 5000).Draw(t, "busy ms")) * time.Millisecond
				b.MarkBusy(id, started[id], busy, now)
				h := heard[key(id)]
				if until := now.Add(busy); until.After(h.busyUntil) {
					h.busyUntil = until
				}
				heard[key(id)] = h
			case 2:
				started[id]++
				b.UpdateEndpoints([]roster.Endpoint{{ID: id, Service: "plain", FailureDomain: "a", Slots: 6, StartedMs: started[id]}})
			case 3:
				b.MarkLeaving(id, started[id]-1) // A late response of the incarnation before.
				b.MarkBusy(id, started[id]-1, time.Hour, now)
				b.UpdateEndpoints([]roster.Endpoint{{ID: id, Service: "plain", FailureDomain: "a", Slots: 6, StartedMs: started[id], State: roster.StateReady}})
			default:
				d, w := b.Submit(Request{Service: "plain", ArrivedAt: now, WaitUntil: now}, now)
				require.Nil(t, w)
				if d.Endpoint.ID == "" {
					requireNoEndpointFree(t, b, heard, key, now)
					continue
				}
				h := heard[key(d.Endpoint.ID)]
				require.False(t, h.leaving, "%s leaves", d.Endpoint.ID)
				require.False(t, now.Before(h.busyUntil), "%s is busy", d.Endpoint.ID)
				b.RequestEnded(d.Endpoint.ID, Request{}, false, ResultSuccess, now)
			}
		}
	})
}

// requireNoEndpointFree requires that each endpoint has a notice, or has just got one more request
// after its return.
func requireNoEndpointFree(t *rapid.T, b *Balancer, heard map[string]heardNotice, key func(string) string, now time.Time) {
	for id := range b.endpoints {
		h := heard[key(id)]
		if !h.leaving && now.Sub(h.busyUntil) >= returnTime {
			t.Fatalf("a request is refused although %s is free", id)
		}
	}
}

// TestLoadReturnsGraduallyAfterABusyTime guards against an endpoint that gets all its load at once when
// its busy time ends.
func TestLoadReturnsGraduallyAfterABusyTime(t *testing.T) {
	b := plain(1)
	b.MarkBusy("p0", 1, time.Second, noon)
	place := func(after time.Duration) (placed int) {
		now := noon.Add(time.Second + after)
		for range 20 {
			if d, _ := b.Submit(Request{Service: "plain", ArrivedAt: now, WaitUntil: now}, now); d.Endpoint.ID != "" {
				placed++
			}
		}
		for range placed {
			b.RequestEnded("p0", Request{}, false, ResultSuccess, now)
		}
		return placed
	}
	require.Zero(t, place(-time.Millisecond))
	require.Equal(t, 1, place(0))
	require.Equal(t, 4, place(returnTime/2))
	require.Equal(t, 12, place(returnTime), "its slots and its queue")
}

// busyRun is the outcome of a simulation of busy endpoints.
type busyRun struct {
	requests, refused int
	// waits holds the time in the queue of each request that was served.
	waits []time.Duration
	// sentToBusy counts the requests that reached a busy endpoint, and mostInBusyTime the most that
	// reached one endpoint in one busy time later than half a second after its first refusal.
	sentToBusy, mostInBusyTime int
}

func (r busyRun) refusedShare() float64 { return float64(r.refused) / float64(r.requests) }

func (r busyRun) p99Wait() time.Duration {
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

// Sizes and times of the simulation of busy endpoints.
const (
	simEndpoints = 20
	simSlots     = 6
	simLoad      = 0.7
	simStep      = 5 * time.Millisecond
	simWork      = 60 * time.Millisecond
	simWait      = 105 * time.Millisecond
	simBusy      = 2 * time.Second
	simLength    = 20 * time.Second
)

// busySimulation drives a balancer whose endpoints are busy in turn: of even and odd ones each half for
// simBusy. A busy endpoint declines what reaches it.
type busySimulation struct {
	b *Balancer
	// obey says that the balancer receives the notices.
	obey     bool
	now      time.Time
	turn     int
	waiting  []*Waiter
	running  map[string][]time.Time
	declined map[string][]time.Time
	busyRun
}

// sent handles a request that was sent to an endpoint, and tries another one if that is busy.
func (s *busySimulation) sent(d Decision, req Request, tries int) {
	var number int
	_, _ = fmt.Sscanf(d.Endpoint.ID, "p%d", &number)
	if number%2 != s.turn%2 {
		s.running[d.Endpoint.ID] = append(s.running[d.Endpoint.ID], s.now.Add(simWork))
		s.waits = append(s.waits, s.now.Sub(req.ArrivedAt))
		return
	}
	s.sentToBusy++
	window := fmt.Sprint(d.Endpoint.ID, "/", s.turn)
	s.declined[window] = append(s.declined[window], s.now)
	late := 0
	for _, at := range s.declined[window] {
		if at.Sub(s.declined[window][0]) > 500*time.Millisecond {
			late++
		}
	}
	s.mostInBusyTime = max(s.mostInBusyTime, late)
	s.b.RequestEnded(d.Endpoint.ID, req, false, ResultOverloaded, s.now)
	if s.obey {
		s.b.MarkBusy(d.Endpoint.ID, 1, noon.Add(time.Duration(s.turn+1)*simBusy).Sub(s.now), s.now)
	}
	req.Exclude = append(slices.Clone(req.Exclude), d.Endpoint.ID)
	if tries < 2 {
		s.submit(req, tries+1)
		return
	}
	s.refused++
}

func (s *busySimulation) submit(req Request, tries int) {
	d, w := s.b.Submit(req, s.now)
	switch {
	case w != nil:
		s.waiting = append(s.waiting, w)
	case d.Refused:
		s.refused++
	default:
		s.sent(d, req, tries)
	}
}

// step ends the requests that are done, places waiting ones and submits new ones.
func (s *busySimulation) step(arrivals int) {
	for id, ends := range s.running {
		s.running[id] = slices.DeleteFunc(ends, func(end time.Time) bool {
			done := !s.now.Before(end)
			if done {
				s.b.RequestEnded(id, Request{}, false, ResultSuccess, s.now)
			}
			return done
		})
	}
	s.b.ProcessQueue(s.now)
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		select {
		case d := <-w.Decided:
			if d.Refused {
				s.refused++
				continue
			}
			s.sent(d, w.Request, 1)
		default:
			s.waiting = append(s.waiting, w)
		}
	}
	for range arrivals {
		s.requests++
		s.submit(Request{Service: "plain", ArrivedAt: s.now, WaitUntil: s.now.Add(simWait)}, 1)
	}
}

func runBusyInTurn(obey bool) busyRun {
	s := &busySimulation{b: plain(simEndpoints), obey: obey, running: map[string][]time.Time{}, declined: map[string][]time.Time{}}
	credit := 0.0
	for at := time.Duration(0); at < simLength; at += simStep {
		s.now, s.turn = noon.Add(at), int(at/simBusy)
		credit += simLoad * simEndpoints / 2 * simSlots * float64(simStep) / float64(simWork)
		s.step(int(credit))
		credit -= float64(int(credit))
	}
	return s.busyRun
}

// TestHalfOfTheEndpointsBusyInTurn guards against requests to busy endpoints, and against refusals while
// the others have room, when half of the endpoints are busy for 2 s in turn at 70 % load.
func TestHalfOfTheEndpointsBusyInTurn(t *testing.T) {
	before, after := runBusyInTurn(false), runBusyInTurn(true)
	for name, r := range map[string]busyRun{"notices ignored": before, "notices obeyed": after} {
		t.Logf("%s: refused %.4f, p99 wait %v, sent to busy endpoints %d, most in one busy time %d",
			name, r.refusedShare(), r.p99Wait(), r.sentToBusy, r.mostInBusyTime)
	}
	require.LessOrEqual(t, after.mostInBusyTime, 2)
	require.Less(t, after.sentToBusy, before.sentToBusy)
	require.LessOrEqual(t, after.refusedShare(), before.refusedShare()+0.01)
}

// BenchmarkPick measures one pick among 800 heads, of which one in four has a notice.
func BenchmarkPick(b *testing.B) {
	balancer := heads(800)
	for i := 0; i < 800; i += 4 {
		balancer.MarkBusy(fmt.Sprint("h", i), 1, time.Hour, noon)
	}
	req := newRequest(1000, noon)
	b.ReportAllocs()
	for b.Loop() {
		if t, _ := balancer.pick(req, noon); t == nil {
			b.Fatal("no endpoint")
		}
	}
}
