package client

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Watch calls show at once and then again and again, until it fails or ctx ends.
func Watch(ctx context.Context, every time.Duration, show func(ctx context.Context) error) error {
	ticker := time.NewTicker(every)
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

// WaitInForce returns when every daemon that holds a lease has confirmed revision,
// or with ctx's error.
func (c Client) WaitInForce(ctx context.Context, revision view.Revision, every time.Duration) error {
	ticker := time.NewTicker(every)
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
