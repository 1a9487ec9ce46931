package main

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the rule on lost requests.
const (
	// readTime is how long after its sending a request counts as read, though no endpoint got it.
	readTime = 200 * time.Millisecond
	// stopGrace is the time from SIGTERM to SIGKILL, and stopAftermath that for which a request
	// may be lost because of the stop after it.
	stopGrace     = 8 * time.Second
	stopAftermath = time.Second
	// stopTime bounds a planned stop: the grace and a margin for a busy machine.
	stopTime = stopGrace + 2*time.Second
	// earlyInStop is how long after SIGTERM a request may be sent that is cut in lastSixth without
	// a violation, as its endpoint is still at work.
	earlyInStop = 3 * time.Second
	lastSixth   = stopGrace / 6
	// reloadTime is how long after a SIGHUP a request may be sent that is lost because of it.
	reloadTime = 2 * time.Second
	// changeAftermath is how long after its acknowledgement a change of the configuration may cause
	// a loss.
	changeAftermath = 3 * time.Second
	// usedShare is the share of its time after which a request isn't lost because of a change.
	usedShare = 0.7
)

// exchange is a request and what its caller saw of it.
type exchange struct {
	id, kind string
	// timeout is the lower of the caller's deadline and the route's timeout.
	timeout time.Duration
	// opened is when the connection was opened, if it was opened ahead of the request, and began
	// otherwise.
	opened, began time.Time
	// connOpenedAt is when the connection was opened, if it may have carried earlier requests, and zero otherwise.
	connOpenedAt time.Time
	// sent is when the whole request was written. It is zero if it wasn't.
	sent time.Time
	// turn is when the response before it on the connection had ended, if that was later. A gateway reads the request then at the earliest.
	turn time.Time
	// before is when the endpoint of the response before it had finished, or zero if it isn't known. If this request had been sent by then, it
	// lay at the gateway when that response ended.
	before time.Time
	// afterEnd reports that the response before it on the connection ended the connection, so that no gateway reads the request.
	afterEnd bool
	// lastData is when the last part of the response was read.
	lastData time.Time
	// ended is when the connection ended.
	ended     time.Time
	connected bool
	// answered reports that the header of a response was read.
	answered bool
	// complete reports that the response is complete and correct.
	complete bool
}

// readable returns the earliest time at which a gateway could have read the whole request.
func (e exchange) readable() time.Time {
	if e.turn.After(e.sent) {
		return e.turn
	}
	return e.sent
}

// class says how far an exchange without a complete response got.
func (e exchange) class() string {
	switch {
	case e.answered:
		return "broken off"
	case !e.sent.IsZero():
		return "sent whole, no answer"
	case e.connected:
		return "not sent whole"
	default:
		return "could not connect"
	}
}

// plannedStop is the time from the first to the last SIGTERM or SIGINT that one run of a process got.
type plannedStop struct {
	first, last time.Time
}

// change is the time from the sending of a configuration to its acknowledgement or failure. settled
// is zero until then.
type change struct {
	sent, settled time.Time
}

// circumstances are what happened to a gateway and endpoints around an exchange.
type circumstances struct {
	stops   []plannedStop
	reloads []time.Time
	changes []change
	// ran reports that an endpoint got the request, and working that it was still at work.
	ran, working bool
	// gatewayForced reports that the gateway was killed or paused, endpointDisturbed that an
	// endpoint or its connections were disturbed, since settleTime before the request.
	gatewayForced, endpointDisturbed bool
}

// verdict is the result of the rule for one exchange.
type verdict struct {
	violation bool
	reason    string
}

// String returns the name of the verdict in the counts of a report.
func (v verdict) String() string {
	if v.violation {
		return "LOST " + v.reason
	}
	return "excused: " + v.reason
}

// judge applies the rule to an exchange that ended without a complete response.
func (c circumstances) judge(e exchange) verdict {
	excuse := func(reason string) verdict { return verdict{reason: reason} }
	switch {
	case e.sent.IsZero():
		return excuse("not sent whole")
	case !c.ran && !e.answered && e.afterEnd:
		return excuse("sent to a connection that ended")
	case !c.ran && !e.answered && !c.waited(e) && e.ended.Sub(e.readable()) <= readTime:
		return excuse("crossed a close")
	case e.ended.Sub(e.began) >= e.timeout:
		return excuse("deadline reached")
	case c.gatewayForced:
		return excuse("gateway killed or paused")
	case c.endpointDisturbed:
		return excuse("endpoint disturbed")
	case c.working && c.inLastSixth(e):
		return excuse("at work until the end of a stop")
	case c.besideStop(e):
		return verdict{true, "beside a stop"}
	case c.besideReload(e):
		return verdict{true, "beside a SIGHUP"}
	case c.besideChange(e):
		return verdict{true, "beside a change"}
	default:
		return verdict{true, "without any cause"}
	}
}

