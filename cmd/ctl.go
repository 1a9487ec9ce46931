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
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/session"
	"github.com/egretreach/egretreach/internal/link/transport"
)

type ctlCommand struct {
	Control []string      `required:"" env:"EGRETREACH_CONTROL" help:"Link addresses (IP address and UDP port) of the control hosts."`
	Keys    string        `required:"" env:"EGRETREACH_KEYS" type:"path" help:"Keys folder of the operator, as written by keys issue." predictor:"dir"`
	Output  string        `enum:"text,json" default:"text" help:"Output format: text or json."`
	Timeout time.Duration `default:"10s" help:"Time limit for the command. It does not apply with --watch."`

	Apply      ctlApplyCommand      `cmd:"" help:"Put a fleet configuration in force."`
	Config     ctlConfigCommand     `cmd:"" help:"Show accepted configurations."`
	Status     ctlStatusCommand     `cmd:"" help:"Show the state of the fleet."`
	Drain      ctlDrainCommand      `cmd:"" help:"Start the planned stop of a host, which drains it."`
	Undrain    ctlUndrainCommand    `cmd:"" help:"Cancel the planned stop of a host."`
	Evacuate   ctlEvacuateCommand   `cmd:"" help:"Send no new requests to a failure domain."`
	Request    ctlRequestCommand    `cmd:"" help:"Show the outcome of a request that may run at most once."`
	Quarantine ctlQuarantineCommand `cmd:"" help:"List and release request bodies that crash engines."`
}

// watchInterval is the time between two queries of the state with --watch.
const watchInterval = time.Second

// withClient calls f with a client of the control hosts. The context of f ends at SIGINT or SIGTERM and,
// unless watch is true, after c.Timeout.
func (c *ctlCommand) withClient(watch bool, f func(ctx context.Context, cl client.Client) error) error {
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
		return errors.Wrap(err, "open UDP socket")
	}
	link := transport.New(socket, credentials, transport.Options{})
	defer func() { _ = link.Close() }()
	return f(ctx, client.Client{Caller: session.New(session.Options{Pool: pool.New(link), ControlAddresses: c.Control})})
}

func (c *ctlCommand) printer(stdout io.Writer) client.Printer {
	return client.Printer{Out: stdout, JSON: c.Output == "json"}
}

type ctlApplyCommand struct {
	File         string        `arg:"" type:"existingfile" help:"Path of the fleet configuration, in YAML." predictor:"file"`
	BaseRevision view.Revision `required:"" help:"Revision that the file is based on; 0 for the first configuration."`
	ChangeID     string        `help:"ID of this change. Use the same ID to send the same change again. Drawn at random by default."`
	DryRun       bool          `help:"Check the file and show the differences without a change."`
	Watch        bool          `help:"Wait until the configuration is in force in every daemon."`
}

// Help returns examples.
func (ctlApplyCommand) Help() string {
	return `Examples:
  egretreach ctl apply fleet.yaml --base-revision 12 --dry-run
  egretreach ctl apply fleet.yaml --base-revision 12 --watch`
}

// Run puts the configuration in force.
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
	return ctl.withClient(c.Watch, func(ctx context.Context, cl client.Client) error {
		result, err := cl.Apply(ctx, client.Change{
			YAML: yaml, Base: c.BaseRevision, ChangeID: c.ChangeID, DryRun: c.DryRun,
		})
		if err != nil {
			return err
		}
		if err := ctl.printer(stdout).Apply(result, c.ChangeID); err != nil || !c.Watch || c.DryRun {
			return err
		}
		return cl.WaitInForce(ctx, result.Revision, watchInterval)
	})
}

type ctlConfigCommand struct {
	Show    ctlConfigShowCommand    `cmd:"" help:"Show an accepted configuration."`
	History ctlConfigHistoryCommand `cmd:"" help:"List the accepted changes."`
	Explain ctlConfigExplainCommand `cmd:"" help:"Show each value in force for a host and where it comes from."`
}

type ctlConfigShowCommand struct {
	Revision view.Revision `help:"Revision to show; 0 is the latest."`
}

