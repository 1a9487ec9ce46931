// Package cmd is the command line of egretreach: one file for each subcommand.
package cmd

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of every command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type commandLine struct {
	Engine  engineCommand  `cmd:"" help:"Run the stand-in for a model engine."`
	Service serviceCommand `cmd:"" help:"Run the stand-in for a plain service."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// Main parses args, runs the command they name and returns the exit code.
func Main(args []string) int {
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("egretreach"),
		kong.Description("Serves large models whose replicas span several hosts."),
		kong.UsageOnError(),
		kong.Exit(os.Exit),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "egretreach: %v\n", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "egretreach: %v\n", err)
		return exitFailure
	}
	return exitOK
}
