// Command stand2 runs the cases of the second review. It starts portals and gateways as separate processes
// on loopback addresses, plays the platform, its servers, its operator and its clients, and checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	program = "target/egretreach"
	// putPatience is how long a configuration is sent again.
	putPatience = 20 * time.Second
	portalCount = 3
)

// fleet is a small deployment.
type fleet struct {
	folder string
	// subnet is the first three bytes of all addresses.
	subnet                          string
	control, front, ready, link, in int
	portals, gateways               []*daemon
	// portalSettings are further settings of the portals.
	portalSettings string

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

// daemon is a process of the project.
type daemon struct {
	role, name, ip, config string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// exits counts the ends of the process.
	exits int
}

func newFleet(record string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record) //nolint:gosec // The script names it.
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: file, start: time.Now(), subnet: fmt.Sprintf("127.77.%d", os.Getpid()%250+1)}
	ports := map[int]bool{}
	for _, p := range []*int{&f.control, &f.front, &f.ready, &f.link, &f.in} {
		for *p == 0 || ports[*p] {
			if *p, err = freePort(); err != nil {
				return nil, err
			}
		}
		ports[*p] = true
	}
	return f, nil
}

func freePort() (int, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// note writes a line of the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// ip returns the address of a machine.
func (f *fleet) ip(n int) string { return fmt.Sprintf("%s.%d", f.subnet, n) }

// portalAddress returns the address at which servers and operators call portal i.
func (f *fleet) portalAddress(i int) string {
	return net.JoinHostPort(f.portals[i].ip, strconv.Itoa(f.control))
}

// gatewayAddress returns the address at which clients call gateway i.
func (f *fleet) gatewayAddress(i int) string {
	return net.JoinHostPort(f.gateways[i].ip, strconv.Itoa(f.front))
}

// startAll starts three portals and some gateways for the first time, with the settings that the deploy file gives them.
func (f *fleet) startAll(gateways int) error {
	var seeds []string
	for i := range portalCount {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(f.ip(10+i), strconv.Itoa(f.control))))
	}
	list := "[" + strings.Join(seeds, ", ") + "]"
	for i := range portalCount {
		d := &daemon{role: "portal", name: fmt.Sprintf("core-%d", i+1), ip: f.ip(10 + i)}
		settings := fmt.Sprintf("host:\n  id: %q\n  failure_domain: \"a\"\nlink:\n  address: \"%s:%d\"\n  private_network: true\napi: \"%s:%d\"\n"+
			"health:\n  address: \"%s:%d\"\nseeds: %s\nfirst_start: true\ndata_folder: %q\nheartbeat: 1200ms\nstop:\n  grace: 8s\n%s",
			d.name, d.ip, f.link, d.ip, f.control, d.ip, f.in, list, filepath.Join(f.folder, d.name), f.portalSettings)
		if err := f.add(d, settings); err != nil {
			return err
		}
		f.portals = append(f.portals, d)
	}
	for i := range gateways {
		d := &daemon{role: "gateway", name: fmt.Sprintf("front-%d", i+1), ip: f.ip(100 + i)}
		settings := fmt.Sprintf("host:\n  id: %q\n  failure_domain: \"a\"\nlink:\n  address: \"%s:%d\"\n  private_network: true\napi: \"%s:%d\"\n"+
			"health:\n  address: \"%s:%d\"\nmetrics:\n  address: \"%s:%d\"\nseeds: %s\nrepeats:\n  ratio: 0.2\n  slack: 202\n  window: 10s\n"+
			"in_force_within: 2000ms\nregions: {\"a\":\"r\"}\nstop:\n  notice: 2500ms\n  grace: 8s\n",
			d.name, d.ip, f.link, d.ip, f.front, d.ip, f.ready, d.ip, f.in, list)
		if err := f.add(d, settings); err != nil {
			return err
		}
		f.gateways = append(f.gateways, d)
	}
	return nil
}

// add writes the settings of a daemon and starts it.
func (f *fleet) add(d *daemon, settings string) error {
	d.config = filepath.Join(f.folder, d.name+".yaml")
	if err := os.WriteFile(d.config, []byte(settings), 0o600); err != nil { //nolint:gosec // A file of its own folder.
		return err
	}
	return f.run(d)
}

// run starts the process of a daemon.
func (f *fleet) run(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done != nil {
		if err := d.forgetFirstStart(); err != nil {
			return err
		}
	}
	output, err := os.OpenFile(filepath.Join(f.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	d.command = exec.CommandContext(context.Background(), program, d.role, "--config", d.config) //nolint:gosec // A fixed program.
	d.command.Stdout, d.command.Stderr = output, output
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	done, command := make(chan struct{}), d.command
	d.done = done
	go func() {
		err := command.Wait()
		f.note("%s ends: %v", d.name, err)
		d.mu.Lock()
		d.exits++
		d.mu.Unlock()
		close(done)
	}()
	f.note("%s starts as process %d", d.name, d.command.Process.Pid)
	return nil
}

// forgetFirstStart changes the settings as the platform does after the first start of the system.
func (d *daemon) forgetFirstStart() error {
	settings, err := os.ReadFile(d.config) //nolint:gosec // A file of its own folder.
	if err != nil {
		return err
	}
	settings = bytes.ReplaceAll(settings, []byte("first_start: true"), []byte("first_start: false"))
	return os.WriteFile(d.config, settings, 0o600) //nolint:gosec // A file of its own folder.
}

// signal sends a signal to the process of a daemon.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.command.Process.Signal(s)
}

// pid returns the ID of the process of a daemon.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Pid
}

// hasEnded reports whether the process has ended.
func (d *daemon) hasEnded() bool {
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// stopAll ends all processes and removes the folder.
func (f *fleet) stopAll() {
	for _, d := range append(append([]*daemon{}, f.portals...), f.gateways...) {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range append(append([]*daemon{}, f.portals...), f.gateways...) {
		<-d.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder) //nolint:gosec // Its own folder.
	}
	_ = f.record.Close()
}

// call sends a call to a portal, follows redirects, and returns the status, 0 if there is no answer.
func call(method, address, path string, body any, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	data, isRaw := body.([]byte)
	if !isRaw && body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data)) //nolint:gosec // A loopback address.
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r) //nolint:gosec // A loopback address.
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// put sends a configuration as an operator does: to any portal, again until one acknowledges it. It returns whether one has.
func (f *fleet) put(document []byte) bool {
	for i, end := 0, time.Now().Add(putPatience); time.Now().Before(end); i++ {
		if call(http.MethodPut, f.portalAddress(i%len(f.portals)), "/config", document, 2*time.Second) == http.StatusOK {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
