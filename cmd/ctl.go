package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/client"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/link/transport"
)

type ctlCommand struct {
	Control []string      `required:"" env:"EGRETREACH_CONTROL" help:"Link addresses of the control hosts."`
	Keys    string        `required:"" env:"EGRETREACH_KEYS" type:"path" help:"Keys folder of the operator." predictor:"dir"`
	Output  string        `enum:"text,json" default:"text" help:"Form of the output: text or json."`
	Timeout time.Duration `default:"10s" help:"How long to look for the control leader."`

	Apply      ctlApplyCommand      `cmd:"" help:"Offer a fleet configuration."`
	Config     ctlConfigCommand     `cmd:"" help:"Show accepted configurations."`
	Status     ctlStatusCommand     `cmd:"" help:"Show the state of the fleet."`
	Drain      ctlDrainCommand      `cmd:"" help:"Start the planned stop of a host."`
	Undrain    ctlUndrainCommand    `cmd:"" help:"End the planned stop of a host."`
	Request    ctlRequestCommand    `cmd:"" help:"Show what became of a request that may not be repeated."`
	Quarantine ctlQuarantineCommand `cmd:"" help:"Show and free request bodies that crash engines."`
}

const watchEvery = time.Second

// with calls f with a client, until f returns, the time is over or a signal comes.
// Watching has no time limit.
func (c *ctlCommand) with(watch bool, f func(ctx context.Context, cl client.Client) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if !watch {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	credentials, err := identity.OpenForRole(c.Keys, host.RoleOperator)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	link := transport.New(socket, credentials, transport.Options{})
	defer func() { _ = link.Close() }()
	return f(ctx, client.Client{Caller: session.New(session.Options{Pool: pool.New(link), ControlAddresses: c.Control})})
}

func (c *ctlCommand) printer(stdout io.Writer) client.Printer {
	return client.Printer{Out: stdout, JSON: c.Output == "json"}
}

type ctlApplyCommand struct {
	File         string        `arg:"" type:"existingfile" help:"The fleet configuration." predictor:"file"`
	BaseRevision view.Revision `required:"" help:"Revision that the file was made from; 0 for the first."`
	ChangeID     string        `help:"Name of this change. Give the same to send the same change again. Made up if left out."`
	DryRun       bool          `help:"Check the file and show the difference; change nothing."`
	Watch        bool          `help:"Wait until the configuration is in force in every daemon."`
}

// Help shows the command in use.
func (ctlApplyCommand) Help() string {
	return `Examples:
  egretreach ctl apply fleet.yaml --base-revision 12 --dry-run
  egretreach ctl apply fleet.yaml --base-revision 12 --watch`
}

// Run offers the configuration.
func (c ctlApplyCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	yaml, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	if ctl.Output == "text" {
		fmt.Fprintln(stdout, "change", c.ChangeID)
	}
	return ctl.with(c.Watch, func(ctx context.Context, cl client.Client) error {
		result, err := cl.Apply(ctx, client.Change{
			YAML: yaml, Base: c.BaseRevision, ChangeID: c.ChangeID, DryRun: c.DryRun,
		})
		if err != nil {
			return err
		}
		if err := ctl.printer(stdout).Apply(result, c.ChangeID); err != nil || !c.Watch || c.DryRun {
			return err
		}
		return cl.WaitInForce(ctx, result.Revision, watchEvery)
	})
}

type ctlConfigCommand struct {
	Show    ctlConfigShowCommand    `cmd:"" help:"Show an accepted configuration."`
	History ctlConfigHistoryCommand `cmd:"" help:"List the accepted changes."`
	Explain ctlConfigExplainCommand `cmd:"" help:"Show each value in force for a host, and why."`
}

type ctlConfigShowCommand struct {
	Revision view.Revision `help:"Revision to show; the latest if left out."`
}

// Run shows the configuration.
func (c ctlConfigShowCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	return ctl.with(false, func(ctx context.Context, cl client.Client) error {
		result, err := cl.Config(ctx, c.Revision)
		if err != nil {
			return err
		}
		return ctl.printer(stdout).Config(result)
	})
}

type ctlConfigHistoryCommand struct{}

// Run lists the changes.
func (ctlConfigHistoryCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	return ctl.with(false, func(ctx context.Context, cl client.Client) error {
		changes, err := cl.History(ctx)
		if err != nil {
			return err
		}
		return ctl.printer(stdout).History(changes)
	})
}

type ctlConfigExplainCommand struct {
	Host host.ID `arg:"" help:"Host ID."`
}

// Run explains the values.
func (c ctlConfigExplainCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	return ctl.with(false, func(ctx context.Context, cl client.Client) error {
		values, err := cl.Explain(ctx, c.Host)
		if err != nil {
			return err
		}
		return ctl.printer(stdout).Explain(values)
	})
}

type ctlStatusCommand struct {
	Watch bool `help:"Show the state every second until interrupted."`
}

// Run shows the state.
func (c ctlStatusCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	return ctl.with(c.Watch, func(ctx context.Context, cl client.Client) error {
		show := func(ctx context.Context) error {
			status, err := cl.Status(ctx)
			if err != nil {
				return err
			}
			return ctl.printer(stdout).Status(status)
		}
		if !c.Watch {
			return show(ctx)
		}
		return client.Watch(ctx, watchEvery, show)
	})
}

type ctlDrainCommand struct {
	Host   host.ID `arg:"" help:"Host ID."`
	Reason string  `required:"" help:"Why the host is to stop."`
}

// Run starts the planned stop.
func (c ctlDrainCommand) Run(ctl *ctlCommand) error {
	return ctl.with(false, func(ctx context.Context, cl client.Client) error {
		return cl.Drain(ctx, c.Host, c.Reason, false)
	})
}

type ctlUndrainCommand struct {
	Host host.ID `arg:"" help:"Host ID."`
}

// Run ends the planned stop.
func (c ctlUndrainCommand) Run(ctl *ctlCommand) error {
	return ctl.with(false, func(ctx context.Context, cl client.Client) error {
		return cl.Drain(ctx, c.Host, "", true)
	})
}

type ctlRequestCommand struct {
	ID string `arg:"" help:"Request ID."`
}

// Run shows the request.
func (c ctlRequestCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	id, err := request.ParseID(c.ID)
	if err != nil {
		return err
	}
	return ctl.with(false, func(ctx context.Context, cl client.Client) error {
		result, err := cl.Request(ctx, id)
		if err != nil {
			return err
		}
		return ctl.printer(stdout).Request(result)
	})
}

type ctlQuarantineCommand struct {
	List  ctlQuarantineListCommand  `cmd:"" help:"List the bodies that are suspect or quarantined."`
	Clear ctlQuarantineClearCommand `cmd:"" help:"Free a body, or all."`
}

type ctlQuarantineListCommand struct{}

// Run lists the bodies.
func (ctlQuarantineListCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	return ctl.with(false, func(ctx context.Context, cl client.Client) error {
		entries, err := cl.Quarantine(ctx)
		if err != nil {
			return err
		}
		return ctl.printer(stdout).Quarantine(entries)
	})
}

type ctlQuarantineClearCommand struct {
	Body string `arg:"" help:"Body as listed, or \"all\"."`
}

const (
	allBodies   = "all"
	bodyHexBase = 16
	bodyBits    = 64
)

// Run frees the body.
func (c ctlQuarantineClearCommand) Run(ctl *ctlCommand) error {
	var body uint64
	if c.Body != allBodies {
		parsed, err := strconv.ParseUint(c.Body, bodyHexBase, bodyBits)
		if err != nil || parsed == 0 {
			return errors.Errorf("%q is not a body as listed", c.Body)
		}
		body = parsed
	}
	return ctl.with(false, func(ctx context.Context, cl client.Client) error {
		return cl.ClearQuarantine(ctx, body)
	})
}
