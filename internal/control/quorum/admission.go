package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// founder returns the only host that may found the log.
func (m *Machine) founder() host.ID {
	if len(m.peers) == 0 || m.self < m.peers[0] {
		return m.self
	}
	return m.peers[0]
}

// join asks all peers to take this disk in. A fresh founder asks for promises.
func (m *Machine) join(now time.Time) {
	if now.Before(m.joinDue) {
		return
	}
	m.joinDue = now.Add(m.timing.Heartbeat)
	for _, p := range m.peers {
		m.sendDurable(m.message(p, 0, Join{
			Fresh: m.fresh(), Challenge: m.hard.Challenge, Echo: m.challenges[p],
		}))
	}
	m.found(now)
}

func (m *Machine) receiveJoin(now time.Time, msg Message, body Join) {
	m.challenges[msg.From] = body.Challenge
	switch {
	case m.listsFounder(msg):
		m.admitFounder(msg, body)
	case m.role == RoleLeader:
		m.greet(now, msg)
	case m.fresh() && body.Fresh && msg.From == m.founder():
		m.promise(msg, body.Echo)
	}
}

// admitFounder shows a host the founding that lists its disk.
func (m *Machine) admitFounder(msg Message, body Join) {
	membership := m.log.membership()
	m.sendDurable(m.to(msg, Admit{
		Founder: membership.Founder, Founding: membership.Founding, Echo: body.Challenge,
	}))
}

// promise gives a fresh founder this disk's word, if it has seen the latest
// challenge and so is not a disk that was lost before the last promise.
func (m *Machine) promise(msg Message, echo Generation) {
	if m.hard.Promise != msg.Generation {
		if echo != m.hard.Challenge {
			return
		}
		m.hard.Promise = msg.Generation
		m.hard.Challenge = m.hard.Challenge.successor()
	}
	m.sendDurable(m.to(msg, Promise{Founder: msg.Generation}))
}

// listsFounder reports whether the sender's disk took part in the founding and has
// not been replaced since.
func (m *Machine) listsFounder(msg Message) bool {
	membership := m.log.membership()
	return membership != nil &&
		membership.Founding[msg.From] == msg.Generation &&
		membership.Current[msg.From] == msg.Generation
}

// greet has a leader answer a host that does not follow it. A disk that the log
// does not name is sent a heartbeat, and its reply shows that it lives now.
func (m *Machine) greet(now time.Time, msg Message) {
	if p := m.progress[msg.From]; p != nil && p.generation != msg.Generation {
		m.send(m.to(msg, Heartbeat{Sent: m.stamp(now)}))
	}
}

// readmit replaces the lost disk of a peer in the membership, once the new disk has
// answered a heartbeat sent at sent. The entry commits without the peer, since a
// disk that is not admitted is not counted. A disk whose host still answers is not
// replaced by another that claims its name.
func (m *Machine) readmit(now time.Time, msg Message, sent Stamp) {
	p := m.progress[msg.From]
	recent := sent > 0 && now.Sub(m.unstamp(sent)) < m.timing.Election
	alive := p.admitted && now.Sub(p.heard) < m.timing.Election
	if !recent || alive || m.commit < m.termStart || m.log.changing(m.commit) {
		return
	}
	next := m.log.membership().With(msg.From, msg.Generation)
	m.appendOwn(Entry{Kind: EntryMembership, Membership: &next})
	p.replace(msg.Generation, 1)
	m.sendAll(now)
}

func (m *Machine) receivePromise(now time.Time, msg Message, body Promise) {
	if !m.fresh() || m.self != m.founder() || body.Founder != m.hard.Generation {
		return
	}
	m.promises[msg.From] = msg.Generation
	m.found(now)
}

// found writes the first entry and leads term 1, once every host has promised to
// follow this disk.
func (m *Machine) found(now time.Time) {
	if !m.fresh() || m.self != m.founder() || len(m.promises) < len(m.peers) {
		return
	}
	founding := maps.Clone(m.promises)
	founding[m.self] = m.hard.Generation
	membership := Membership{Founder: m.hard.Generation, Founding: founding, Current: founding}
	m.hard.Term, m.hard.Vote = foundingTerm, m.self
	m.takeIn([]Entry{foundingEntry(membership)})
	m.takeOffice(now)
	m.termStart = m.log.last()
	m.sendAll(now)
}

// foundingTerm belongs to the founder; elections begin behind it.
const foundingTerm Term = 1

// receiveAdmit takes the first entry in from any host that holds it. A host whose
// disk was there at the founding has lost nothing, so it may vote even where it
// lags. The sender holds this founding and so has promised no later founder.
func (m *Machine) receiveAdmit(msg Message, body Admit) {
	listed := body.Founding[m.self] == m.hard.Generation
	if !m.fresh() || !listed || !msg.Admitted || body.Echo != m.hard.Challenge {
		return
	}
	if !m.sameHosts(body.Founding) {
		return
	}
	m.hard.Promise = body.Founder
	if m.hard.Term < foundingTerm {
		m.hard.Term, m.hard.Vote = foundingTerm, m.founder()
	}
	m.takeIn([]Entry{foundingEntry(Membership{
		Founder: body.Founder, Founding: body.Founding, Current: body.Founding,
	})})
}

func foundingEntry(membership Membership) Entry {
	return Entry{Index: 1, Term: foundingTerm, Kind: EntryMembership, Membership: &membership}
}

// sameHosts reports whether a founding has the hosts of this one's settings. With
// other hosts, what one host takes for a majority need not meet another's.
func (m *Machine) sameHosts(founding map[host.ID]Generation) bool {
	same := len(founding) == len(m.peers)+1 && founding[m.self] != 0
	for _, id := range m.peers {
		same = same && founding[id] != 0
	}
	if !same {
		m.emit(HostsDiffer{Founding: slices.Sorted(maps.Keys(founding))})
	}
	return same
}

// mayAppend reports whether entries may be taken in as far as the founding goes: a
// disk that founds the log follows no founder but the one it has promised.
func (m *Machine) mayAppend(entries []Entry) bool {
	if m.log.last() > 0 || len(entries) == 0 || entries[0].Membership == nil {
		return true
	}
	membership := *entries[0].Membership
	if !m.sameHosts(membership.Founding) {
		return false
	}
	return membership.Founding[m.self] != m.hard.Generation || m.hard.Promise == membership.Founder
}

// observe takes note of the memberships in entries that were just appended.
func (m *Machine) observe(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryMembership || e.Membership == nil {
			continue
		}
		founding := e.Index == 1 && e.Membership.Founding[m.self] == m.hard.Generation
		listed := e.Membership.Current[m.self] == m.hard.Generation
		switch {
		case m.hard.Admitted && !listed:
			m.expel()
		case !m.hard.Admitted && listed && founding:
			m.admit()
		}
	}
}

// expel takes note that the log names another disk for this host. The disk starts
// over under a new generation, so that an entry which lists the old one never
// admits it.
func (m *Machine) expel() {
	m.emit(Expelled{Generation: m.hard.Generation})
	m.hard.Admitted = false
	m.hard.Generation = m.hard.Generation.successor()
}

// successor derives a new generation by one step of SplitMix64.
func (g Generation) successor() Generation {
	z := uint64(g) + 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return Generation(z ^ (z >> 31))
}
