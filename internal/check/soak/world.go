package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/platform/standin"
)

// Sizes of one run.
const (
	portalCount   = 3
	gatewayCount  = 2
	backendCount  = 4
	callerCount   = 6
	addressTries  = 50
	rolePortal    = "portal"
	roleGateway   = "gateway"
	firstPortal   = 1
	firstGateway  = 11
	firstBackend  = 21
	failureDomain = 3
)

const (
	// settleTime is how long a process that was disturbed may take to be itself again.
	settleTime = 3 * time.Second
	// bootTime bounds the start of a whole system, recoverTime its recovery when faults end.
	bootTime    = 20 * time.Second
	recoverTime = 15 * time.Second
	// stopTime bounds a planned stop: the longest of the settings and a busy machine.
	stopTime = 10 * time.Second
	// lookEvery is the pace at which readiness and the like are looked at.
	lookEvery = 50 * time.Millisecond
	// versionEvery is the mean time between two changes of the configuration.
	versionEvery = 500 * time.Millisecond
)

// world is one run: the processes, their back ends and callers, and what was promised.
type world struct {
	ledger   *ledger
	portals  []*process
	gateways []*process
	backends []*backend
	base     string
	// offered is the highest version that was sent, acked the highest acknowledged one.
	offered, acked atomic.Uint64
	log            func(format string, parts ...any)
}

// backend is one back end with its proxy, over all its lives.
type backend struct {
	name  string
	zone  string
	proxy *proxy
	world *world
	mu    sync.Mutex
	lives int
	life  *standin.Endpoint
	end   context.CancelFunc
	// changed is when a life last began or ended.
	changed time.Time
}

// zoneOf spreads loopback addresses over failure domains.
func zoneOf(ip string) string {
	var last int
	if _, err := fmt.Sscanf(ip[strings.LastIndexByte(ip, '.')+1:], "%d", &last); err != nil {
		return "a"
	}
	return string(rune('a' + last%failureDomain))
}

// newWorld prepares a run in a folder; nothing runs yet but the proxies.
func newWorld(ctx context.Context, binary, folder string, rng *rand.Rand, log func(string, ...any)) (*world, error) {
	base, err := freeBase(ctx, rng)
	if err != nil {
		return nil, err
	}
	w := &world{ledger: newLedger(), base: base, log: log}
	add := func(role string, first, count int) (all []*process) {
		for i := range count {
			all = append(all, &process{
				name: fmt.Sprintf("%s-%d", role, i+1), role: role, binary: binary, folder: folder, ip: fmt.Sprintf("%s.%d", base, first+i),
			})
		}
		return all
	}
	w.portals, w.gateways = add(rolePortal, firstPortal, portalCount), add(roleGateway, firstGateway, gatewayCount)
	for i := range backendCount {
		ip := fmt.Sprintf("%s.%d", base, firstBackend+i)
		p, err := newProxy(ctx, ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "proxy")
		}
		w.backends = append(w.backends, &backend{name: fmt.Sprintf("be%d", i+1), zone: zoneOf(ip), proxy: p, world: w})
	}
	return w, w.writeSettings(true)
}

