//go:build callers

package callers

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// binary is the path of the built binary.
var binary string

// TestMain builds the binary of the tests without the race detector, whose memory is several times that of the product.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "callers")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "egretreach")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", binary, "../../..") //nolint:gosec // The binary under test.
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// output collects what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is a running process of the product.
type process struct {
	command *exec.Cmd
	out     *output
	ended   chan struct{}
	// maxDescriptors is the highest number of open descriptors seen.
	maxDescriptors int
}

// startProcess starts the binary and ends it with the test.
func startProcess(t *testing.T, args ...string) *process {
	p := &process{command: exec.CommandContext(context.Background(), binary, args...), out: &output{}, ended: make(chan struct{})} //nolint:gosec // The binary under test.
	p.command.Stdout, p.command.Stderr = p.out, p.out
	require.NoError(t, p.command.Start())
	go func() {
		defer close(p.ended)
		_ = p.command.Wait() // The check for ended tells that it has exited.
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL) // An ended process needs none.
		<-p.ended
		if t.Failed() {
			out := p.out.String()
			t.Logf("%s:\n%s", args[0], out[max(0, len(out)-2000):])
		}
	})
	return p
}

// lives reports whether the process has not exited.
func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// watchDescriptors records maxDescriptors until ctx ends.
func (p *process) watchDescriptors(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		if err == nil {
			p.maxDescriptors = max(p.maxDescriptors, len(entries))
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// peakMemory returns the highest resident memory of the process so far, in bytes.
func (p *process) peakMemory(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

const pollInterval = 50 * time.Millisecond

// waitFor calls done until it returns true, and fails the test after a time that is far longer than any process needs.
func waitFor(t *testing.T, what string, done func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for start := time.Now(); !done(); <-ticker.C {
		require.Less(t, time.Since(start), time.Minute, what)
	}
}

// freePort returns a port that the operating system has chosen, and that is free at all addresses for TCP and UDP.
func freePort(t *testing.T, ips ...string) int {
	for range 50 {
		if port, ok := tryPort(t, ips); ok {
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

func tryPort(t *testing.T, ips []string) (int, bool) {
	first, err := net.Listen("tcp", ips[0]+":0")
	require.NoError(t, err)
	defer func() { _ = first.Close() }()
	port := first.Addr().(*net.TCPAddr).Port
	for i, ip := range ips {
		address := fmt.Sprintf("%s:%d", ip, port)
		if i > 0 {
			tcp, err := net.Listen("tcp", address)
			if err != nil {
				return 0, false
			}
			_ = tcp.Close()
		}
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			return 0, false
		}
		_ = udp.Close()
	}
	return port, true
}
