// Package cmd is the command line of egretreach: one file for each subcommand.
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
	Entry      entryCommand      `cmd:"" help:"Run an entry: the daemon that callers reach."`
	Ctl        ctlCommand        `cmd:"" help:"Operate a running fleet."`
	Control    controlCommand    `cmd:"" help:"Run a control daemon: the fleet's durable state."`
	Gateway    gatewayCommand    `cmd:"" help:"Run a gateway: the entry where endpoints announce themselves."`
	Portal     portalCommand     `cmd:"" help:"Run a portal: the control daemon where endpoints announce themselves."`
	Routes     routesCommand     `cmd:"" help:"Read and change the configuration of portals."`
	Agent      agentCommand      `cmd:"" help:"Run an agent: the daemon beside a host's endpoints."`
	Dev        devCommand        `cmd:"" help:"Run a whole fleet with stand-in engines in one process."`
	Load       loadCommand       `cmd:"" help:"Drive callers at a running fleet and check their answers."`
	Engine     engineCommand     `cmd:"" help:"Run the stand-in for a model engine."`
	Service    serviceCommand    `cmd:"" help:"Run the stand-in for a plain service."`
	Config     configCommand     `cmd:"" help:"Check fleet configurations."`
	Keys       keysCommand       `cmd:"" help:"Make and rotate the fleet's keys."`
	Completion completionCommand `cmd:"" help:"Print the set-up of shell completion."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// Main parses args, runs the command they name and returns the exit code.
func Main(args []string) int { return run(args, os.Stdout, os.Stderr, os.Exit) }

// run is Main on given streams. It calls exit after --help and for completions.
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
