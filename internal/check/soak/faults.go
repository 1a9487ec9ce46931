package main

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// wipeInterval is the minimum time between the losses of two disks. In it, the state of the
	// first one is copied back from the other portals.
	wipeInterval = 6 * time.Second
	// minSilence and maxSilence bound the silence of an endpoint.
	minSilence = 500 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	// minLeaving and maxLeaving bound the time from an endpoint's notice that it leaves to its end.
	minLeaving = 3 * time.Second
	maxLeaving = 5 * time.Second
	// minBusy, maxBusy and maxAllBusy bound the time for which one or all endpoints are busy.
	minBusy    = 500 * time.Millisecond
	maxBusy    = 2 * time.Second
	maxAllBusy = 1500 * time.Millisecond
	// maxRepeats is the maximum number of times that a SIGTERM comes again, minRepeatDelay and
	// maxRepeatDelay bound the time between two of them.
	maxRepeats     = 3
	minRepeatDelay = 50 * time.Millisecond
	maxRepeatDelay = 2 * time.Second
	// interruptRatio is the number of repeated signals of which one is a SIGINT.
	interruptRatio = 4
	// A series begins with seriesBurst signals at once, and goes on with one after each seriesInterval.
	seriesBurst    = 5
	seriesInterval = 400 * time.Millisecond
	// maxReloadDelay bounds the time between a SIGHUP and a SIGTERM.
	maxReloadDelay = 500 * time.Millisecond
)

// faultInjector injects faults into a testbed. The seed decides the kind, start and duration of
// each.
type faultInjector struct {
	testbed *testbed
	rng     *rand.Rand
	// kinds selects the faults, interval is the mean time between the starts of two of them.
	kinds    faultKinds
	interval time.Duration
	lastWipe time.Time
	// wiped is the portal that lost its disk last, and had been admitted admissions times before.
	wiped      *process
	admissions int
	running    sync.WaitGroup
}

// run injects faults until ctx ends, and waits for the end of those in progress.
func (f *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(f.rng.ExpFloat64() * float64(f.interval)))
		f.injectOne(ctx)
	}
	f.running.Wait()
}

// injectOne starts one fault.
func (f *faultInjector) injectOne(ctx context.Context) {
	t := f.testbed
	duration := f.between(minFaultDuration, maxFaultDuration)
	gateway, portal := t.gateways[f.rng.IntN(gatewayCount)], t.portals[f.rng.IntN(portalCount)]
	target := t.backends[f.rng.IntN(backendCount)]
	daemon := gateway
	if f.rng.IntN(2) == 0 {
		daemon = portal
	}
	switch f.kinds.pick(f.rng) {
	case faultKill:
		f.restart(daemon, syscall.SIGKILL, duration)
	case faultStop:
		f.stopOnce(daemon, syscall.SIGTERM, duration)
	case faultInterrupt:
		f.stopOnce(daemon, syscall.SIGINT, duration)
	case faultRepeatStop:
		f.stopRepeatedly(daemon, duration)
	case faultSeries:
		f.stopInSeries(gateway, duration)
		f.stopInSeries(t.gateways[f.rng.IntN(gatewayCount)], duration)
	case faultReload:
		f.signal(daemon, syscall.SIGHUP)
	case faultReloadStop:
		f.stopAmidReloads(daemon, duration)
	case faultPause:
		f.pause(daemon, duration)
	case faultCrash:
		f.crash(ctx, target, duration)
	case faultDrain:
		f.leave(ctx, target, duration)
	case faultSilence:
		f.silence(target, f.between(minSilence, maxSilence))
	case faultLeaving:
		f.leaveByNotice(ctx, target, f.between(minLeaving, maxLeaving))
	case faultBusy:
		f.busy(f.between(minBusy, maxBusy), target)
	case faultAllBusy:
		f.busy(f.between(minBusy, maxAllBusy), t.backends...)
	case faultLink:
		f.disturbConnections(target, mode(1+f.rng.IntN(int(modeReset))), duration)
	case faultWipe:
		f.wipe(portal, duration)
	default: // Changes and late callers run all the time.
	}
}

