package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// binary is what the deploy file builds, seen from the repository's root.
const binary = "target/egretreach"

// ports are the ports of a deployment, which are the same on all machines.
type ports struct{ control, front, ready, link, pages int }

// machine is a machine of the deployment at an address of its own. A core machine runs a portal, a front machine a gateway.
type machine struct {
	name    string
	ip      string
	process *exec.Cmd
}

// fleet is a small deployment: core machines, of which the first three are the seeds, and one front machine.
type fleet struct {
	record *record
	folder string
	subnet string
	ports  ports
	seeds  []string
	cores  []*machine
	front  *machine
	// replaced counts the machines that were replaced.
	replaced int
}

// newFleet returns a fleet of which nothing runs.
func newFleet(r *record) (*fleet, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, subnet: fmt.Sprintf("127.%d.%d.", 64+os.Getpid()/250%64, 1+os.Getpid()%250)}
	for i := range coreMachines {
		f.cores = append(f.cores, &machine{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s%d", f.subnet, 11+i)})
	}
	f.front = &machine{name: "front-1", ip: f.subnet + "101"}
	if f.ports, err = freePorts(f.cores[0].ip); err != nil {
		return nil, err
	}
	for _, m := range f.cores[:3] {
		f.seeds = append(f.seeds, f.controlAddress(m))
	}
	return f, nil
}

// freePorts returns ports that are free at an address now.
func freePorts(ip string) (ports, error) {
	var free [5]int
	for i := range free {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = l.Close() }()
		address, ok := l.Addr().(*net.TCPAddr)
		if !ok {
			return ports{}, errors.New("no TCP address")
		}
		free[i] = address.Port
	}
	return ports{free[0], free[1], free[2], free[3], free[4]}, nil
}

func (f *fleet) controlAddress(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.ports.control) }

// controlAddresses returns the addresses at which servers and operators reach the portals.
func (f *fleet) controlAddresses() []string {
	var addresses []string
	for _, m := range f.cores {
		addresses = append(addresses, f.controlAddress(m))
	}
	return addresses
}

// startAll starts all machines at once, for the first time.
func (f *fleet) startAll() error {
	for _, m := range f.cores {
		if err := f.startCore(m, true); err != nil {
			return err
		}
	}
	return f.startFront()
}

func (f *fleet) frontAddress() string { return fmt.Sprintf("%s:%d", f.front.ip, f.ports.front) }

// startCore starts the portal of a core machine.
func (f *fleet) startCore(m *machine, bootstrap bool) error {
	settings := fmt.Sprintf(`host:
  id: %q
  failure_domain: "zone-a"
link:
  address: "%s:%d"
  private_network: true
api: %q
health:
  address: "%s:%d"
seeds: [%s]
first_start: %t
data_folder: %q
heartbeat: 1200ms
stop:
  grace: 8s
`, m.name, m.ip, f.ports.link, f.controlAddress(m), m.ip, f.ports.pages, f.quotedSeeds(), bootstrap, f.dataFolder(m))
	if err := f.start(m, "portal", settings); err != nil {
		return err
	}
	f.record.add("platform", "starts the portal of %s at %s, bootstrap %t", m.name, f.controlAddress(m), bootstrap)
	return nil
}

// startFront starts the gateway of the front machine.
func (f *fleet) startFront() error {
	settings := fmt.Sprintf(`host:
  id: %q
  failure_domain: "zone-a"
link:
  address: "%s:%d"
  private_network: true
api: %q
health:
  address: "%s:%d"
metrics:
  address: "%s:%d"
seeds: [%s]
repeats:
  ratio: 0.2
  slack: 202
  window: 10s
in_force_within: 2000ms
regions: {"zone-a":"region-a"}
stop:
  notice: 2500ms
  grace: 8s
`, f.front.name, f.front.ip, f.ports.link, f.frontAddress(), f.front.ip, f.ports.ready, f.front.ip, f.ports.pages, f.quotedSeeds())
	if err := f.start(f.front, "gateway", settings); err != nil {
		return err
	}
	f.record.add("platform", "starts the gateway of %s at %s", f.front.name, f.frontAddress())
	return nil
}

