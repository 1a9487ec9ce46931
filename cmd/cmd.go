// Package cmd implements the command line of egretreach, with one file for each command.
package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/egretreach/egretreach/internal/fleet/document"
)

// Exit codes of every command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type commandLine struct {
	Entry      entryCommand      `cmd:"" help:"Run an entry, the daemon that answers callers."`
	Ctl        ctlCommand        `cmd:"" help:"Operate a running fleet through its control hosts."`
	Control    controlCommand    `cmd:"" help:"Run a control daemon, which keeps the fleet's durable state."`
	Gateway    gatewayCommand    `cmd:"" help:"Run a gateway, the entry on platforms whose endpoints announce themselves."`
	Portal     portalCommand     `cmd:"" help:"Run a portal, the control daemon on platforms whose endpoints announce themselves."`
	Routes     routesCommand     `cmd:"" help:"Read, check and change the configuration of the portals."`
	Agent      agentCommand      `cmd:"" help:"Run an agent, the daemon that manages the endpoints of its host."`
	Dev        devCommand        `cmd:"" help:"Run a whole fleet with stand-in engines in one process, for development."`
	Load       loadCommand       `cmd:"" help:"Send the requests of simulated callers to a running fleet and check the answers."`
	Engine     engineCommand     `cmd:"" help:"Run a stand-in model engine."`
	Service    serviceCommand    `cmd:"" help:"Run a stand-in plain service."`
	Config     configCommand     `cmd:"" help:"Check fleet configurations."`
	Keys       keysCommand       `cmd:"" help:"Create and rotate the fleet's keys and certificates."`
	Completion completionCommand `cmd:"" help:"Print a script that sets up shell completion."`
	Version    versionCommand    `cmd:"" help:"Print the version of egretreach and of Go."`
}

// Main runs the command that args select and returns the exit code of the process.
func Main(args []string) int { return run(args, os.Stdout, os.Stderr, os.Exit) }

// run is Main with given output streams. It calls exit after it has printed help or completions.
func run(args []string, stdout, stderr io.Writer, exit func(int)) int {
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("egretreach"),
		kong.Description("Serves large models whose replicas span several hosts."),
		kong.Writers(stdout, stderr),
		kong.BindTo(stdout, (*io.Writer)(nil)),
		kong.Exit(exit),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	completeLine(parser)
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "egretreach: %v\n", err)
		return exitUsage
	}
	err = ctx.Run()
	switch {
	case err == nil:
		return exitOK
	case document.IsErrInvalid(err):
		fmt.Fprintln(stderr, err)
	default:
		fmt.Fprintf(stderr, "egretreach: %v\n", err)
	}
	return exitFailure
}
