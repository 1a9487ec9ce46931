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
	Put   routesPutCommand   `cmd:"" help:"Put a configuration in force. The same one may be sent again."`
	Check routesCheckCommand `cmd:"" help:"Check a configuration without sending it."`
}

// portalsFlag names where portals are called.
type portalsFlag struct {
	Portals []string `required:"" name:"portal" env:"EGRETREACH_PORTALS" help:"API addresses of portals; they are tried in turn."`
}

// each calls portals in turn until one of them answers for good.
func (f portalsFlag) each(call func(ctx context.Context, c platform.Client) error) error {
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

// Run prints the newest configuration, as its operator sent it.
func (c routesGetCommand) Run(out io.Writer) error {
	return c.each(func(ctx context.Context, client platform.Client) error {
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
	File        string `arg:"" type:"existingfile" help:"The configuration, in the platform's format."`
}

// Run puts a configuration in force. It is checked here first.
func (c routesPutCommand) Run(out io.Writer) error {
	document, version, err := readRoutes(c.File)
	if err != nil {
		return err
	}
	return c.each(func(ctx context.Context, client platform.Client) error {
		if err := client.PutTable(ctx, document); err != nil {
			return err
		}
		_, err := fmt.Fprintf(out, "version %d is in force\n", version)
		return err
	})
}

type routesCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"The configuration, in the platform's format."`
}

// Run checks a configuration as portals do.
func (c routesCheckCommand) Run(out io.Writer) error {
	_, version, err := readRoutes(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s is good: version %d\n", c.File, version)
	return err
}

// readRoutes reads and checks a configuration.
func readRoutes(file string) (document []byte, version uint64, err error) {
	document, err = os.ReadFile(file)
	if err != nil {
		return nil, 0, errors.Wrap(err, "configuration")
	}
	table, err := platform.DecodeTable(document)
	if err != nil {
		return nil, 0, errors.Wrap(err, file)
	}
	return document, table.Version, nil
}