func (f *fleet) quotedSeeds() string { return `"` + strings.Join(f.seeds, `", "`) + `"` }

func (f *fleet) dataFolder(m *machine) string { return filepath.Join(f.folder, m.name, "data") }

// start starts the process of a role with settings.
func (f *fleet) start(m *machine, role, settings string) error {
	folder := filepath.Join(f.folder, m.name)
	if err := os.MkdirAll(f.dataFolder(m), 0o700); err != nil { //nolint:gosec // A folder of its own.
		return err
	}
	file := filepath.Join(folder, "local.yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil { //nolint:gosec // A folder of its own.
		return err
	}
	output, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // A folder of its own.
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	m.process = exec.CommandContext(context.Background(), binary, role, "--config", file) //nolint:gosec // The project's own program.
	m.process.Stdout, m.process.Stderr = output, output
	return m.process.Start()
}

// kill ends the process of a machine with SIGKILL.
func (f *fleet) kill(m *machine) error {
	if err := m.process.Process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = m.process.Wait()
	m.process = nil
	f.record.add("platform", "%s ends by SIGKILL", m.name)
	return nil
}

// loseDisk empties the disk of a machine whose process has ended.
func (f *fleet) loseDisk(m *machine) error {
	f.record.add("platform", "%s has lost its disk", m.name)
	return os.RemoveAll(f.dataFolder(m)) //nolint:gosec // A folder of its own.
}

// wipe ends the process of a core machine, empties its disk, and starts it again a second later.
func (f *fleet) wipe(m *machine) error {
	if err := f.kill(m); err != nil {
		return err
	}
	if err := f.loseDisk(m); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return f.startCore(m, false)
}

// stopAndStart stops a core machine with SIGTERM and starts it again.
func (f *fleet) stopAndStart(m *machine) error {
	if err := m.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	_ = m.process.Wait()
	f.record.add("platform", "%s ends after SIGTERM", m.name)
	return f.startCore(m, false)
}

// replaceFirst removes the first core machine for good. A second later another one at a new address takes its place with an empty disk. The
// settings name the other machines as seeds from then on.
func (f *fleet) replaceFirst() error {
	if err := f.kill(f.cores[0]); err != nil {
		return err
	}
	f.replaced++
	successor := &machine{name: fmt.Sprintf("core-%d", coreMachines+f.replaced), ip: fmt.Sprintf("%s%d", f.subnet, 10+coreMachines+f.replaced)}
	f.record.add("platform", "%s is removed; %s takes its place", f.cores[0].name, successor.name)
	f.cores[0] = successor
	f.seeds = nil
	for _, m := range f.cores[1:4] {
		f.seeds = append(f.seeds, f.controlAddress(m))
	}
	time.Sleep(time.Second)
	return f.startCore(successor, false)
}

// close ends all processes and removes the temporary folder. Lines of the programs' logs that may tell more are recorded.
func (f *fleet) close() {
	machines := append([]*machine{f.front}, f.cores...)
	for _, m := range machines {
		if m.process != nil {
			_ = f.kill(m)
		}
		f.recordLog(m)
	}
	_ = os.RemoveAll(f.folder) //nolint:gosec // A folder of its own.
}

// maxLogLines bounds the lines of one log that are recorded.
const maxLogLines = 12

// recordLog records the last lines of a machine's log.
func (f *fleet) recordLog(m *machine) {
	data, err := os.ReadFile(filepath.Join(f.folder, m.name, "log")) //nolint:gosec // A folder of its own.
	if err != nil {
		return
	}
	lines := strings.Split(string(bytes.TrimSpace(data)), "\n")
	for _, line := range lines[max(0, len(lines)-maxLogLines):] {
		f.record.add("log of "+m.name, "%s", line)
	}
}

// sleepUntil waits until a time since the start of the case.
func (f *fleet) sleepUntil(at time.Duration) { time.Sleep(at - f.record.since()) }