// Run shows the configuration.
func (c ctlConfigShowCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	return ctl.withClient(false, func(ctx context.Context, cl client.Client) error {
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
	return ctl.withClient(false, func(ctx context.Context, cl client.Client) error {
		changes, err := cl.History(ctx)
		if err != nil {
			return err
		}
		return ctl.printer(stdout).History(changes)
	})
}

type ctlConfigExplainCommand struct {
	Host host.ID `arg:"" help:"ID of the host."`
}

// Run shows the values.
func (c ctlConfigExplainCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	return ctl.withClient(false, func(ctx context.Context, cl client.Client) error {
		values, err := cl.Explain(ctx, c.Host)
		if err != nil {
			return err
		}
		return ctl.printer(stdout).Explain(values)
	})
}

type ctlStatusCommand struct {
	Watch bool `help:"Show the state every second until a signal ends the command."`
}

// Run shows the state.
func (c ctlStatusCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	return ctl.withClient(c.Watch, func(ctx context.Context, cl client.Client) error {
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
		return client.Watch(ctx, watchInterval, show)
	})
}

type ctlDrainCommand struct {
	Host   host.ID `arg:"" help:"ID of the host."`
	Reason string  `required:"" help:"Reason for the planned stop, for other operators."`
}

// Run starts the planned stop.
func (c ctlDrainCommand) Run(ctl *ctlCommand) error {
	return ctl.withClient(false, func(ctx context.Context, cl client.Client) error {
		return cl.Drain(ctx, c.Host, c.Reason, false)
	})
}

type ctlUndrainCommand struct {
	Host host.ID `arg:"" help:"ID of the host."`
}

// Run cancels the planned stop.
func (c ctlUndrainCommand) Run(ctl *ctlCommand) error {
	return ctl.withClient(false, func(ctx context.Context, cl client.Client) error {
		return cl.Drain(ctx, c.Host, "", true)
	})
}

type ctlEvacuateCommand struct {
	Domain domain.Failure `arg:"" help:"Name of the failure domain."`
	Cancel bool           `help:"Withdraw the evacuation, so that the domain is used again."`
}

// Help describes the effect and gives examples.
func (ctlEvacuateCommand) Help() string {
	return `The endpoints of the domain get no new requests, at the latest one lease (4 s) after the command has returned. Requests that run there
finish. The command may be repeated. ctl status lists the evacuated domains.

Examples:
  egretreach ctl evacuate hall-2
  egretreach ctl evacuate hall-2 --cancel`
}

// Run begins or withdraws the evacuation.
func (c ctlEvacuateCommand) Run(ctl *ctlCommand) error {
	return ctl.withClient(false, func(ctx context.Context, cl client.Client) error {
		return cl.Evacuate(ctx, c.Domain, c.Cancel)
	})
}

type ctlRequestCommand struct {
	ID string `arg:"" help:"ID of the request, as in the header Egretreach-Request-Id of the response."`
}

// Run shows the request.
func (c ctlRequestCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	id, err := request.ParseID(c.ID)
	if err != nil {
		return err
	}
	return ctl.withClient(false, func(ctx context.Context, cl client.Client) error {
		result, err := cl.Request(ctx, id)
		if err != nil {
			return err
		}
		return ctl.printer(stdout).Request(result)
	})
}

type ctlQuarantineCommand struct {
	List  ctlQuarantineListCommand  `cmd:"" help:"List the request bodies that are suspect or quarantined."`
	Clear ctlQuarantineClearCommand `cmd:"" help:"Release one body, or all."`
}

type ctlQuarantineListCommand struct{}

// Run lists the bodies.
func (ctlQuarantineListCommand) Run(ctl *ctlCommand, stdout io.Writer) error {
	return ctl.withClient(false, func(ctx context.Context, cl client.Client) error {
		entries, err := cl.Quarantine(ctx)
		if err != nil {
			return err
		}
		return ctl.printer(stdout).Quarantine(entries)
	})
}

type ctlQuarantineClearCommand struct {
	Body string `arg:"" help:"Body as printed by quarantine list, or \"all\"."`
}

const (
	allBodies   = "all"
	bodyHexBase = 16
	bodyBits    = 64
)

// Run releases the body.
func (c ctlQuarantineClearCommand) Run(ctl *ctlCommand) error {
	var body uint64
	if c.Body != allBodies {
		parsed, err := strconv.ParseUint(c.Body, bodyHexBase, bodyBits)
		if err != nil || parsed == 0 {
			return errors.Errorf("%q is neither \"all\" nor a body in hexadecimal, as printed by quarantine list", c.Body)
		}
		body = parsed
	}
	return ctl.withClient(false, func(ctx context.Context, cl client.Client) error {
		return cl.ClearQuarantine(ctx, body)
	})
}
