// Package membership tracks what the control leader knows about the daemons: which
// ones hold a lease, until when at the latest, and what each last reported. The data
// exists only in the leader's memory. A new leader starts from the admitted
// incarnations in the replicated state. It does not consider a host lost before every
// lease that its predecessor may have granted has expired.
//
// Only the admitted incarnation of a host is granted a lease. Another incarnation is
// admitted once no lease of the former one can be valid. So two processes that
// announce the same host never hold valid leases at the same time.
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

// lossWindow is the time for which losses of a host are counted.
const lossWindow = time.Hour

// Daemon is what the leader knows about the daemon of one host.
type Daemon struct {
	Role host.Role
	// Info is the host information of the admitted incarnation.
	Info host.Info
	// Renewed is true if this leader has received a renewal of the admitted incarnation. It
	// remains true when the lease ends.
	Renewed bool
	// Stopping is true if the daemon announced its planned stop.
	Stopping bool
	// Alive is true while the daemon's lease may be valid.
	Alive bool
	// AliveChangedAt is when Alive last changed.
	AliveChangedAt time.Time
	// LastLost is when the daemon's lease last expired; zero if it never did.
	LastLost time.Time
	// EngineHealthy, Held, Revision and Demand are those of the last renewal. Held and
	// Demand are cleared when the lease ends.
	EngineHealthy bool
	// EngineHealthChangedAt is when EngineHealthy last changed.
	EngineHealthChangedAt time.Time
	Held                  []message.HeldReplica
	Revision              view.Revision
	Demand                map[string]float64

	// lastGrant is when a lease was last granted, or when this leader admitted the incarnation
	// if that is later.
	lastGrant time.Time
	// released is true if no lease can be valid: none was granted yet, or the daemon has given
	// its lease up.
	released bool
	losses   []time.Time
	// candidate is the incarnation that waits to be admitted, or nil.
	candidate *candidate
	// grantsStopped is true if the host is about to be dropped and gets no more grants.
	grantsStopped bool
}

// candidate is an incarnation that waits to be admitted.
type candidate struct {
	role host.Role
	info host.Info
}

// Losses returns how often the daemon's lease expired in the hour before now.
func (d *Daemon) Losses(now time.Time) int {
	n := 0
	for _, lost := range d.losses {
		if now.Sub(lost) < lossWindow {
			n++
		}
	}
	return n
}

// Holds reports whether the daemon's last renewal lists the replica under the same fence.
func (d *Daemon) Holds(h message.HeldReplica) bool {
	return slices.ContainsFunc(d.Held, func(held message.HeldReplica) bool {
		return held.Replica == h.Replica && held.Fence == h.Fence
	})
}

// Table holds the daemons. Create it with New.
type Table struct {
	ttl       time.Duration
	startedAt time.Time
	daemons   map[host.ID]*Daemon
}

// New returns the table of a leader whose term began at now and that grants leases of
// length ttl.
func New(now time.Time, ttl time.Duration) *Table {
	return &Table{ttl: ttl, startedAt: now, daemons: map[host.ID]*Daemon{}}
}

