package cmd

import (
	"context"

	"github.com/egretreach/egretreach/internal/process/daemon"
)

// runDaemon loads the settings of a daemon and runs it until a signal ends it.
func runDaemon[S any](file string, load func(file string) (S, error), options func(ctx context.Context, s S) daemon.Options) error {
	reload, stopSignals := daemon.NotifyReload(), daemon.NotifyStop()
	s, err := load(file)
	if err != nil {
		return daemon.LogInvalidSettings(err)
	}
	ctx := context.Background()
	opts := options(ctx, s)
	opts.Reload, opts.StopSignals = reload, stopSignals
	return daemon.Run(ctx, opts)
}
