package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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
	// stopRequested is set after SIGTERM or SIGKILL, paused while SIGSTOP holds the process.
	stopRequested bool
	paused        bool
	// started is the time of the last start.
	started time.Time
	// disturbed is the time of the last start, exit or signal other than SIGHUP, plannedStopAt
	// that of the last SIGTERM, and forcedAt that of the last SIGKILL, SIGSTOP or SIGCONT.
	disturbed, plannedStopAt, forcedAt time.Time
	// unexpectedExits describes the exits without a preceding SIGTERM or SIGKILL.
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
		settings += fmt.Sprintf("first_start: %t\ndata_folder: %s\nstop: {longest: 5s}\n", fresh, p.dataPath())
	} else {
		settings += "stop: {notice: 300ms, longest: 6s}\nrepeats: {ratio: 0.2, slack: 200, window: 10s}\n"
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
	out, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	case syscall.SIGTERM:
		p.stopRequested, p.disturbed, p.plannedStopAt = true, now, now
	default:
		p.stopRequested = p.stopRequested || s == syscall.SIGKILL
		p.paused = s == syscall.SIGSTOP
		p.disturbed, p.forcedAt = now, now
	}
	_ = p.command.Process.Signal(s) // If the process has just exited, reap records that.
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

// undisturbed reports whether the process runs and has not been disturbed since a time.
func (p *process) undisturbed(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused && p.disturbed.Before(since)
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

// onlyPlannedStop reports whether the process got a SIGTERM, and no SIGKILL, SIGSTOP or SIGCONT,
// since a time.
func (p *process) onlyPlannedStop(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plannedStopAt.After(since) && p.forcedAt.Before(since)
}
