package cmd

import (
	"context"

	"github.com/egretreach/egretreach/internal/process/daemon"
)

// runDaemon loads a daemon's settings and runs it until a signal ends it.
func runDaemon[S any](file string, load func(file string) (S, error), setup func(ctx context.Context, s S) daemon.Options) error {
	reload := daemon.NotifyReload()
	s, err := load(file)
	if err != nil {
		return daemon.LogInvalidSettings(err)
	}
	ctx := context.Background()
	with := setup(ctx, s)
	with.Reload = reload
	return daemon.Run(ctx, with)
}
