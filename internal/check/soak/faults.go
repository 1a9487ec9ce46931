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
	// faultInterval is the mean time between the starts of two faults. Faults may overlap.
	faultInterval = 500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// wipeInterval is the minimum time between the losses of two disks. In it, the state of the
	// first one is copied back from the other portals.
	wipeInterval = 6 * time.Second
)

// faultInjector injects faults into a testbed. The seed decides the kind, start and duration of
// each.
type faultInjector struct {
	testbed  *testbed
	rng      *rand.Rand
	lastWipe time.Time
	running  sync.WaitGroup
}

// run injects faults until ctx ends, and waits for the end of those in progress.
func (f *faultInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(f.rng.ExpFloat64() * float64(faultInterval)))
		f.injectOne(ctx)
	}
	f.running.Wait()
}

// injectOne starts one fault.
func (f *faultInjector) injectOne(ctx context.Context) {
	t := f.testbed
	duration := minFaultDuration + time.Duration(f.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	gateway, portal := t.gateways[f.rng.IntN(gatewayCount)], t.portals[f.rng.IntN(portalCount)]
	target := t.backends[f.rng.IntN(backendCount)]
	daemon := gateway
	if f.rng.IntN(2) == 0 {
		daemon = portal
	}
	switch f.rng.IntN(11) {
	case 0, 1:
		f.restart(daemon, syscall.SIGKILL, duration)
	case 2, 3:
		f.restart(daemon, syscall.SIGTERM, duration)
	case 4:
		f.pause(daemon, duration)
	case 5:
		t.log("SIGHUP to %s", daemon.name)
		daemon.signal(syscall.SIGHUP)
	case 6:
		f.crash(ctx, target, duration)
	case 7:
		f.wipe(portal, duration)
	case 8:
		f.leave(ctx, target, duration)
	default:
		f.disturbConnections(target, mode(1+f.rng.IntN(int(modeReset))), duration)
	}
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
	f.testbed.log("%v to %s, restarted after %v", s, p.name, duration)
	p.signal(s)
	f.after(0, func() {
		p.wait()
		time.Sleep(duration)
		f.startAgain(p)
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
// wipeInterval of the last wipe or while another portal is disturbed.
func (f *faultInjector) wipe(p *process, duration time.Duration) {
	if time.Since(f.lastWipe) < wipeInterval || !f.othersUndisturbed(p) {
		return
	}
	f.lastWipe = time.Now()
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
	f.after(duration, func() {
		b.crash()
		if err := b.start(context.WithoutCancel(ctx)); err != nil {
			f.testbed.recorder.reportViolation("%v", err)
		}
	})
}

// disturbConnections sets the proxy in front of a backend to a mode for a time.
func (f *faultInjector) disturbConnections(b *backend, m mode, duration time.Duration) {
	f.testbed.log("connections to %s: %v for %v", b.name, m, duration)
	b.proxy.setMode(m)
	f.after(duration, func() { b.proxy.setMode(modePass) })
}
