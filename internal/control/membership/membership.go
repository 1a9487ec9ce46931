// Package membership is what the control leader knows of the daemons: who holds a
// lease, until when at the latest, and what each said last. It lives in the
// leader's memory only; a new leader starts from the admitted incarnations in the
// replicated state and takes no host for lost before every lease that its
// predecessor can have granted has lapsed.
//
// Only the admitted incarnation of a host is granted a lease. Another one is
// admitted once no lease of its predecessor can be valid, so two processes that
// announce one host never hold valid leases together.
package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/lease"
	"github.com/egretreach/egretreach/internal/link/message"
)

// lossWindow is the time over which losses of a host are counted.
const lossWindow = time.Hour

// Daemon is what the leader knows of one host's daemon.
type Daemon struct {
	Role host.Role
	// Info is that of the admitted incarnation.
	Info host.Info
	// Renewed says that this leader has had a renewal of the admitted incarnation.
	Renewed bool
	// Stopping says that the daemon announced its planned stop.
	Stopping bool
	// Alive says that its lease may be valid.
	Alive bool
	// AliveChangedAt is when Alive last changed.
	AliveChangedAt time.Time
	// LastLost is when the daemon's lease last lapsed; zero if it never did.
	LastLost time.Time
	// EngineHealthy, Held, Revision and Demand are those of the last renewal.
	EngineHealthy bool
	// EngineHealthChangedAt is when EngineHealthy last changed.
	EngineHealthChangedAt time.Time
	Held                  []message.HeldReplica
	Revision              view.Revision
	Demand                map[string]float64

	lastGrant time.Time
	released  bool
	losses    []time.Time
	candidate *candidate
	// forgetting says that the host is about to be dropped; nothing is granted to it.
	forgetting bool
}

// candidate is an incarnation that waits to be admitted.
type candidate struct {
	role host.Role
	info host.Info
}

// Losses returns how often the daemon's lease lapsed in the hour before now.
func (d *Daemon) Losses(now time.Time) int {
	n := 0
	for _, lost := range d.losses {
		if now.Sub(lost) < lossWindow {
			n++
		}
	}
	return n
}

// Holds returns the daemon's own record of a replica.
func (d *Daemon) Holds(h message.HeldReplica) bool {
	return slices.ContainsFunc(d.Held, func(held message.HeldReplica) bool {
		return held.Replica == h.Replica && held.Fence == h.Fence
	})
}

// Table holds the daemons. Use New.
type Table struct {
	ttl     time.Duration
	since   time.Time
	daemons map[host.ID]*Daemon
}

// New returns the table of a leader that took office at now and grants leases of
// length ttl.
func New(now time.Time, ttl time.Duration) *Table {
	return &Table{ttl: ttl, since: now, daemons: map[host.ID]*Daemon{}}
}

// RecordAdmitted records that an incarnation stands in the replicated state as the one
// that may hold its host's lease.
func (t *Table) RecordAdmitted(now time.Time, role host.Role, info host.Info) {
	d, known := t.daemons[info.ID]
	if !known {
		d = &Daemon{Alive: true, AliveChangedAt: t.since}
		t.daemons[info.ID] = d
	}
	if d.Info.Incarnation == info.Incarnation {
		return
	}
	if known {
		d.revive(now)
		d.lastGrant = now
		d.Held = nil
		d.Renewed = false
		d.Stopping = false
	}
	d.Role = role
	d.Info = info
	if d.candidate != nil && d.candidate.info.Incarnation == info.Incarnation {
		d.candidate = nil
	}
}

// StopGrants stops all grants to a host that is about to be dropped from the
// replicated state. It has to announce itself again after Forget.
func (t *Table) StopGrants(id host.ID) {
	if d := t.daemons[id]; d != nil {
		d.forgetting = true
	}
}

// Forget drops a host that is no longer in the replicated state.
func (t *Table) Forget(id host.ID) { delete(t.daemons, id) }

// Announce records an incarnation that opened a session. From then on another
// incarnation of the host is granted nothing.
func (t *Table) Announce(now time.Time, role host.Role, info host.Info) {
	d, known := t.daemons[info.ID]
	if !known {
		d = &Daemon{AliveChangedAt: now, released: true}
		t.daemons[info.ID] = d
	}
	if !d.isAdmitted(info.Incarnation) {
		d.candidate = &candidate{role: role, info: info}
		return
	}
	d.released = false
	d.Stopping = false
}

