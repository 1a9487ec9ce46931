// Package roster keeps the latest announcement of each endpoint.
//
// An incarnation is one run of an endpoint process, from its start on. Announcements may arrive
// late, more than once, over several paths and after the incarnation's end. Of each incarnation
// the announcement with the highest sequence number counts, and of each ID and of each address
// the latest incarnation.
package roster

import (
	"slices"
	"time"
)

// tombstoneTTL is how long an endpoint that left is remembered, so that a late announcement of
// the same incarnation does not bring it back.
const tombstoneTTL = 2 * time.Minute

// maxEntries bounds the endpoints that are remembered. Beyond it those that left long ago are dropped first, and no
// others are added if none has left.
const maxEntries = 8192

// State is an endpoint's readiness for new work.
type State uint8

// The states of an endpoint.
const (
	StateReady State = iota
	// StateDraining accepts no new work.
	StateDraining
	// StateLeft has announced that it leaves, or another endpoint has taken over its address.
	StateLeft
)

// MemberState is the state of a member in its replica.
type MemberState uint8

// The states of a member.
const (
	MemberUnknown MemberState = iota
	// MemberJoining is loading the model.
	MemberJoining
	// MemberReady has loaded the model.
	MemberReady
	// MemberOpen is a head that serves requests.
	MemberOpen
	// MemberClosing is a head that finishes its running requests.
	MemberClosing
	// MemberBroken is a head that has lost a member.
	MemberBroken
)

// Membership is an endpoint's role in a replica.
type Membership struct {
	Replica string `cbor:"1,keyasint"`
	// Epoch orders the replicas of an incarnation. A higher epoch is later.
	Epoch uint64 `cbor:"2,keyasint"`
	// Rank is the index in the list of members. The head has rank 0.
	Rank  int         `cbor:"3,keyasint"`
	State MemberState `cbor:"4,keyasint"`
}

