package clock

import (
	"math"
	"sync/atomic"
	"time"
)

// Mark holds the time of the latest event of a kind, by Now. A jump of the time of day does not change its age. The zero value
// has no event. It is safe for concurrent use.
type Mark struct{ at atomic.Pointer[time.Time] }

// Set records an event that happens now.
func (m *Mark) Set() {
	now := Now()
	m.at.Store(&now)
}

// Age returns the time since the latest event, or the longest duration if there was none.
func (m *Mark) Age() time.Duration {
	at := m.at.Load()
	if at == nil {
		return math.MaxInt64
	}
	return Since(*at)
}
