// Package lease implements the daemon's side of the lease that control grants it. A
// lease starts at the time at which its renewal was sent, by the daemon's own monotonic
// clock (Gray and Cheriton, "Leases", 1989).
package lease

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

// DriftMargin is the fraction of a lease's duration by which each side allows for
// clocks that run at different rates. The daemon stops that much earlier, and control
// waits that much longer.
const DriftMargin = 0.05

// maxPending bounds the unanswered renewals that are remembered.
const maxPending = 64

// Lease is the state of a lease at its holder. It expires unless control extends it.
// The zero value has expired.
type Lease struct {
	pending  map[uint64]time.Time
	sequence uint64
	expiry   time.Time
	revision view.Revision
}

// ForgetPending forgets the renewals that were sent to an earlier leader. What was
// already granted stays in force.
func (l *Lease) ForgetPending() { l.pending = nil }

// RecordRenewal records that a renewal is sent at now and returns its sequence number.
func (l *Lease) RecordRenewal(now time.Time) uint64 {
	l.sequence++
	if l.pending == nil || len(l.pending) >= maxPending {
		l.pending = map[uint64]time.Time{}
	}
	l.pending[l.sequence] = now
	return l.sequence
}

// LastSequence returns the sequence number of the latest renewal, 0 if none was sent.
func (l *Lease) LastSequence() uint64 { return l.sequence }

// ApplyGrant extends the lease to HolderDuration(ttl) after the renewal of that
// sequence number was sent. It ignores a grant for an unknown renewal and then returns
// false.
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
	if until := sent.Add(HolderDuration(ttl)); until.After(l.expiry) {
		l.expiry = until
	}
	l.revision = max(l.revision, revision)
	return true
}

// HolderDuration returns how long the holder may use a lease of ttl.
func HolderDuration(ttl time.Duration) time.Duration {
	return ttl - time.Duration(float64(ttl)*DriftMargin)
}

// GrantorDuration returns how long after its last grant of ttl control must treat the
// lease as valid.
func GrantorDuration(ttl time.Duration) time.Duration {
	return ttl + time.Duration(float64(ttl)*DriftMargin)
}

// Expiry returns the time at which the lease expires.
func (l *Lease) Expiry() time.Time { return l.expiry }

// Revision returns the highest configuration revision that control confirmed.
func (l *Lease) Revision() view.Revision { return l.revision }

// Valid reports whether the daemon may accept new work at now with the configuration
// revision held. It may not after the lease has expired, without a configuration, or
// with one older than control confirmed.
func (l *Lease) Valid(now time.Time, held view.Revision) bool {
	return now.Before(l.expiry) && held > 0 && held >= l.revision
}

// Release ends the lease at once.
func (l *Lease) Release() {
	l.pending = nil
	l.expiry = time.Time{}
}
