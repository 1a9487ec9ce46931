package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/process/logging"
	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/standin/fleet"
)

const (
	devHosts    = 5
	devLoadTime = time.Second
)

type devCommand struct {
	Listen string `help:"IP address and TCP port that callers use." default:"127.0.0.1:8080"`
	// CallerMemory and CallerConnections are 0 for the defaults.
	CallerMemory      int64 `help:"Bytes that connections and headers of callers may take."`
	CallerConnections int   `help:"Connections that callers may have open."`
	Verbose           bool  `help:"Log events to the standard error stream as text."`
}

// Run runs a whole fleet with stand-in engines in one process until a signal ends it.
func (c devCommand) Run(stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	f, err := fleet.Start(ctx, c.options())
	if err != nil {
		return err
	}
	if err := waitUntilReady(ctx, f); err != nil {
		return err
	}
	fmt.Fprintf(stdout, `egretreach dev serves callers at http://%[1]s

curl http://%[1]s/v1/chat/completions -H 'Authorization: Bearer dev-token-cascadia' \
  -d '{"model":"drafter","messages":[{"role":"user","content":"Summarise the Camping badge."}],"max_tokens":32}'
`, f.Entry(0).Address)
	<-ctx.Done()
	f.Close()
	return nil
}

func (c devCommand) options() fleet.Options {
	budget := httpserver.NewBudget(httpserver.BudgetOptions{Memory: c.CallerMemory})
	opts := fleet.Options{
		Callers: httpserver.CallerLimits{Budget: budget, Connections: c.CallerConnections},

		Sockets: fleet.Loopback{CallerAddress: c.Listen}, ControlCount: 1, EntryCount: 1, Logger: c.logger(),
		Services: []fleet.HostSpec{{ID: "records-1", FailureDomain: "a"}},
	}
	for i := range devHosts {
		opts.Engines = append(opts.Engines, fleet.EngineSpec{
			HostSpec:     fleet.HostSpec{ID: host.ID(fmt.Sprintf("host-%d", i+1)), FailureDomain: "a", FabricDomain: "rack-1"},
			Options:      engine.Options{LoadTime: devLoadTime, Fences: i%2 == 0},
			Accelerators: 4,
		})
	}
	return opts
}

func (c devCommand) logger() *log.Logger {
	if !c.Verbose {
		return nil
	}
	return logging.New(settings.Log{Format: "console"}, os.Stderr)
}

// waitUntilReady waits until the entry is ready and every wanted replica serves.
func waitUntilReady(ctx context.Context, f *fleet.Fleet) error {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		status, err := f.Status(ctx)
		if err == nil && f.Entry(0).Ready() == nil && allServing(status.Deployments) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// allServing reports whether there are deployments and all of their wanted replicas serve.
func allServing(deployments []message.DeploymentStatus) bool {
	for _, d := range deployments {
		if d.Serving < d.Wanted {
			return false
		}
	}
	return len(deployments) > 0
}
