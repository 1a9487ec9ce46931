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
	// faultEvery is the mean time between the beginnings of two faults; they overlap.
	faultEvery = 500 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	shortest = 100 * time.Millisecond
	longest  = 2500 * time.Millisecond
	// wipeEvery is the least time between two lost disks: one is copied back meanwhile.
	wipeEvery = 6 * time.Second
)

// faults disturbs a world, each fault at a time and for a time that the seed decides.
type faults struct {
	world *world
	rng   *rand.Rand
	wiped time.Time
	under sync.WaitGroup
}

// run begins faults until ctx ends, and waits for the end of those under way.
func (f *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(f.rng.ExpFloat64() * float64(faultEvery)))
		f.next(ctx)
	}
	f.under.Wait()
}

// next begins one fault.
func (f *faults) next(ctx context.Context) {
	w := f.world
	lasts := shortest + time.Duration(f.rng.Int64N(int64(longest-shortest)))
	gateway, portal := w.gateways[f.rng.IntN(gatewayCount)], w.portals[f.rng.IntN(portalCount)]
	back := w.backends[f.rng.IntN(backendCount)]
	anyone := gateway
	if f.rng.IntN(2) == 0 {
		anyone = portal
	}
	switch f.rng.IntN(11) {
	case 0, 1:
		f.restart(anyone, syscall.SIGKILL, lasts)
	case 2, 3:
		f.restart(anyone, syscall.SIGTERM, lasts)
	case 4:
		f.pause(anyone, lasts)
	case 5:
		w.log("SIGHUP to %s", anyone.name)
		anyone.signal(syscall.SIGHUP)
	case 6:
		f.crash(ctx, back, lasts)
	case 7:
		f.wipe(portal, lasts)
	case 8:
		f.leave(ctx, back, lasts)
	default:
		f.disturb(back, mode(1+f.rng.IntN(int(modeReset))), lasts)
	}
}

// during does something now, and something else when the time is over.
func (f *faults) during(lasts time.Duration, after func()) {
	f.under.Add(1)
	go func() {
		defer f.under.Done()
		time.Sleep(lasts)
		after()
	}()
}

// restart ends a process by a signal and starts it again.
func (f *faults) restart(p *process, s syscall.Signal, lasts time.Duration) {
	f.world.log("%v to %s, started again after %v", s, p.name, lasts)
	p.signal(s)
	f.during(0, func() {
		p.wait()
		time.Sleep(lasts)
		f.startAgain(p)
	})
}

func (f *faults) startAgain(p *process) {
	if err := p.start(); err != nil {
		f.world.ledger.breaks("%v", err)
	}
}

// pause freezes a process.
func (f *faults) pause(p *process, lasts time.Duration) {
	f.world.log("%s is paused for %v", p.name, lasts)
	p.signal(syscall.SIGSTOP)
	f.during(lasts, func() { p.signal(syscall.SIGCONT) })
}

// wipe kills a portal and takes its disk away, unless another one lost its disk just now.
func (f *faults) wipe(p *process, lasts time.Duration) {
	if time.Since(f.wiped) < wipeEvery || !f.othersCalm(p) {
		return
	}
	f.wiped = time.Now()
	f.world.log("%s loses its disk, started again after %v", p.name, lasts)
	p.signal(syscall.SIGKILL)
	f.during(0, func() {
		p.wait()
		if err := os.RemoveAll(p.data()); err != nil {
			f.world.ledger.breaks("wipe: %v", err)
		}
		time.Sleep(lasts)
		f.startAgain(p)
	})
}

// othersCalm reports whether all other portals run undisturbed: more losses at once than
// one are more than three portals bear.
func (f *faults) othersCalm(p *process) bool {
	for _, other := range f.world.portals {
		if other != p && !other.calm(time.Now().Add(-settleTime)) {
			return false
		}
	}
	return true
}

// crash ends a back end's life and begins another one at its address.
func (f *faults) crash(ctx context.Context, b *backend, lasts time.Duration) {
	f.world.log("%s crashes, back after %v", b.name, lasts)
	b.crash()
	f.during(lasts, func() {
		if err := b.start(context.WithoutCancel(ctx)); err != nil {
			f.world.ledger.breaks("%v", err)
		}
	})
}

// leave lets a back end say that it leaves, ends it, and begins another life at its address.
func (f *faults) leave(ctx context.Context, b *backend, lasts time.Duration) {
	f.world.log("%s leaves, gone after %v", b.name, lasts)
	b.drain()
	f.during(lasts, func() {
		b.crash()
		if err := b.start(context.WithoutCancel(ctx)); err != nil {
			f.world.ledger.breaks("%v", err)
		}
	})
}

// disturb disturbs the connections of gateways with a back end.
func (f *faults) disturb(b *backend, m mode, lasts time.Duration) {
	f.world.log("connections to %s: %v for %v", b.name, m, lasts)
	b.proxy.set(m)
	f.during(lasts, func() { b.proxy.set(modePass) })
}