// freeBase finds three numbers of loopback addresses that no other run uses.
func freeBase(ctx context.Context, rng *rand.Rand) (string, error) {
	for range addressTries {
		base := fmt.Sprintf("127.%d.%d", 16+rng.IntN(200), 1+rng.IntN(250))
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", fmt.Sprintf("%s.%d:%d", base, firstPortal, apiPort))
		if err == nil {
			_ = listener.Close()
			return base, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (w *world) writeSettings(fresh bool) error {
	for _, p := range w.processes() {
		if err := p.settings(w.portalAPIs(), fresh); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) processes() []*process {
	return append(append([]*process{}, w.portals...), w.gateways...)
}

func (w *world) portalAPIs() []string {
	var all []string
	for _, p := range w.portals {
		all = append(all, p.api())
	}
	return all
}

// boot starts everything and waits until it serves.
func (w *world) boot(ctx context.Context) error {
	for _, p := range w.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, b := range w.backends {
		if err := b.start(ctx); err != nil {
			return err
		}
	}
	if err := w.until(bootTime, "a first configuration", func() bool { return w.nextVersion(ctx, 0) }); err != nil {
		return err
	}
	if err := w.until(bootTime, "ready gateways", func() bool { return w.gatewaysReady(ctx) }); err != nil {
		return err
	}
	return w.writeSettings(false)
}

// until waits for a condition, and fails if it does not come in time.
func (w *world) until(limit time.Duration, what string, done func() bool) error {
	for began := time.Now(); !done(); time.Sleep(lookEvery) {
		if time.Since(began) > limit {
			return errors.Errorf("no %s within %v", what, limit)
		}
	}
	return nil
}

func (w *world) gatewaysReady(ctx context.Context) bool {
	for _, g := range w.gateways {
		if !g.ready(ctx) {
			return false
		}
	}
	return true
}

// nextVersion sends the next version to a portal and reports whether it was acknowledged.
func (w *world) nextVersion(ctx context.Context, portal int) bool {
	version := w.offered.Add(1)
	if standin.PutVersion(ctx, w.portals[portal%len(w.portals)].api(), version) != nil {
		return false // It may be in force all the same; only acknowledged ones must be.
	}
	for {
		held := w.acked.Load()
		if held >= version || w.acked.CompareAndSwap(held, version) {
			return true
		}
	}
}

// operate changes and reads the configuration until ctx ends.
func (w *world) operate(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		if w.nextVersion(ctx, rng.IntN(portalCount)) {
			w.ledger.count("versions")
		}
		w.readBack(ctx, w.portals[rng.IntN(portalCount)])
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(versionEvery)))
	}
}

// readBack reads the configuration: what was acknowledged before must be in it.
func (w *world) readBack(ctx context.Context, from *process) bool {
	acked := w.acked.Load()
	version, err := standin.GetVersion(ctx, from.api())
	if err != nil {
		return false
	}
	if version < acked {
		w.ledger.breaks("%s reads version %d after %d was acknowledged", from.name, version, acked)
	}
	return true
}

// recover ends all faults and requires that everything serves again in time.
func (w *world) recover(ctx context.Context, rng *rand.Rand) {
	for _, p := range w.processes() {
		p.signal(syscall.SIGCONT)
		if err := p.start(); err != nil {
			w.ledger.breaks("%v", err)
		}
	}
	for _, b := range w.backends {
		b.proxy.set(modePass)
		if err := b.start(ctx); err != nil {
			w.ledger.breaks("%v", err)
		}
	}
	err := w.until(recoverTime, "whole service", func() bool { return w.serves(ctx, rng) })
	if err != nil {
		w.ledger.breaks("after the faults: %v", err)
	}
}

// serves reports whether every gateway answers every kind of request several times, a new
// version is acknowledged, and every portal reads it.
func (w *world) serves(ctx context.Context, rng *rand.Rand) bool {
	const times = 5
	if !w.gatewaysReady(ctx) || !w.nextVersion(ctx, rng.IntN(portalCount)) {
		return false
	}
	for _, p := range w.portals {
		if !w.readBack(ctx, p) {
			return false
		}
	}
	for _, g := range w.gateways {
		c := newCaller(fmt.Sprintf("check-%s-%d", g.name, w.offered.Load()), g, w, rng)
		for range times {
			for _, kind := range callKinds {
				if !c.once(ctx, kind) {
					return false
				}
			}
		}
	}
	return true
}

// stop stops everything as planned.
func (w *world) stop() {
	for _, p := range w.processes() {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range w.processes() {
		if !p.wait() {
			w.ledger.breaks("%s does not stop within %v", p.name, stopTime)
			p.signal(syscall.SIGKILL)
			p.wait()
		}
		for _, end := range p.unasked {
			w.ledger.breaks("%s", end)
		}
	}
	for _, b := range w.backends {
		b.crash()
	}
}

// endpointsCalm reports whether all back ends and the ways to them were sound since a moment.
func (w *world) endpointsCalm(since time.Time) bool {
	for _, b := range w.backends {
		b.mu.Lock()
		changed := b.changed
		b.mu.Unlock()
		if !b.proxy.calm(since) || !changed.Before(since) {
			return false
		}
	}
	return true
}

// start begins a new life of the back end at its old address, if it has none.
func (b *backend) start(ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", b.world.base+".99:0")
	if err != nil {
		return errors.Wrap(err, "back end")
	}
	b.lives++
	b.life = standin.NewEndpoint(fmt.Sprintf("%s-%d", b.name, b.lives), standin.ServiceName, listener, b.world.ledger)
	b.proxy.lead(listener.Addr().String())
	announcing, end := context.WithCancel(ctx)
	b.end, b.changed = end, time.Now()
	go b.life.Announce(announcing, b.proxy.address(), b.zone, b.world.portalAPIs())
	return nil
}

// crash ends the back end's life at once.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life == nil {
		return
	}
	b.end()
	b.proxy.lead("")
	b.life.Crash()
	b.life, b.changed = nil, time.Now()
}

// drain makes the back end say that it leaves.
func (b *backend) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life != nil {
		b.life.Drain()
		b.changed = time.Now()
	}
}
