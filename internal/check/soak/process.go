package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// The ports are the same for every process, since each has its own loopback address.
const (
	linkPort   = 7340
	apiPort    = 8229
	healthPort = 9090
	// probeTimeout bounds a readiness probe.
	probeTimeout = 300 * time.Millisecond
	// runtimeStartTime is the time that the operating system and the Go runtime may take until
	// main runs. Before that, a process cannot handle signals, so that SIGHUP would end it.
	runtimeStartTime = 60 * time.Millisecond
)

// process is a portal or gateway daemon, over all its restarts.
type process struct {
	name    string
	role    string
	ip      string
	binary  string
	folder  string
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// stopRequested is set after SIGTERM, SIGINT or SIGKILL, paused while SIGSTOP holds the process.
	stopRequested bool
	paused        bool
	// started is the time of the last start.
	started time.Time
	// disturbed is the time of the last start, exit or signal other than SIGHUP, and forcedAt that
	// of the last SIGKILL, SIGSTOP or SIGCONT.
	disturbed, forcedAt time.Time
	// stops holds the planned stops of all runs, reloads the times of all SIGHUPs.
	stops   []plannedStop
	reloads []time.Time
	// streams is the number of streams that callers have open.
	streams atomic.Int64
	// unexpectedExits describes the exits without a preceding SIGTERM, SIGINT or SIGKILL.
	unexpectedExits []string
}

func (p *process) apiAddress() string { return fmt.Sprintf("%s:%d", p.ip, apiPort) }

// writeSettings writes the process's settings file.
func (p *process) writeSettings(seeds []string, fresh bool) error {
	quoted := `"` + strings.Join(seeds, `", "`) + `"`
	settings := fmt.Sprintf("host: {id: %s, failure_domain: %s}\nlink: {address: \"%s:%d\", private_network: true}\n"+
		"api: \"%s\"\nhealth: {address: \"%s:%d\"}\nseeds: [%s]\n",
		p.name, failureDomainOf(p.ip), p.ip, linkPort, p.apiAddress(), p.ip, healthPort, quoted)
	if p.role == rolePortal {
		settings += fmt.Sprintf("first_start: %t\ndata_folder: %s\nstop: {grace: %v}\n", fresh, p.dataPath(), stopGrace)
	} else {
		settings += fmt.Sprintf("stop: {notice: 2500ms, grace: %v}\nrepeats: {ratio: 0.2, slack: 200, window: 10s}\n", stopGrace)
	}
	return errors.Wrap(os.WriteFile(p.settingsPath(), []byte(settings), 0o600), "settings file")
}

func (p *process) settingsPath() string { return filepath.Join(p.folder, p.name+".yaml") }

func (p *process) dataPath() string { return filepath.Join(p.folder, p.name+"-data") }

// start starts the process unless it runs. Its output is appended to a log file next to its
// settings.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	out, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	command := exec.CommandContext(context.Background(), p.binary, p.role, "--config", p.settingsPath()) //nolint:gosec // The binary under test.
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start "+p.name)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.stopRequested, p.disturbed = command, ended, false, time.Now()
	p.started = p.disturbed
	go p.reap(command, out, ended)
	return nil
}

// reap waits until the process has exited, and records an unexpected exit.
func (p *process) reap(command *exec.Cmd, out io.Closer, ended chan struct{}) {
	err := command.Wait()
	_ = out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.paused, p.disturbed = nil, false, time.Now()
	if !p.stopRequested {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
	}
	close(ended)
}

// signal sends a signal to the process if it runs. It drops a SIGHUP within runtimeStartTime of
// the start.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	now := time.Now()
	switch s {
	case syscall.SIGHUP:
		if now.Sub(p.started) < runtimeStartTime {
			return
		}
		p.reloads = append(p.reloads, now)
	case syscall.SIGTERM, syscall.SIGINT:
		p.recordStopLocked(now)
	default:
		p.stopRequested = p.stopRequested || s == syscall.SIGKILL
		p.paused = s == syscall.SIGSTOP
		p.disturbed, p.forcedAt = now, now
	}
	_ = p.command.Process.Signal(s) // If the process has just exited, reap records that.
}

// recordStopLocked records a SIGTERM or SIGINT.
func (p *process) recordStopLocked(now time.Time) {
	p.stopRequested, p.disturbed = true, now
	if n := len(p.stops); n > 0 && p.stops[n-1].first.After(p.started) {
		p.stops[n-1].last = now
		return
	}
	p.stops = append(p.stops, plannedStop{first: now, last: now})
}

// running returns the time of the start if the process runs and got no signal to stop.
func (p *process) running() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started, p.command != nil && !p.stopRequested
}

// signalRun sends a signal if the process still runs since a start, and reports whether it does.
func (p *process) signalRun(started time.Time, s syscall.Signal) bool {
	p.mu.Lock()
	same := p.command != nil && p.started.Equal(started)
	p.mu.Unlock()
	if same {
		p.signal(s)
	}
	return same
}

// wait waits up to stopTime until the process has exited, and reports whether it has.
func (p *process) wait() bool {
	p.mu.Lock()
	ended, running := p.ended, p.command != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(stopTime):
		return false
	}
}

// undisturbed reports whether the process runs, isn't stopping and has not been disturbed since a time.
func (p *process) undisturbed(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.stopRequested && !p.paused && p.disturbed.Before(since)
}

// ready probes whether the process is ready.
func (p *process) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", p.ip, healthPort), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// onlyPlannedStop reports whether the process got a SIGTERM or SIGINT, and no SIGKILL, SIGSTOP or
// SIGCONT, since a time.
func (p *process) onlyPlannedStop(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.stops)
	return n > 0 && p.stops[n-1].last.After(since) && p.forcedAt.Before(since)
}

// plannedWork returns what happened to the process: all signals of planned work, and whether it was
// disturbed otherwise since a time.
func (p *process) plannedWork(since time.Time) circumstances {
	p.mu.Lock()
	defer p.mu.Unlock()
	return circumstances{
		stops: slices.Clone(p.stops), reloads: slices.Clone(p.reloads),
		gatewayForced: p.paused || !p.forcedAt.Before(since),
	}
}

// end waits until the process has exited after a signal, and kills it after stopTime. A process that
// was not paused or killed must not need that.
func (p *process) end(r *recorder, signalled time.Time) {
	if p.wait() {
		return
	}
	p.mu.Lock()
	forced := p.paused || !p.forcedAt.Before(signalled)
	p.mu.Unlock()
	if !forced {
		r.reportViolation("%s did not stop within %v", p.name, stopTime)
	}
	p.signal(syscall.SIGKILL)
	p.wait()
}

// admissions returns how often the process logged that it votes with the disk it has.
func (p *process) admissions() int {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		return 0
	}
	return strings.Count(string(text), `"quorum_admitted"`)
}

func (p *process) logPath() string { return filepath.Join(p.folder, p.name+".log") }
