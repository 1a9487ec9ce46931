// Package lease is a daemon's side of the lease that control grants it. The time
// of a lease runs from the moment at which its renewal was sent, by the daemon's
// own monotonic clock (Gray and Cheriton, "Leases", 1989).
package lease

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

// DriftMargin is the share of a lease that each side gives away for clocks that
// run at different rates: a daemon stops that much early, control waits that much
// longer.
const DriftMargin = 0.05

const maxPending = 64

// Lease is granted by control and lapses by itself. The zero value has lapsed.
type Lease struct {
	pending  map[uint64]time.Time
	sequence uint64
	until    time.Time
	revision view.Revision
}

// ForgetPending forgets renewals that were sent to an earlier leader. What was granted
// runs on.
func (l *Lease) ForgetPending() { l.pending = nil }

// RecordRenewal records that a renewal is about to be sent and returns its sequence.
func (l *Lease) RecordRenewal(now time.Time) uint64 {
	l.sequence++
	if l.pending == nil || len(l.pending) >= maxPending {
		l.pending = map[uint64]time.Time{}
	}
	l.pending[l.sequence] = now
	return l.sequence
}

// ApplyGrant extends the lease to ttl after the renewal of that sequence was sent,
// less the drift margin. A grant for an unknown renewal counts for nothing.
func (l *Lease) ApplyGrant(sequence uint64, ttl time.Duration, revision view.Revision) bool {
	sent, ok := l.pending[sequence]
	if !ok {
		return false
	}
	for s := range l.pending {
		if s <= sequence {
			delete(l.pending, s)
		}
	}
	if until := sent.Add(HolderDuration(ttl)); until.After(l.until) {
		l.until = until
	}
	l.revision = max(l.revision, revision)
	return true
}

// HolderDuration returns the part of ttl that a daemon may use.
func HolderDuration(ttl time.Duration) time.Duration {
	return ttl - time.Duration(float64(ttl)*DriftMargin)
}

// GrantorDuration returns how long control waits after its last grant before it takes
// the lease for lapsed.
func GrantorDuration(ttl time.Duration) time.Duration {
	return ttl + time.Duration(float64(ttl)*DriftMargin)
}

// Expiry returns when the lease lapses.
func (l *Lease) Expiry() time.Time { return l.until }

// Revision returns the highest configuration revision that control confirmed.
func (l *Lease) Revision() view.Revision { return l.revision }

// Valid reports whether the daemon may take new work at now, holding the given
// configuration. It may not after the lease has lapsed, nor with a configuration
// older than the one that control confirmed.
func (l *Lease) Valid(now time.Time, held view.Revision) bool {
	return now.Before(l.until) && held > 0 && held >= l.revision
}

// Release gives the lease up.
func (l *Lease) Release() {
	l.pending = nil
	l.until = time.Time{}
}
