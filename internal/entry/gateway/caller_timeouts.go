package gateway

import (
	"sync"
	"time"
)

// callerTimeouts records the longest timeout that callers of each route send. A caller that
// retries is assumed to keep its deadline, and so to send a shorter timeout than at first. The
// zero value is ready to use.
type callerTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// timeoutTolerance is how far below the longest timeout that of a first attempt may be.
const timeoutTolerance = 30 * time.Millisecond

// alreadyWaited estimates how long a caller that sends timeout has waited in earlier attempts.
func (t *callerTimeouts) alreadyWaited(route string, timeout time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.longest[route]
	if timeout > longest {
		if t.longest == nil {
			t.longest = map[string]time.Duration{}
		}
		t.longest[route] = timeout
		return 0
	}
	if waited := longest - timeout; waited > timeoutTolerance {
		return waited
	}
	return 0
}
