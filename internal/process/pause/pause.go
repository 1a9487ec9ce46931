// Package pause lets a daemon's loop wait without outliving its context.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, and reports whether d passed. A d of 0 or
// less has passed already; no timer is made for it.
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
