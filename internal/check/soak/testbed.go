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
	portalCount       = 3
	gatewayCount      = 3
	backendCount      = 4
	callersPerGateway = 20
	// lateCallers is the number of callers per gateway that send the first request on a connection
	// late.
	lateCallers        = 4
	addressTries       = 50
	rolePortal         = "portal"
	roleGateway        = "gateway"
	firstPortal        = 1
	firstGateway       = 11
	firstBackend       = 21
	failureDomainCount = 3
)

const (
	// settleTime is the time that a process may take to recover from a disturbance.
	settleTime = 3 * time.Second
	// bootTime bounds the start of the testbed, recoverTime its recovery after the last fault.
	bootTime    = 20 * time.Second
	recoverTime = 15 * time.Second
	// pollInterval is the time between two checks of a condition such as readiness.
	pollInterval = 50 * time.Millisecond
)

// testbed holds the processes and backends of one run, and the recorder of what happens to them.
type testbed struct {
	recorder      *recorder
	portals       []*process
	gateways      []*process
	backends      []*backend
	addressPrefix string
	// responseFaults are those of all endpoints.
	responseFaults standin.Faults
	// sentVersion is the highest configuration version sent, ackedVersion the highest
	// acknowledged one.
	sentVersion, ackedVersion atomic.Uint64
	changesMu                 sync.Mutex
	changes                   []change
	log                       func(format string, args ...any)
}

// failureDomainOf assigns a failure domain to a loopback address by its last number.
func failureDomainOf(ip string) string {
	var last int
	if _, err := fmt.Sscanf(ip[strings.LastIndexByte(ip, '.')+1:], "%d", &last); err != nil {
		return "a"
	}
	return string(rune('a' + last%failureDomainCount))
}

// newTestbed prepares a run in a folder. It starts only the proxies.
func newTestbed(ctx context.Context, binary, folder string, rng *rand.Rand, log func(string, ...any)) (*testbed, error) {
	prefix, err := freeAddressPrefix(ctx, rng)
	if err != nil {
		return nil, err
	}
	t := &testbed{recorder: newRecorder(), addressPrefix: prefix, log: log}
	t.recorder.notices.linkDisturbed = t.linkDisturbed
	t.recorder.inTouch = t.inTouch
	add := func(role string, first, count int) (all []*process) {
		for i := range count {
			all = append(all, &process{
				name: fmt.Sprintf("%s-%d", role, i+1), role: role, binary: binary, folder: folder, ip: fmt.Sprintf("%s.%d", prefix, first+i),
			})
		}
		return all
	}
	t.portals, t.gateways = add(rolePortal, firstPortal, portalCount), add(roleGateway, firstGateway, gatewayCount)
	for i := range backendCount {
		ip := fmt.Sprintf("%s.%d", prefix, firstBackend+i)
		p, err := newProxy(ctx, ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "proxy")
		}
		t.backends = append(t.backends, &backend{name: fmt.Sprintf("be%d", i+1), failureDomain: failureDomainOf(ip), proxy: p, testbed: t})
	}
	return t, t.writeSettings(true)
}

// freeAddressPrefix returns the first three numbers of loopback addresses that no other run uses.
func freeAddressPrefix(ctx context.Context, rng *rand.Rand) (string, error) {
	for range addressTries {
		prefix := fmt.Sprintf("127.%d.%d", 16+rng.IntN(200), 1+rng.IntN(250))
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", fmt.Sprintf("%s.%d:%d", prefix, firstPortal, apiPort))
		if err == nil {
			_ = listener.Close()
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (t *testbed) writeSettings(fresh bool) error {
	for _, p := range t.processes() {
		if err := p.writeSettings(t.portalAPIs(), fresh); err != nil {
			return err
		}
	}
	return nil
}

func (t *testbed) processes() []*process {
	return append(append([]*process{}, t.portals...), t.gateways...)
}

func (t *testbed) portalAPIs() []string {
	var all []string
	for _, p := range t.portals {
		all = append(all, p.apiAddress())
	}
	return all
}

// boot starts everything, waits until it serves, and prepares the settings of later restarts.
func (t *testbed) boot(ctx context.Context) error {
	for _, p := range t.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, b := range t.backends {
		if err := b.start(ctx); err != nil {
			return err
		}
	}
	if err := t.waitFor(bootTime, "first configuration", func() bool { return t.putNextVersion(ctx, 0) }); err != nil {
		return err
	}
	if err := t.waitFor(bootTime, "ready gateways", func() bool { return t.gatewaysReady(ctx) }); err != nil {
		return err
	}
	return t.writeSettings(false)
}

// waitFor waits until done returns true, and fails after the limit.
func (t *testbed) waitFor(limit time.Duration, what string, done func() bool) error {
	for start := time.Now(); !done(); time.Sleep(pollInterval) {
		if time.Since(start) > limit {
			return errors.Errorf("no %s within %v", what, limit)
		}
	}
	return nil
}

func (t *testbed) gatewaysReady(ctx context.Context) bool {
	for _, g := range t.gateways {
		if !g.ready(ctx) {
			return false
		}
	}
	return true
}

// recover ends all faults, and reports a violation unless everything serves again in time.
func (t *testbed) recover(ctx context.Context, rng *rand.Rand) {
	for _, p := range t.processes() {
		p.signal(syscall.SIGCONT)
		if err := p.start(); err != nil {
			t.recorder.reportViolation("%v", err)
		}
	}
	for _, b := range t.backends {
		b.proxy.setMode(modePass)
		if err := b.start(ctx); err != nil {
			t.recorder.reportViolation("%v", err)
		}
	}
	err := t.waitFor(recoverTime, "full service", func() bool { return t.serves(ctx, rng) })
	if err != nil {
		t.recorder.reportViolation("after the faults: %v", err)
	}
}

// serves reports whether every gateway answers each kind of request several times, a new
// configuration version is acknowledged, and every portal responds to a read of it.
func (t *testbed) serves(ctx context.Context, rng *rand.Rand) bool {
	const rounds = 5
	if !t.gatewaysReady(ctx) || !t.putNextVersion(ctx, rng.IntN(portalCount)) {
		return false
	}
	for _, p := range t.portals {
		if !t.readBack(ctx, p) {
			return false
		}
	}
	for _, g := range t.gateways {
		c := newCaller(fmt.Sprintf("check-%s-%d", g.name, t.sentVersion.Load()), g, t, rng)
		for range rounds {
			for _, kind := range callKinds {
				if !c.sendOnce(ctx, kind, checkStreamEvents).complete {
					return false
				}
			}
		}
	}
	return true
}

// stop ends all processes by a planned stop, and then the endpoints.
func (t *testbed) stop() {
	signalled := time.Now()
	for _, p := range t.processes() {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range t.processes() {
		p.end(t.recorder, signalled)
		for _, exit := range p.unexpectedExits {
			t.recorder.reportViolation("%s", exit)
		}
	}
	for _, b := range t.backends {
		b.crash()
	}
}
