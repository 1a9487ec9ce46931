package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// coreMachines are the core machines of a small deployment.
	coreMachines = 5
	// troubleAt is when the machine is lost, and troubleTime how long it or its successor takes.
	troubleAt   = time.Second
	troubleTime = time.Second
	// trafficAt is when clients begin to send, and endAt the end of the case.
	trafficAt = 10 * time.Second
	endAt     = 70 * time.Second
)

// restartAtFirstStart starts a deployment for the first time. One machine, the seed with the lowest address, loses power and its disk and
// restarts with an empty one.
func restartAtFirstStart(r *record, trouble bool) error {
	return firstStart(r, func(f *fleet) error {
		if !trouble {
			return nil
		}
		victim := f.cores[0]
		if err := f.kill(victim); err != nil {
			return err
		}
		if err := f.loseDisk(victim); err != nil {
			return err
		}
		f.sleepUntil(troubleAt + troubleTime)
		return f.startCore(victim, false)
	})
}

// lossAtFirstStart starts a deployment for the first time. One machine, which is no seed, is removed for good, and another one at a new
// address takes its place with an empty disk.
func lossAtFirstStart(r *record, trouble bool) error {
	return firstStart(r, func(f *fleet) error {
		if !trouble {
			return nil
		}
		last := len(f.cores) - 1
		if err := f.kill(f.cores[last]); err != nil {
			return err
		}
		successor := &machine{name: fmt.Sprintf("core-%d", coreMachines+1), ip: fmt.Sprintf("%s%d", f.subnet, 11+coreMachines)}
		f.cores[last] = successor
		f.record.add("platform", "the machine is removed; %s takes its place", successor.name)
		f.sleepUntil(troubleAt + troubleTime)
		return f.startCore(successor, false)
	})
}

// firstStart starts all machines at once with empty disks, calls disrupt at troubleAt, and sends requests from trafficAt until endAt. The
// rule is broken if no request is served.
func firstStart(r *record, disrupt func(f *fleet) error) error {
	f, err := newFleet(r)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	f.sleepUntil(troubleAt)
	if err := disrupt(f); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &operator{record: r, targets: f.controlAddresses}
	go o.run(ctx)
	s := &server{record: r, id: "i-7f3a91c2", targets: f.controlAddresses}
	if err := s.start(ctx, f.subnet+"201"); err != nil {
		return err
	}
	f.sleepUntil(trafficAt)
	c := &client{record: r, address: f.frontAddress()}
	go c.run(ctx)
	f.sleepUntil(endAt)
	cancel()
	r.add("summary", "configuration acknowledged: %t; requests sent: %d, served: %d, run: %d", o.acked.Load(), c.sent.Load(), c.served.Load(), s.ran.Load())
	if c.served.Load() == 0 {
		return fmt.Errorf("%w: no request of %d was served, and the first configuration was acknowledged: %t", errBroken, c.sent.Load(), o.acked.Load())
	}
	return nil
}
