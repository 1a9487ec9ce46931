package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/egretreach/egretreach/internal/fleet/config"
)

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check a fleet configuration without a running fleet."`
}

type configCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"The fleet configuration, in YAML." predictor:"file"`
}

// Help shows the command in use.
func (configCheckCommand) Help() string {
	return `Lists every problem with its file, line and key.

Exit codes: 0 the file is good, 1 it is not, 2 wrong usage or no such file.

Examples:
  egretreach config check fleet.yaml
  egretreach config check fleet.yaml && egretreach ctl apply fleet.yaml`
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
	fmt.Fprintf(stdout, "%s is good: %d deployments, %d teams, %d services, %d exceptions\n",
		c.File, len(fleet.Deployments), len(fleet.Teams), len(fleet.Services), len(fleet.Exceptions))
	return nil
}