// SessionEnded records that the session of an incarnation has ended.
func (t *Table) SessionEnded(id host.ID, incarnation host.Incarnation) {
	d := t.daemons[id]
	if d != nil && d.candidate != nil && d.candidate.info.Incarnation == incarnation {
		d.candidate = nil
	}
}

// Admissible returns the candidates that may be admitted at now.
func (t *Table) Admissible(now time.Time) []Candidate {
	var all []Candidate
	for _, id := range t.ids() {
		d := t.daemons[id]
		if d.candidate != nil && !d.forgetting && !now.Before(t.reclaimableAt(d)) {
			all = append(all, Candidate{Role: d.candidate.role, Info: d.candidate.info})
		}
	}
	return all
}

// Candidate is an incarnation that may be admitted.
type Candidate struct {
	Role host.Role
	Info host.Info
}

// Renew records a renewal and reports whether the lease may be extended. The
// caller sends a grant only then.
func (t *Table) Renew(now time.Time, r message.Renewal) bool {
	d := t.daemons[r.Host]
	if d == nil || !d.isAdmitted(r.Incarnation) || d.candidate != nil || d.released || d.forgetting {
		return false
	}
	d.lastGrant = now
	d.Renewed = true
	if d.EngineHealthy != r.EngineHealthy {
		d.EngineHealthy = r.EngineHealthy
		d.EngineHealthChangedAt = now
	}
	d.Held = r.Held
	d.Revision = r.Revision
	d.Demand = r.Demand
	d.revive(now)
	return true
}

// Goodbye records that an incarnation stops: at once, or with draining after it
// has finished what runs.
func (t *Table) Goodbye(now time.Time, id host.ID, incarnation host.Incarnation, draining bool) {
	d := t.daemons[id]
	if d == nil || !d.isAdmitted(incarnation) {
		return
	}
	d.Stopping = true
	if draining {
		return
	}
	d.released = true
	d.Held = nil
	d.Demand = nil
	if d.Alive {
		d.Alive = false
		d.AliveChangedAt = now
	}
}

// ExpireLeases marks the daemons whose leases have lapsed by now as lost and returns them.
func (t *Table) ExpireLeases(now time.Time) []host.ID {
	var lost []host.ID
	for _, id := range t.ids() {
		d := t.daemons[id]
		if !d.Alive || now.Before(t.reclaimableAt(d)) {
			continue
		}
		d.lose(now)
		lost = append(lost, id)
	}
	return lost
}

// ReclaimableAt returns the time from which no lease of the host's admitted
// incarnation can be valid.
func (t *Table) ReclaimableAt(id host.ID) time.Time {
	d := t.daemons[id]
	if d == nil {
		return t.since.Add(lease.Reclaimable(t.ttl))
	}
	return t.reclaimableAt(d)
}

func (t *Table) reclaimableAt(d *Daemon) time.Time {
	if d.released {
		return time.Time{}
	}
	last := d.lastGrant
	if last.Before(t.since) {
		last = t.since
	}
	return last.Add(lease.Reclaimable(t.ttl))
}

// FormerLeasesEndAt returns when every lease of the former leader has lapsed.
func (t *Table) FormerLeasesEndAt() time.Time { return t.since.Add(lease.Reclaimable(t.ttl)) }

// Daemon returns what is known of a host's daemon, or nil. The caller does not
// change it.
func (t *Table) Daemon(id host.ID) *Daemon { return t.daemons[id] }

// Daemons returns all daemons that have been admitted, in the order of their hosts.
func (t *Table) Daemons() []*Daemon {
	all := make([]*Daemon, 0, len(t.daemons))
	for _, id := range t.ids() {
		if d := t.daemons[id]; d.Info.ID != "" {
			all = append(all, d)
		}
	}
	return all
}

func (t *Table) ids() []host.ID { return slices.Sorted(maps.Keys(t.daemons)) }

func (d *Daemon) isAdmitted(i host.Incarnation) bool {
	return d.Info.ID != "" && d.Info.Incarnation == i
}

func (d *Daemon) revive(now time.Time) {
	d.released = false
	if !d.Alive {
		d.Alive = true
		d.AliveChangedAt = now
	}
}

func (d *Daemon) lose(now time.Time) {
	d.Alive = false
	d.AliveChangedAt = now
	d.LastLost = now
	d.Held = nil
	d.Demand = nil
	d.losses = slices.DeleteFunc(d.losses, func(lost time.Time) bool { return now.Sub(lost) >= lossWindow })
	d.losses = append(d.losses, now)
}