// between returns a random duration.
func (f *faultInjector) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Int64N(int64(most-least)))
}

// signal sends a signal to a process and logs how many streams it holds.
func (f *faultInjector) signal(p *process, s syscall.Signal) {
	f.testbed.log("SIGNAL %v to %s with %d streams", s, p.name, p.streams.Load())
	p.signal(s)
}

// after calls end in the background after a delay. run waits for it.
func (f *faultInjector) after(delay time.Duration, end func()) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		time.Sleep(delay)
		end()
	}()
}

// restart ends a process by a signal, and starts it again a delay after its end.
func (f *faultInjector) restart(p *process, s syscall.Signal, duration time.Duration) {
	f.signal(p, s)
	f.startAfterEnd(p, duration)
}

// startAfterEnd starts a process again a delay after its end.
func (f *faultInjector) startAfterEnd(p *process, delay time.Duration) {
	signalled := time.Now()
	f.after(0, func() {
		p.end(f.testbed.recorder, signalled)
		time.Sleep(delay)
		f.startAgain(p)
		f.testbed.log("%s is started again", p.name)
	})
}

// stopOnce stops a process by one signal, unless it stops already, and starts it again.
func (f *faultInjector) stopOnce(p *process, s syscall.Signal, duration time.Duration) {
	if _, running := p.running(); running {
		f.restart(p, s, duration)
	}
}

// stopRepeatedly stops a process by a SIGTERM that is repeated while the process stops.
func (f *faultInjector) stopRepeatedly(p *process, duration time.Duration) {
	started, running := p.running()
	if !running {
		return
	}
	f.restart(p, syscall.SIGTERM, duration)
	var delay time.Duration
	for range 1 + f.rng.IntN(maxRepeats) {
		delay += f.between(minRepeatDelay, maxRepeatDelay)
		s := syscall.SIGTERM
		if f.rng.IntN(interruptRatio) == 0 {
			s = syscall.SIGINT
		}
		f.signalAfter(p, started, s, delay)
	}
}

// stopInSeries stops a process by signals that come until it is gone, unless it stops already.
func (f *faultInjector) stopInSeries(p *process, duration time.Duration) {
	started, running := p.running()
	if !running {
		return
	}
	f.restart(p, syscall.SIGTERM, duration)
	for range seriesBurst - 1 {
		p.signalRun(started, syscall.SIGTERM)
	}
	f.after(seriesInterval, func() {
		for p.signalRun(started, syscall.SIGTERM) {
			time.Sleep(seriesInterval)
		}
	})
}

// stopAmidReloads sends a process SIGHUPs shortly before and after a SIGTERM.
func (f *faultInjector) stopAmidReloads(p *process, duration time.Duration) {
	started, running := p.running()
	if !running {
		return
	}
	f.signal(p, syscall.SIGHUP)
	before, after := f.between(0, maxReloadDelay), f.between(0, maxReloadDelay)
	f.signalAfter(p, started, syscall.SIGHUP, before+after)
	f.after(before, func() {
		f.signal(p, syscall.SIGTERM)
		f.startAfterEnd(p, duration)
	})
}

// signalAfter sends a signal after a delay to a process that still runs since a start.
func (f *faultInjector) signalAfter(p *process, started time.Time, s syscall.Signal, delay time.Duration) {
	f.after(delay, func() {
		f.testbed.log("SIGNAL %v to %s with %d streams, if it still runs", s, p.name, p.streams.Load())
		p.signalRun(started, s)
	})
}

func (f *faultInjector) startAgain(p *process) {
	if err := p.start(); err != nil {
		f.testbed.recorder.reportViolation("%v", err)
	}
}

// pause stops a process by SIGSTOP, and continues it after a delay.
func (f *faultInjector) pause(p *process, duration time.Duration) {
	f.testbed.log("%s is paused for %v", p.name, duration)
	p.signal(syscall.SIGSTOP)
	f.after(duration, func() { p.signal(syscall.SIGCONT) })
}

