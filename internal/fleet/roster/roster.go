// Package roster keeps what endpoints announce of themselves.
//
// An endpoint's life begins with its start. Announcements may arrive late, twice, by
// several ways and after the endpoint's end; of each life the highest sequence number
// counts, of each ID and of each address the latest life.
package roster

import (
	"slices"
	"time"
)

// tombstoneTime is how long an endpoint that left is remembered, so that a late
// announcement of its life does not bring it back.
const tombstoneTime = 2 * time.Minute

// State is what an endpoint says about new work.
type State uint8

// The states of an endpoint.
const (
	StateReady State = iota
	// StateDraining takes no new work.
	StateDraining
	// StateLeft has signed off.
	StateLeft
)

// MemberState is where a member stands in its replica.
type MemberState uint8

// The states of a member.
const (
	MemberUnknown MemberState = iota
	// MemberJoining loads the model.
	MemberJoining
	// MemberReady holds the model.
	MemberReady
	// MemberOpen is a head that serves.
	MemberOpen
	// MemberClosing is a head that finishes what it has.
	MemberClosing
	// MemberBroken is a head that lost a member.
	MemberBroken
)

// Membership is an endpoint's place in a replica.
type Membership struct {
	Replica string `cbor:"1,keyasint"`
	// Epoch orders the replicas of an endpoint's life; higher is later.
	Epoch uint64 `cbor:"2,keyasint"`
	// Rank is the place in the list of members; the head's is 0.
	Rank  int         `cbor:"3,keyasint"`
	State MemberState `cbor:"4,keyasint"`
}

// Endpoint is what an endpoint has announced of itself.
type Endpoint struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Address is an IP address and TCP port.
	Address string `cbor:"3,keyasint"`
	// FailureDomain is the failure domain, and Fabric the fabric domain, if it has one.
	FailureDomain string `cbor:"4,keyasint"`
	Fabric        string `cbor:"5,keyasint,omitempty"`
	Slots         int    `cbor:"6,keyasint"`
	State         State  `cbor:"7,keyasint,omitempty"`
	// StartedMs is when the life began, in milliseconds of the Unix clock.
	StartedMs int64 `cbor:"8,keyasint"`
	// Sequence rises with each announcement of a life.
	Sequence uint64 `cbor:"9,keyasint"`
	// Engine says that the endpoint is a model engine.
	Engine bool `cbor:"10,keyasint,omitempty"`
	// Model is the model that the engine holds, empty if none.
	Model string `cbor:"11,keyasint,omitempty"`
	// Staged are the models on the engine's host.
	Staged []string `cbor:"12,keyasint,omitempty"`
	// Member is nil outside any replica.
	Member *Membership `cbor:"13,keyasint,omitempty"`
}

// Incarnation is one life of an endpoint: its ID and when it was born.
type Incarnation struct {
	ID        string
	StartedMs int64
}

// Incarnation returns the life that announced e.
func (e Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, StartedMs: e.StartedMs} }

// IsServingHead reports whether the endpoint is the serving head of a replica.
func (e Endpoint) IsServingHead() bool {
	return e.Member != nil && e.Member.Rank == 0 && e.Member.State == MemberOpen
}

// later reports whether e says something newer than old, both of one ID.
func (e Endpoint) later(old Endpoint) bool {
	if e.State == StateLeft && e.StartedMs == 0 {
		return old.State != StateLeft // A sign-off that names no life is of the current one.
	}
	if e.StartedMs != old.StartedMs {
		return e.StartedMs > old.StartedMs
	}
	if old.State == StateLeft {
		return false
	}
	return e.State == StateLeft || e.Sequence > old.Sequence
}

// Entry is an endpoint and when it was last heard of.
type Entry struct {
	Endpoint
	// LastSeen is when the last announcement was taken in, by the local clock.
	LastSeen time.Time
	// Unchanged says that the last announcement told nothing new.
	Unchanged bool
}

// Roster is the set of known endpoints. The zero value is empty. It is not safe for
// concurrent use.
type Roster struct {
	entries map[string]Entry
	// ids are the IDs of the entries, in order.
	ids []string
	// addresses names the endpoint with the latest life at each address.
	addresses map[string]string
}

// Change says what an announcement changed.
type Change uint8

// The changes that an announcement makes.
const (
	// ChangeNone is a stale announcement.
	ChangeNone Change = iota
	// ChangeLiveness shows that the endpoint lives, and nothing else.
	ChangeLiveness
	// ChangeContent says something new.
	ChangeContent
)

// Announce takes in an announcement that was heard at a time.
func (r *Roster) Announce(e Endpoint, heard time.Time) Change {
	if r.entries == nil {
		r.entries, r.addresses = map[string]Entry{}, map[string]string{}
	}
	old, known := r.entries[e.ID]
	if known && !e.later(old.Endpoint) {
		return ChangeNone
	}
	if e.Address == "" {
		e = old.withState(e)
	}
	if !r.claim(e) {
		return ChangeNone
	}
	if at, there := slices.BinarySearch(r.ids, e.ID); !there {
		r.ids = slices.Insert(r.ids, at, e.ID)
	}
	quiet := known && same(old.Endpoint, e)
	r.entries[e.ID] = Entry{Endpoint: e, LastSeen: heard, Unchanged: quiet}
	if quiet {
		return ChangeLiveness
	}
	return ChangeContent
}

// withState returns e with the life, sequence and state of a sign-off that names no more.
func (e Endpoint) withState(off Endpoint) Endpoint {
	if off.StartedMs != 0 {
		e.StartedMs = off.StartedMs
	}
	e.ID, e.State, e.Sequence = off.ID, off.State, max(e.Sequence, off.Sequence)
	return e
}

// claim gives e its address, unless a later life has it. The earlier holder is gone.
func (r *Roster) claim(e Endpoint) bool {
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

// same reports whether two announcements say the same but for their numbers.
func same(a, b Endpoint) bool {
	if a.StartedMs != b.StartedMs || a.Service != b.Service || a.Address != b.Address || a.State != b.State ||
		a.Model != b.Model || a.Slots != b.Slots || a.FailureDomain != b.FailureDomain || a.Fabric != b.Fabric {
		return false
	}
	if (a.Member == nil) != (b.Member == nil) || a.Member != nil && *a.Member != *b.Member {
		return false
	}
	return slices.Equal(a.Staged, b.Staged)
}

// Get returns the endpoint of that ID.
func (r *Roster) Get(id string) (Entry, bool) {
	e, ok := r.entries[id]
	return e, ok
}

// All returns every entry, those that left included, by ID.
func (r *Roster) All() []Entry {
	all := make([]Entry, 0, len(r.ids))
	for _, id := range r.ids {
		all = append(all, r.entries[id])
	}
	return all
}

// Forget drops endpoints that left long before now, and those that have been silent
// for longer than silence. It returns their IDs.
func (r *Roster) Forget(now time.Time, silence time.Duration) []string {
	var gone []string
	for id, e := range r.entries {
		quiet := now.Sub(e.LastSeen)
		if e.State == StateLeft && quiet > tombstoneTime || quiet > silence+tombstoneTime {
			gone = append(gone, id)
			delete(r.entries, id)
			if r.addresses[e.Address] == id {
				delete(r.addresses, e.Address)
			}
		}
	}
	if len(gone) > 0 {
		r.ids = slices.DeleteFunc(r.ids, func(id string) bool { return slices.Contains(gone, id) })
	}
	return gone
}
