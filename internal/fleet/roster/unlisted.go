package roster

import (
	"cmp"
	"slices"
	"time"
)

// maxUnlisted bounds the announcements that an Unlisted holds. Beyond it no others are added until some are forgotten.
const maxUnlisted = maxEntries

// Unlisted holds the announcements of services that the configuration does not list. Such a service may be listed later, or be one of another
// system, whose endpoint may name any ID and address. So an announcement here is compared with others of its ID and service only, and
// takes neither an ID nor an address from an endpoint of a Roster. The zero value is empty. It is not safe for concurrent use.
type Unlisted struct {
	entries map[unlistedKey]UnlistedEntry
}

// unlistedKey names those announcements that replace each other.
type unlistedKey struct{ id, service string }

// UnlistedEntry is the latest announcement of an ID and service.
type UnlistedEntry struct {
	Entry
	// Direct is true if the endpoint sent it to this host.
	Direct bool
}

// Announce records an announcement that arrived at seenAt. It reports whether it is the first of an incarnation.
func (u *Unlisted) Announce(e Endpoint, seenAt time.Time, direct bool) bool {
	key := unlistedKey{e.ID, e.Service}
	old, known := u.entries[key]
	if known && !e.Supersedes(old.Endpoint) {
		return false
	}
	if !known && len(u.entries) >= maxUnlisted {
		return false
	}
	if u.entries == nil {
		u.entries = map[unlistedKey]UnlistedEntry{}
	}
	u.entries[key] = UnlistedEntry{Entry: Entry{Endpoint: e, LastSeen: seenAt}, Direct: direct}
	return !known || old.StartedMs != e.StartedMs
}

// SignOff records that an endpoint has signed off, which names no service.
func (u *Unlisted) SignOff(e Endpoint, seenAt time.Time) {
	for key, old := range u.entries {
		if key.id == e.ID && e.Supersedes(old.Endpoint) {
			old.Endpoint, old.LastSeen = old.withSignOff(e), seenAt
			u.entries[key] = old
		}
	}
}

// Take removes the announcements of the services that are listed by now. It returns them in the order in which the incarnations started.
func (u *Unlisted) Take(listed func(service string) bool) []UnlistedEntry {
	var taken []UnlistedEntry
	for key, e := range u.entries {
		if listed(key.service) {
			taken = append(taken, e)
			delete(u.entries, key)
		}
	}
	slices.SortFunc(taken, compareUnlisted)
	return taken
}

func compareUnlisted(a, b UnlistedEntry) int {
	return cmp.Or(cmp.Compare(a.StartedMs, b.StartedMs), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Service, b.Service))
}

// All returns all announcements, in no order.
func (u *Unlisted) All() []UnlistedEntry {
	all := make([]UnlistedEntry, 0, len(u.entries))
	for _, e := range u.entries {
		all = append(all, e)
	}
	return all
}

// Forget drops the announcements that arrived longer than maxAge ago.
func (u *Unlisted) Forget(now time.Time, maxAge time.Duration) {
	for key, e := range u.entries {
		if now.Sub(e.LastSeen) > maxAge {
			delete(u.entries, key)
		}
	}
}

// Len returns the number of announcements.
func (u *Unlisted) Len() int { return len(u.entries) }
