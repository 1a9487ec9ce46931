package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/egretreach/egretreach/internal/fleet/config"
)

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check a fleet configuration file without a running fleet."`
}

type configCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"Path of the fleet configuration, in YAML." predictor:"file"`
}

// Help returns details and examples.
func (configCheckCommand) Help() string {
	return `Lists every problem with its file, line and key.

Exit codes: 0 if the file is valid, 1 if it is not, 2 if the command line is wrong
or the file does not exist.

Examples:
  egretreach config check fleet.yaml
  egretreach config check fleet.yaml && egretreach ctl apply fleet.yaml --base-revision 12`
}

// Run checks the file.
func (c configCheckCommand) Run(stdout io.Writer) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	fleet, err := config.Parse(c.File, data)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s is valid: %d deployments, %d teams, %d services, %d exceptions\n",
		c.File, len(fleet.Deployments), len(fleet.Teams), len(fleet.Services), len(fleet.Exceptions))
	return nil
}
