package gateway

import (
	"sync"
	"time"
)

// waits remembers how long the callers of each route wait at most. The zero value is
// ready.
type waits struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// waitSlack is how much less than the longest a caller may wait who has not come back.
const waitSlack = 30 * time.Millisecond

// before returns how long a caller that waits for left has probably waited already.
func (w *waits) before(route string, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := w.longest[route]
	if left > longest {
		if w.longest == nil {
			w.longest = map[string]time.Duration{}
		}
		w.longest[route] = left
		return 0
	}
	if gone := longest - left; gone > waitSlack {
		return gone
	}
	return 0
}
