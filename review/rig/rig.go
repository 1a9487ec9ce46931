package rig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The bounds of the site csrc-badgeline.
const (
	HeartbeatInterval = 1200 * time.Millisecond
	ConfigBound       = 2000 * time.Millisecond
	TouchBound        = 3000 * time.Millisecond
	DrainBound        = 2000 * time.Millisecond
	RecoverBound      = 12 * time.Second
)

const (
	addressTries = 50
	bootTime     = 25 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = time.Second
	// stopTime is longer than the platform's grace.
	stopTime = 10 * time.Second
)

// Rig is a small deployment.
type Rig struct {
	Binary   string
	Folder   string
	Record   *Record
	Portals  []*Process
	Gateways []*Process
	// Trouble is false if the case runs without its disruption.
	Trouble bool

	prefix                        string
	linkPort, apiPort, healthPort int
	lastIP                        atomic.Int32
	closed                        atomic.Bool
	cancel                        context.CancelFunc
	Context                       context.Context
}

// Main runs a case: it starts the deployment, calls test and ends all processes. The exit status is 0 if test
// returns true, 1 if it returns false and 2 for an error.
func Main(portals, gateways int, test func(*Rig) (held bool, err error)) int {
	r, err := newRig(portals, gateways)
	if err != nil {
		fmt.Println("the case could not run:", err)
		return 2
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(r.Folder)
		}
	}()
	held, err := false, r.boot()
	if err == nil {
		held, err = test(r)
	}
	r.close()
	switch {
	case err != nil:
		r.Record.Sayf("the case could not run: %v", err)
		return 2
	case !held:
		r.Record.Sayf("RULE BROKEN")
		return 1
	}
	r.Record.Sayf("rule held")
	return 0
}

func newRig(portals, gateways int) (*Rig, error) {
	record, err := NewRecord(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Binary: os.Getenv("BINARY"), Folder: folder, Record: record, Trouble: os.Getenv("TROUBLE") != "0",
		linkPort: 7340, apiPort: 8229, healthPort: 7355,
	}
	r.Context, r.cancel = context.WithCancel(context.Background())
	if err := r.choosePrefix(); err != nil {
		return nil, err
	}
	r.lastIP.Store(100)
	for i := range portals {
		r.Portals = append(r.Portals, r.newProcess("portal", fmt.Sprintf("core-%d", i+1), i+1))
	}
	for i := range gateways {
		r.Gateways = append(r.Gateways, r.newProcess("gateway", fmt.Sprintf("front-%d", i+1), 51+i))
	}
	return r, nil
}

// choosePrefix chooses loopback addresses that no other run uses.
func (r *Rig) choosePrefix() error {
	for range addressTries {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)) //nolint:gosec // Chooses an address only.
		listener, err := (&net.ListenConfig{}).Listen(r.Context, "tcp", fmt.Sprintf("%s.1:%d", prefix, r.apiPort))
		if err == nil {
			r.prefix = prefix
			return listener.Close()
		}
	}
	return errors.New("no free loopback addresses")
}

func (r *Rig) newProcess(role, name string, last int) *Process {
	return &Process{Name: name, Role: role, IP: fmt.Sprintf("%s.%d", r.prefix, last), rig: r, settings: filepath.Join(r.Folder, name+".yaml")}
}

// NewIP returns a loopback address that nothing uses.
func (r *Rig) NewIP() string { return fmt.Sprintf("%s.%d", r.prefix, r.lastIP.Add(1)) }

// AddPortal prepares a portal on a new machine with an empty disk, which the caller starts.
func (r *Rig) AddPortal() (*Process, error) {
	n := len(r.Portals) + 1
	p := r.newProcess("portal", fmt.Sprintf("core-%d", n), n)
	r.Portals = append(r.Portals, p)
	return p, r.writeSettingsOf(p, n-1, r.seeds(), false)
}

// LoseDisk empties the data folder of a portal that does not run.
func (r *Rig) LoseDisk(p *Process) error { return os.RemoveAll(r.dataFolder(p)) }

func (r *Rig) dataFolder(p *Process) string { return filepath.Join(r.Folder, p.Name+"-data") }

// seeds returns the addresses of the first three portals.
func (r *Rig) seeds() string {
	var seeds []string
	for _, p := range r.Portals {
		seeds = append(seeds, `"`+p.API()+`"`)
	}
	return strings.Join(seeds[:min(3, len(seeds))], ", ")
}

// writeSettings writes the settings of all processes.
func (r *Rig) writeSettings(first bool) error {
	for i, p := range append(append([]*Process{}, r.Portals...), r.Gateways...) {
		if err := r.writeSettingsOf(p, i, r.seeds(), first); err != nil {
			return err
		}
	}
	return nil
}

// writeSettingsOf writes the settings of a process as the templates of the deploy file have them.
func (r *Rig) writeSettingsOf(p *Process, index int, seeds string, first bool) error {
	zone := string(rune('a' + index%3))
	text := fmt.Sprintf("host:\n  id: %q\n  failure_domain: %q\nlink:\n  address: \"%s:%d\"\n  private_network: true\napi: %q\nseeds: [%s]\n",
		p.Name, zone, p.IP, r.linkPort, p.API(), seeds)
	if p.Role == "portal" {
		text += fmt.Sprintf("health:\n  address: \"%s:%d\"\nfirst_start: %t\ndata_folder: %q\nheartbeat: 1200ms\nstop:\n  grace: 8s\n",
			p.IP, r.healthPort, first, r.dataFolder(p))
	} else {
		text += fmt.Sprintf("health:\n  address: \"%s:%d\"\nmetrics:\n  address: \"%s:%d\"\nrepeats:\n  ratio: 0.2\n  slack: 202\n  window: 10s\n"+
			"in_force_within: 2000ms\nstop:\n  notice: 2500ms\n  grace: 8s\n", p.IP, r.healthPort-1, p.IP, r.healthPort)
	}
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

func (r *Rig) boot() error {
	if err := r.writeSettings(true); err != nil {
		return err
	}
	for _, p := range append(append([]*Process{}, r.Portals...), r.Gateways...) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// PutFirst sends the first configuration until it is acknowledged, and waits until all gateways are ready.
func (r *Rig) PutFirst(version int, document string) error {
	for begun := time.Now(); !r.Put(version, document); time.Sleep(4 * pollInterval) {
		if time.Since(begun) > bootTime {
			return errors.New("the first configuration is not acknowledged")
		}
	}
	for begun := time.Now(); !r.ready(); time.Sleep(pollInterval) {
		if time.Since(begun) > bootTime {
			return errors.New("the gateways are not ready")
		}
	}
	return r.writeSettings(false)
}

func (r *Rig) ready() bool {
	for _, g := range r.Gateways {
		if status, _ := r.call(http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", g.IP, r.healthPort-1), ""); status != http.StatusOK {
			return false
		}
	}
	return true
}

func (r *Rig) close() {
	r.closed.Store(true)
	r.cancel()
	all := append(append([]*Process{}, r.Gateways...), r.Portals...)
	for _, p := range all {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range all {
		p.Stop(syscall.SIGTERM, stopTime)
	}
}
