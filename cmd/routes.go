package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/platform"
)

type routesCommand struct {
	Get   routesGetCommand   `cmd:"" help:"Print the configuration in force at the portals."`
	Put   routesPutCommand   `cmd:"" help:"Put a configuration in force. Sending the same configuration again is safe."`
	Check routesCheckCommand `cmd:"" help:"Check a configuration without sending it."`

	Explain routesExplainCommand `cmd:"" help:"Print where a request would go now and why, without sending it."`

	Evacuate    routesEvacuateCommand    `cmd:"" help:"Send no more requests to the endpoints of a failure domain. Repeating it is safe."`
	Evacuations routesEvacuationsCommand `cmd:"" help:"Print the failure domains that are evacuated."`
}

// portalsFlag holds the addresses of the portals.
type portalsFlag struct {
	Portals []string `required:"" name:"portal" env:"EGRETREACH_PORTALS" help:"API addresses (IP address and TCP port) of portals, which are tried in turn."`
}

// tryEach runs call against one portal after the other until it succeeds or a portal finds the request
// invalid, as the others would too. It returns the last error.
func (f portalsFlag) tryEach(call func(ctx context.Context, c platform.Client) error) error {
	var last error
	for _, address := range f.Portals {
		last = call(context.Background(), platform.Client{Address: address})
		if last == nil || platform.IsErrStatus(last, http.StatusBadRequest) {
			return last
		}
	}
	return last
}

type routesGetCommand struct {
	portalsFlag `embed:""`
}

// Run prints the configuration in force in the form in which an operator sent it.
func (c routesGetCommand) Run(out io.Writer) error {
	return c.tryEach(func(ctx context.Context, client platform.Client) error {
		document, err := client.Table(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s\n", document)
		return err
	})
}

type routesPutCommand struct {
	portalsFlag `embed:""`
	File        string `arg:"" type:"existingfile" help:"Path of the configuration, in the platform's format."`
}

// Run checks a configuration and puts it in force.
func (c routesPutCommand) Run(out io.Writer) error {
	document, version, err := readRoutes(c.File)
	if err != nil {
		return err
	}
	return c.tryEach(func(ctx context.Context, client platform.Client) error {
		if err := client.PutTable(ctx, document); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "version %d is in force\n", version)
		return err
	})
}

type routesEvacuateCommand struct {
	portalsFlag `embed:""`
	Cancel      bool   `help:"Withdraw the evacuation: requests are sent there again."`
	Domain      string `arg:"" help:"Name of the failure domain."`
}

// Run begins or withdraws the evacuation of a failure domain.
func (c routesEvacuateCommand) Run(out io.Writer) error {
	return c.tryEach(func(ctx context.Context, client platform.Client) error {
		if err := client.Evacuate(ctx, c.Domain, !c.Cancel); err != nil {
			return err
		}
		state := "is evacuated"
		if c.Cancel {
			state = "is not evacuated"
		}
		_, err := fmt.Fprintf(out, "failure domain %q %s\n", c.Domain, state)
		return err
	})
}

type routesEvacuationsCommand struct {
	portalsFlag `embed:""`
}

// Run prints the evacuated failure domains, one a line.
func (c routesEvacuationsCommand) Run(out io.Writer) error {
	return c.tryEach(func(ctx context.Context, client platform.Client) error {
		domains, err := client.Evacuations(ctx)
		if err != nil {
			return err
		}
		for _, domain := range domains {
			if _, err := fmt.Fprintln(out, domain); err != nil {
				return err
			}
		}
		return nil
	})
}

type routesCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"Path of the configuration, in the platform's format."`
}

// Run checks a configuration in the same way as portals.
func (c routesCheckCommand) Run(out io.Writer) error {
	_, version, err := readRoutes(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s is valid: version %d\n", c.File, version)
	return err
}

// readRoutes reads and checks a configuration file and returns its content and version.
func readRoutes(file string) (document []byte, version uint64, err error) {
	document, err = os.ReadFile(file)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read configuration file")
	}
	table, err := platform.DecodeTable(document)
	if err != nil {
		return nil, 0, errors.Wrap(err, file)
	}
	return document, table.Version, nil
}