// RecordAdmitted records that the replicated state contains an incarnation as the one
// that may hold its host's lease.
func (t *Table) RecordAdmitted(now time.Time, role host.Role, info host.Info) {
	d, known := t.daemons[info.ID]
	if !known {
		d = &Daemon{Alive: true, AliveChangedAt: t.startedAt}
		t.daemons[info.ID] = d
	}
	if d.Info.Incarnation == info.Incarnation {
		return
	}
	if known {
		d.markAlive(now)
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
// replicated state. The host has to announce itself again after Forget.
func (t *Table) StopGrants(id host.ID) {
	if d := t.daemons[id]; d != nil {
		d.grantsStopped = true
	}
}

// Forget drops a host that is no longer in the replicated state.
func (t *Table) Forget(id host.ID) { delete(t.daemons, id) }

// Announce records an incarnation that opened a session. If it is not the admitted one,
// it becomes the host's candidate in place of an earlier one. While there is a candidate,
// the admitted incarnation is granted no lease.
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

// SessionEnded records that the session of an incarnation has ended. If it is the
// candidate, it no longer waits to be admitted.
func (t *Table) SessionEnded(id host.ID, incarnation host.Incarnation) {
	d := t.daemons[id]
	if d != nil && d.candidate != nil && d.candidate.info.Incarnation == incarnation {
		d.candidate = nil
	}
}

// Admissible returns the candidates that may be admitted at now.
func (t *Table) Admissible(now time.Time) []Candidate {
	var all []Candidate
	for _, id := range t.hostIDs() {
		d := t.daemons[id]
		if d.candidate != nil && !d.grantsStopped && !now.Before(t.reclaimableAt(d)) {
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

// Renew records a renewal and reports whether the lease may be extended. The caller
// sends a grant only if it returns true.
func (t *Table) Renew(now time.Time, r message.Renewal) bool {
	d := t.daemons[r.Host]
	if d == nil || !d.isAdmitted(r.Incarnation) || d.candidate != nil || d.released || d.grantsStopped {
		return false
	}
	d.lastGrant = now
	d.Renewed = true
	d.Stopping = d.Stopping || r.Stopping
	if d.EngineHealthy != r.EngineHealthy {
		d.EngineHealthy = r.EngineHealthy
		d.EngineHealthChangedAt = now
	}
	d.Held = r.Held
	d.Revision = r.Revision
	d.Demand = r.Demand
	d.markAlive(now)
	return true
}

// Goodbye records that an incarnation stops: at once, or with draining after its
// running requests have ended.
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

// ExpireLeases marks the daemons whose leases have expired by now as lost and returns
// their hosts.
func (t *Table) ExpireLeases(now time.Time) []host.ID {
	var lost []host.ID
	for _, id := range t.hostIDs() {
		d := t.daemons[id]
		if !d.Alive || now.Before(t.reclaimableAt(d)) {
			continue
		}
		d.markLost(now)
		lost = append(lost, id)
	}
	return lost
}

// ReclaimableAt returns the time from which no lease of the host's admitted
// incarnation can be valid.
func (t *Table) ReclaimableAt(id host.ID) time.Time {
	d := t.daemons[id]
	if d == nil {
		return t.startedAt.Add(lease.GrantorDuration(t.ttl))
	}
	return t.reclaimableAt(d)
}

func (t *Table) reclaimableAt(d *Daemon) time.Time {
	if d.released {
		return time.Time{}
	}
	last := d.lastGrant
	if last.Before(t.startedAt) {
		last = t.startedAt
	}
	return last.Add(lease.GrantorDuration(t.ttl))
}

// FormerLeasesEndAt returns when every lease of the former leader has expired.
func (t *Table) FormerLeasesEndAt() time.Time { return t.startedAt.Add(lease.GrantorDuration(t.ttl)) }

// Daemon returns what is known about a host's daemon, or nil. The caller must not
// change it.
func (t *Table) Daemon(id host.ID) *Daemon { return t.daemons[id] }

// Daemons returns all daemons that have been admitted, in the order of their hosts.
func (t *Table) Daemons() []*Daemon {
	all := make([]*Daemon, 0, len(t.daemons))
	for _, id := range t.hostIDs() {
		if d := t.daemons[id]; d.Info.ID != "" {
			all = append(all, d)
		}
	}
	return all
}

func (t *Table) hostIDs() []host.ID { return slices.Sorted(maps.Keys(t.daemons)) }

func (d *Daemon) isAdmitted(i host.Incarnation) bool {
	return d.Info.ID != "" && d.Info.Incarnation == i
}

func (d *Daemon) markAlive(now time.Time) {
	d.released = false
	if !d.Alive {
		d.Alive = true
		d.AliveChangedAt = now
	}
}

func (d *Daemon) markLost(now time.Time) {
	d.Alive = false
	d.AliveChangedAt = now
	d.LastLost = now
	d.Held = nil
	d.Demand = nil
	d.losses = slices.DeleteFunc(d.losses, func(lost time.Time) bool { return now.Sub(lost) >= lossWindow })
	d.losses = append(d.losses, now)
}