// waited reports whether a request had arrived well before the response before it ended, and the time of a stop was not up then.
func (c circumstances) waited(e exchange) bool {
	if e.before.Sub(e.sent) <= readTime {
		return false
	}
	return !slices.ContainsFunc(c.stops, func(s plannedStop) bool {
		return e.before.After(s.first.Add(stopGrace - lastSixth))
	})
}

// inLastSixth reports whether an exchange that began early in a stop ended after the last sixth had begun.
func (c circumstances) inLastSixth(e exchange) bool {
	return slices.ContainsFunc(c.stops, func(s plannedStop) bool {
		end := s.first.Add(stopGrace)
		return !e.sent.After(s.first.Add(earlyInStop)) && !e.ended.Before(end.Add(-lastSixth)) && !e.ended.After(end.Add(stopAftermath))
	})
}

func (c circumstances) besideStop(e exchange) bool {
	return slices.ContainsFunc(c.stops, func(s plannedStop) bool {
		return !e.ended.Before(s.first) && !e.ended.After(s.last.Add(stopGrace+stopAftermath))
	})
}

func (c circumstances) besideReload(e exchange) bool {
	return slices.ContainsFunc(c.reloads, func(at time.Time) bool {
		return !e.sent.After(at.Add(reloadTime)) && !e.ended.Before(at)
	})
}

func (c circumstances) besideChange(e exchange) bool {
	if e.ended.Sub(e.began) >= time.Duration(usedShare*float64(e.timeout)) {
		return false
	}
	return slices.ContainsFunc(c.changes, func(ch change) bool {
		return !e.ended.Before(ch.sent) && (ch.settled.IsZero() || !e.ended.After(ch.settled.Add(changeAftermath)))
	})
}

// lastSignal describes the last signal of planned work before a time.
func (c circumstances) lastSignal(at time.Time) string {
	var last time.Time
	for _, s := range c.stops {
		for _, signal := range []time.Time{s.first, s.last} {
			if signal.After(last) && !signal.After(at) {
				last = signal
			}
		}
	}
	for _, signal := range c.reloads {
		if signal.After(last) && !signal.After(at) {
			last = signal
		}
	}
	if last.IsZero() {
		return "without a signal"
	}
	return fmt.Sprintf("%v after a signal", at.Sub(last).Round(time.Microsecond))
}

// checkIncomplete counts an exchange that ended without a complete response, applies the rule to it,
// and logs the result.
func (t *testbed) checkIncomplete(g *process, e exchange, cause error) {
	t.recorder.count(e.class())
	if e.sent.IsZero() {
		return
	}
	c := t.circumstancesOf(g, e)
	v := c.judge(e)
	t.recorder.count(v.String())
	ran, _ := t.recorder.ranOn(e.id)
	text := fmt.Sprintf("%s to %s %s: ran on %v, ended %v after it was sent, %v after the last data, %s: %v",
		e.id, g.name, e.class(), ran, e.ended.Sub(e.sent).Round(time.Microsecond), e.sinceData(), c.lastSignal(e.ended), cause)
	t.log("CUT %s, %v", text, v)
	if v.violation {
		t.recorder.reportViolation("%v: %s", v, text)
	}
}

// sinceData returns the time from the last data of the response, or from the sending of the request, to
// the end.
func (e exchange) sinceData() time.Duration {
	if e.lastData.IsZero() {
		return e.ended.Sub(e.sent).Round(time.Microsecond)
	}
	return e.ended.Sub(e.lastData).Round(time.Microsecond)
}

// undisturbedFrom returns the time from which on a gateway must not have been disturbed to owe the exchange a response. A connection that was
// opened before may belong to a process that is gone, and of whose responses the kernel still delivers the rest.
func (e exchange) undisturbedFrom() time.Time {
	from := e.opened.Add(-settleTime)
	if !e.connOpenedAt.IsZero() && e.connOpenedAt.Before(from) {
		return e.connOpenedAt
	}
	return from
}

// circumstancesOf collects what happened around an exchange.
func (t *testbed) circumstancesOf(g *process, e exchange) circumstances {
	since := e.opened.Add(-settleTime)
	ran, finished := t.recorder.ranOn(e.id)
	c := g.plannedWork(since)
	c.ran = len(ran) > 0
	c.working = c.ran && (finished.IsZero() || finished.After(e.ended))
	c.changes = t.changesSoFar()
	c.endpointDisturbed = !t.backendsUndisturbed(ran, since)
	return c
}
