// Package pause provides a sleep that ends with a context.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, and reports whether d has passed. If d is 0 or less, it
// returns true at once without a timer, also if ctx has ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
