package rig

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// Process is a portal or gateway over all its starts.
type Process struct {
	Name string
	Role string
	IP   string

	rig      *Rig
	settings string
	mu       sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	stopping bool
	ownEnds  int
	started  time.Time
}

// API returns the address for clients, or for servers and operators.
func (p *Process) API() string { return fmt.Sprintf("%s:%d", p.IP, p.rig.apiPort) }

// Start starts the process. It is started again if it ends by itself.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	out, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), p.rig.Binary, p.Role, "--config", p.settings) //nolint:gosec // The program under test.
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.ended, p.stopping, p.started = command, make(chan struct{}), false, time.Now()
	p.rig.Record.Logf("%s started", p.Name)
	go p.reap(command, out, p.ended)
	return nil
}

func (p *Process) reap(command *exec.Cmd, out *os.File, ended chan struct{}) {
	err := command.Wait()
	_ = out.Close()
	p.mu.Lock()
	p.command = nil
	asked := p.stopping
	if !asked {
		p.ownEnds++
	}
	p.mu.Unlock()
	close(ended)
	if asked {
		p.rig.Record.Logf("%s has ended: %v", p.Name, err)
		return
	}
	p.rig.Record.Sayf("%s ended by itself: %v", p.Name, err)
	time.Sleep(restartDelay)
	if !p.rig.closed.Load() {
		_ = p.Start()
	}
}

// OwnEnds returns how often the process has ended without a signal of the case.
func (p *Process) OwnEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds
}

// Started returns the time of the last start.
func (p *Process) Started() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopping = true
	}
	p.rig.Record.Logf("%s gets %v", p.Name, s)
	_ = p.command.Process.Signal(s)
}

// Stop sends a signal and waits until the process has ended, which it must within limit.
func (p *Process) Stop(s syscall.Signal, limit time.Duration) {
	p.mu.Lock()
	running, ended := p.command != nil, p.ended
	p.mu.Unlock()
	if !running {
		return
	}
	p.Signal(s)
	select {
	case <-ended:
	case <-time.After(limit):
		p.Signal(syscall.SIGKILL)
		<-ended
	}
}

// PID returns the process's ID, or 0 if it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Logged returns how often the process has logged an event.
func (p *Process) Logged(event string) int {
	text, err := os.ReadFile(p.LogPath())
	if err != nil {
		return 0
	}
	return strings.Count(string(text), `"`+event+`"`)
}

// LogPath returns the path of the file with the process's output.
func (p *Process) LogPath() string { return filepath.Join(p.rig.Folder, p.Name+".log") }
