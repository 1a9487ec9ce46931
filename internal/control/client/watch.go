package client

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Watch calls show at once and then at the given interval, until show fails or ctx ends. It returns
// nil if ctx ends.
func Watch(ctx context.Context, interval time.Duration, show func(ctx context.Context) error) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := show(ctx); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// WaitInForce asks for the status at the given interval and returns nil when InForce reports true.
// It returns the error of the first status query that fails, and that of ctx if it ends first.
func (c Client) WaitInForce(ctx context.Context, revision view.Revision, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		status, err := c.Status(ctx)
		if err != nil || InForce(status, revision) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