// Endpoint is the state that an endpoint has announced.
type Endpoint struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Address is an IP address and TCP port.
	Address string `cbor:"3,keyasint"`
	// FailureDomain is the endpoint's failure domain. Fabric is its fabric domain, or "" if it has
	// none.
	FailureDomain string `cbor:"4,keyasint"`
	Fabric        string `cbor:"5,keyasint,omitempty"`
	Slots         int    `cbor:"6,keyasint"`
	State         State  `cbor:"7,keyasint,omitempty"`
	// StartedMs is when the incarnation started, in milliseconds since the Unix epoch.
	StartedMs int64 `cbor:"8,keyasint"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `cbor:"9,keyasint"`
	// Engine is true for a model engine.
	Engine bool `cbor:"10,keyasint,omitempty"`
	// Model is the model that the engine has loaded, or "" for none.
	Model string `cbor:"11,keyasint,omitempty"`
	// Staged are the models that are stored on the engine's host.
	Staged []string `cbor:"12,keyasint,omitempty"`
	// Member is nil if the endpoint is in no replica.
	Member *Membership `cbor:"13,keyasint,omitempty"`
	// ColdMs is how much longer the endpoint stays cold, as announced, in milliseconds.
	ColdMs int64 `cbor:"14,keyasint,omitempty"`
}

// Incarnation identifies one run of an endpoint process.
type Incarnation struct {
	ID        string
	StartedMs int64
}

// Incarnation returns the incarnation that announced e.
func (e Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, StartedMs: e.StartedMs} }

// IsServingHead reports whether the endpoint is the head of a replica and serves requests.
func (e Endpoint) IsServingHead() bool {
	return e.Member != nil && e.Member.Rank == 0 && e.Member.State == MemberOpen
}

// Supersedes reports whether e is newer than old, the last announcement of the same ID.
func (e Endpoint) Supersedes(old Endpoint) bool {
	if e.State == StateLeft && e.StartedMs == 0 {
		return old.State != StateLeft // A sign-off without a start time belongs to the current incarnation.
	}
	if e.StartedMs != old.StartedMs {
		return e.StartedMs > old.StartedMs
	}
	if old.State == StateLeft {
		return false
	}
	return e.State == StateLeft || e.Sequence > old.Sequence
}

// Entry is an endpoint with the time of its last announcement.
type Entry struct {
	Endpoint
	// LastSeen is the local time at which the last announcement arrived.
	LastSeen time.Time
	// Unchanged is true if the last announcement had no new content.
	Unchanged bool
	// LastReady is the sequence of the incarnation's last announcement with StateReady, 0 if there is none.
	LastReady uint64
}

// Roster is the set of known endpoints. The zero value is empty. It is not safe for
// concurrent use.
type Roster struct {
	entries map[string]Entry
	// ids are the IDs of the entries in ascending order.
	ids []string
	// addresses maps each address to the ID of the endpoint with the latest incarnation there.
	addresses map[string]string
}

// Change is the effect of an announcement.
type Change uint8

// The effects of an announcement.
const (
	// ChangeNone means that the announcement is outdated and was ignored.
	ChangeNone Change = iota
	// ChangeLiveness means that it only shows that the endpoint is alive.
	ChangeLiveness
	// ChangeContent means that it has new content.
	ChangeContent
)

// Announce records an announcement that arrived at seenAt.
func (r *Roster) Announce(e Endpoint, seenAt time.Time) Change {
	if r.entries == nil {
		r.entries, r.addresses = map[string]Entry{}, map[string]string{}
	}
	old, known := r.entries[e.ID]
	if known && !e.Supersedes(old.Endpoint) {
		return ChangeNone
	}
	if e.Address == "" {
		e = old.withSignOff(e)
	}
	if !known && !r.makeRoom() || !r.claimAddress(e) {
		return ChangeNone
	}
	if at, found := slices.BinarySearch(r.ids, e.ID); !found {
		r.ids = slices.Insert(r.ids, at, e.ID)
	}
	unchanged := known && equalContent(old.Endpoint, e) && !isColder(old, e, seenAt)
	r.entries[e.ID] = Entry{Endpoint: e, LastSeen: seenAt, Unchanged: unchanged, LastReady: lastReady(old, e)}
	if unchanged {
		return ChangeLiveness
	}
	return ChangeContent
}

// lastReady returns Entry.LastReady after an announcement that supersedes old.
func lastReady(old Entry, e Endpoint) uint64 {
	switch {
	case e.State == StateReady:
		return e.Sequence
	case e.StartedMs == old.StartedMs:
		return old.LastReady
	default:
		return 0
	}
}

// makeRoom reports whether there is room for one more entry. If not it drops the endpoint that left first.
func (r *Roster) makeRoom() bool {
	if len(r.entries) < maxEntries {
		return true
	}
	oldest := Entry{}
	for _, e := range r.entries {
		if e.State == StateLeft && (oldest.ID == "" || e.LastSeen.Before(oldest.LastSeen)) {
			oldest = e
		}
	}
	if oldest.ID == "" {
		return false
	}
	r.remove(oldest.Endpoint)
	at, _ := slices.BinarySearch(r.ids, oldest.ID)
	r.ids = slices.Delete(r.ids, at, at+1)
	return true
}

// remove drops an entry, but not its place in ids.
func (r *Roster) remove(e Endpoint) {
	delete(r.entries, e.ID)
	if r.addresses[e.Address] == e.ID {
		delete(r.addresses, e.Address)
	}
}

// withSignOff returns e with the incarnation, sequence and state of a sign-off, which may have no
// other fields.
func (e Endpoint) withSignOff(signOff Endpoint) Endpoint {
	if signOff.StartedMs != 0 {
		e.StartedMs = signOff.StartedMs
	}
	e.ID, e.State, e.Sequence = signOff.ID, signOff.State, max(e.Sequence, signOff.Sequence)
	return e
}

// claimAddress assigns e's address to e and marks the endpoint that had it before as left. It
// reports false if that endpoint has a later incarnation.
func (r *Roster) claimAddress(e Endpoint) bool {
	if e.Address == "" {
		return true
	}
	holder, taken := r.entries[r.addresses[e.Address]]
	if taken && holder.ID != e.ID {
		if holder.StartedMs > e.StartedMs {
			return false
		}
		if holder.State != StateLeft {
			holder.State = StateLeft
			r.entries[holder.ID] = holder
		}
	}
	r.addresses[e.Address] = e.ID
	return true
}

// equalContent reports whether two announcements have the same content, apart from their sequence
// numbers.
func equalContent(a, b Endpoint) bool {
	if a.StartedMs != b.StartedMs || a.Service != b.Service || a.Address != b.Address || a.State != b.State ||
		a.Model != b.Model || a.Slots != b.Slots || a.FailureDomain != b.FailureDomain || a.Fabric != b.Fabric {
		return false
	}
	if (a.Member == nil) != (b.Member == nil) || a.Member != nil && *a.Member != *b.Member {
		return false
	}
	return slices.Equal(a.Staged, b.Staged)
}

// coldTolerance is by how much an endpoint's announced cold time may exceed what is left of the one before without being
// a new one. Announcements are forwarded with a delay.
const coldTolerance = 500 * time.Millisecond

// isColder reports whether an announcement that arrived at seenAt says that the endpoint stays cold for longer than the one before it
// said.
func isColder(old Entry, e Endpoint, seenAt time.Time) bool {
	if e.ColdMs == 0 {
		return false
	}
	left := max(0, time.Duration(old.ColdMs)*time.Millisecond-seenAt.Sub(old.LastSeen))
	return time.Duration(e.ColdMs)*time.Millisecond > left+coldTolerance
}

// Get returns the entry with an ID.
func (r *Roster) Get(id string) (Entry, bool) {
	e, ok := r.entries[id]
	return e, ok
}

// Continues reports whether an announcement is one of an incarnation that is known, with the service and the address that it had.
func (r *Roster) Continues(e Endpoint) bool {
	known, found := r.entries[e.ID]
	return found && known.StartedMs == e.StartedMs && known.Service == e.Service && known.Address == e.Address
}

// Contradicts reports whether an announcement can't be of the incarnation that it names, since what an endpoint can't change while it runs
// differs from what is known.
func (r *Roster) Contradicts(e Endpoint) bool {
	known, found := r.entries[e.ID]
	if !found || known.StartedMs != e.StartedMs || known.Address == "" || e.Address == "" {
		return false
	}
	return known.Service != e.Service || known.Address != e.Address || known.FailureDomain != e.FailureDomain || known.Engine != e.Engine
}

// At returns the entry of the latest incarnation at an address.
func (r *Roster) At(address string) (Entry, bool) {
	e, ok := r.entries[r.addresses[address]]
	return e, ok
}

// All returns all entries by ID, including those that left.
func (r *Roster) All() []Entry {
	all := make([]Entry, 0, len(r.ids))
	for _, id := range r.ids {
		all = append(all, r.entries[id])
	}
	return all
}

// Forget drops endpoints that left more than tombstoneTTL ago, and those whose last announcement
// is older than maxAge and tombstoneTTL together. It returns their IDs.
func (r *Roster) Forget(now time.Time, maxAge time.Duration) []string {
	var removed []string
	for id, e := range r.entries {
		age := now.Sub(e.LastSeen)
		if e.State == StateLeft && age > tombstoneTTL || age > maxAge+tombstoneTTL {
			removed = append(removed, id)
			r.remove(e.Endpoint)
		}
	}
	if len(removed) > 0 {
		r.ids = slices.DeleteFunc(r.ids, func(id string) bool { return slices.Contains(removed, id) })
	}
	return removed
}