// wipe kills a portal, removes its data folder and starts it again. It does nothing within
// wipeInterval of the last wipe, while another portal is disturbed or before another portal that lost its
// disk was admitted again: two of three disks are a majority.
func (f *faultInjector) wipe(p *process, duration time.Duration) {
	if time.Since(f.lastWipe) < wipeInterval || !f.othersUndisturbed(p) || !f.othersAdmitted(p) {
		return
	}
	f.lastWipe, f.wiped, f.admissions = time.Now(), p, p.admissions()
	f.testbed.log("%s loses its data folder, restarted after %v", p.name, duration)
	p.signal(syscall.SIGKILL)
	f.after(0, func() {
		p.wait()
		if err := os.RemoveAll(p.dataPath()); err != nil {
			f.testbed.recorder.reportViolation("wipe: %v", err)
		}
		time.Sleep(duration)
		f.startAgain(p)
	})
}

// othersAdmitted reports whether no other portal waits for its admission after the loss of its disk.
func (f *faultInjector) othersAdmitted(p *process) bool {
	return f.wiped == nil || f.wiped == p || f.wiped.admissions() > f.admissions
}

// othersUndisturbed reports whether all other portals run undisturbed. Three portals tolerate
// the loss of only one at a time.
func (f *faultInjector) othersUndisturbed(p *process) bool {
	for _, other := range f.testbed.portals {
		if other != p && !other.undisturbed(time.Now().Add(-settleTime)) {
			return false
		}
	}
	return true
}

// crash ends the endpoint behind a backend address, and starts another one after a delay.
func (f *faultInjector) crash(ctx context.Context, b *backend, duration time.Duration) {
	f.testbed.log("%s crashes, restarted after %v", b.name, duration)
	b.crash()
	f.after(duration, func() {
		if err := b.start(context.WithoutCancel(ctx)); err != nil {
			f.testbed.recorder.reportViolation("%v", err)
		}
	})
}

// leave drains the endpoint behind a backend address, ends it after a delay, and starts another
// one.
func (f *faultInjector) leave(ctx context.Context, b *backend, duration time.Duration) {
	f.testbed.log("%s drains, ended and restarted after %v", b.name, duration)
	b.drain()
	f.replaceAfter(ctx, b, duration)
}

// leaveByNotice makes the endpoint behind a backend address say in its responses that it leaves, ends it
// after a delay, and starts another one.
func (f *faultInjector) leaveByNotice(ctx context.Context, b *backend, duration time.Duration) {
	f.testbed.log("%s leaves by its responses, ended and restarted after %v", b.name, duration)
	b.leave()
	f.replaceAfter(ctx, b, duration)
}

// replaceAfter ends the endpoint behind a backend address after a delay, and starts another one.
func (f *faultInjector) replaceAfter(ctx context.Context, b *backend, delay time.Duration) {
	f.after(delay, func() {
		b.crash()
		if err := b.start(context.WithoutCancel(ctx)); err != nil {
			f.testbed.recorder.reportViolation("%v", err)
		}
	})
}

// silence makes the endpoint behind a backend address send nothing for a time.
func (f *faultInjector) silence(b *backend, duration time.Duration) {
	f.testbed.log("%s is silent for %v", b.name, duration)
	b.silence(duration)
}

// busy makes the endpoints behind backend addresses refuse all requests for a time.
func (f *faultInjector) busy(duration time.Duration, backends ...*backend) {
	for _, b := range backends {
		f.testbed.log("%s is busy for %v", b.name, duration)
		b.busy(duration)
	}
}

// disturbConnections sets the proxy in front of a backend to a mode for a time.
func (f *faultInjector) disturbConnections(b *backend, m mode, duration time.Duration) {
	f.testbed.log("connections to %s: %v for %v", b.name, m, duration)
	b.proxy.setMode(m)
	f.after(duration, func() { b.proxy.setMode(modePass) })
}
