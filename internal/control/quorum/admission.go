package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// bootstrapHost returns the host with the lowest ID, the only one that may bootstrap the log.
func (m *Node) bootstrapHost() host.ID {
	if len(m.peers) == 0 || m.self < m.peers[0] {
		return m.self
	}
	return m.peers[0]
}

// sendJoins asks all peers to admit this host's disk. If this host is the founder and its
// disk is fresh, the message asks them for promises instead.
func (m *Node) sendJoins(now time.Time) {
	if now.Before(m.joinDue) {
		return
	}
	m.joinDue = now.Add(m.timing.HeartbeatInterval)
	for _, p := range m.peers {
		m.sendDurable(m.newMessage(p, 0, Join{
			Fresh: m.fresh(), Challenge: m.hard.Challenge, Echo: m.challenges[p],
		}))
	}
	m.bootstrap(now)
}

func (m *Node) receiveJoin(now time.Time, msg Message, body Join) {
	m.challenges[msg.From] = body.Challenge
	switch {
	case m.isInitialDisk(msg):
		m.sendAdmit(msg, body)
	case m.role == RoleLeader:
		m.probeNewDisk(now, msg)
	case m.fresh() && body.Fresh && msg.From == m.bootstrapHost():
		m.sendPromise(msg, body.Echo)
	}
}

// sendAdmit answers a host whose disk took part in the founding with the founding membership.
func (m *Node) sendAdmit(msg Message, body Join) {
	membership := m.log.membership()
	m.sendDurable(m.reply(msg, Admit{
		BootstrapDisk: membership.BootstrapDisk, Initial: membership.Initial, Echo: body.Challenge,
	}))
}

// sendPromise promises a fresh founder to follow its disk and no other of the founder. For a
// new promise the founder must have echoed this host's latest challenge. That shows that its
// disk is not one that was lost before the last promise.
func (m *Node) sendPromise(msg Message, echo Generation) {
	if m.hard.Promise != msg.Generation {
		if echo != m.hard.Challenge {
			return
		}
		m.hard.Promise = msg.Generation
		m.hard.Challenge = m.hard.Challenge.successor()
	}
	m.sendDurable(m.reply(msg, Promise{BootstrapDisk: msg.Generation}))
}

// isInitialDisk reports whether the sender's disk took part in the founding and has not been
// replaced since.
func (m *Node) isInitialDisk(msg Message) bool {
	membership := m.log.membership()
	return membership != nil &&
		membership.Initial[msg.From] == msg.Generation &&
		membership.Current[msg.From] == msg.Generation
}

// probeNewDisk sends a heartbeat to the sender of msg if the leader's log names another disk
// for that host. The reply shows that the new disk is in use now.
func (m *Node) probeNewDisk(now time.Time, msg Message) {
	if p := m.progress[msg.From]; p != nil && p.generation != msg.Generation {
		m.send(m.reply(msg, Heartbeat{Sent: m.toLeaderTime(now)}))
	}
}

// replaceDisk replaces a peer's lost disk in the membership once the new disk has answered a
// heartbeat sent at sent. The entry commits without the peer's vote, because a disk that is
// not admitted is not counted. While the listed disk still answers, another disk that claims
// the same host ID does not replace it.
func (m *Node) replaceDisk(now time.Time, msg Message, sent LeaderTime) {
	p := m.progress[msg.From]
	recent := sent > 0 && now.Sub(m.fromLeaderTime(sent)) < m.timing.ElectionTimeout
	alive := p.admitted && now.Sub(p.lastReply) < m.timing.ElectionTimeout
	if !recent || alive || m.commit < m.termStart || m.log.hasMembershipAfter(m.commit) {
		return
	}
	next := m.log.membership().With(msg.From, msg.Generation)
	m.appendAsLeader(Entry{Kind: EntryMembership, Membership: &next})
	p.reset(msg.Generation, 1)
	m.sendEntriesToAll(now)
}

func (m *Node) receivePromise(now time.Time, msg Message, body Promise) {
	if !m.fresh() || m.self != m.bootstrapHost() || body.BootstrapDisk != m.hard.Generation {
		return
	}
	m.promises[msg.From] = msg.Generation
	m.bootstrap(now)
}

// bootstrap writes the first entry and becomes leader of term 1 once every other host has
// promised to follow this disk.
func (m *Node) bootstrap(now time.Time) {
	if !m.fresh() || m.self != m.bootstrapHost() || len(m.promises) < len(m.peers) {
		return
	}
	founding := maps.Clone(m.promises)
	founding[m.self] = m.hard.Generation
	membership := Membership{BootstrapDisk: m.hard.Generation, Initial: founding, Current: founding}
	m.hard.Term, m.hard.Vote = bootstrapTerm, m.self
	m.appendNew([]Entry{bootstrapEntry(membership)})
	m.startLeading(now)
	m.termStart = m.log.last()
	m.sendEntriesToAll(now)
}

// bootstrapTerm is the founder's term. Elections start with the term after it.
const bootstrapTerm Term = 1

// receiveAdmit accepts the first entry from any host that holds it. A host whose disk took
// part in the founding has lost nothing, so it may vote even while its log lags. The sender
// holds this founding and therefore has not promised to follow a later founder.
func (m *Node) receiveAdmit(msg Message, body Admit) {
	listed := body.Initial[m.self] == m.hard.Generation
	if !m.fresh() || !listed || !msg.Admitted || body.Echo != m.hard.Challenge {
		return
	}
	if !m.sameHosts(body.Initial) {
		return
	}
	m.hard.Promise = body.BootstrapDisk
	if m.hard.Term < bootstrapTerm {
		m.hard.Term, m.hard.Vote = bootstrapTerm, m.bootstrapHost()
	}
	m.appendNew([]Entry{bootstrapEntry(Membership{
		BootstrapDisk: body.BootstrapDisk, Initial: body.Initial, Current: body.Initial,
	})})
}

func bootstrapEntry(membership Membership) Entry {
	return Entry{Index: 1, Term: bootstrapTerm, Kind: EntryMembership, Membership: &membership}
}

// sameHosts reports whether a founding lists the hosts of this host's settings. If the sets
// differ, the majorities of two hosts need not overlap.
func (m *Node) sameHosts(founding map[host.ID]Generation) bool {
	same := len(founding) == len(m.peers)+1 && founding[m.self] != 0
	for _, id := range m.peers {
		same = same && founding[id] != 0
	}
	if !same {
		m.emit(HostsDiffer{InitialHosts: slices.Sorted(maps.Keys(founding))})
	}
	return same
}

// mayAppend reports whether the founding rules allow appending entries. A disk that takes
// part in the founding accepts the first entry only from the founder that it has promised
// to follow.
func (m *Node) mayAppend(entries []Entry) bool {
	if m.log.last() > 0 || len(entries) == 0 || entries[0].Membership == nil {
		return true
	}
	membership := *entries[0].Membership
	if !m.sameHosts(membership.Initial) {
		return false
	}
	return membership.Initial[m.self] != m.hard.Generation || m.hard.Promise == membership.BootstrapDisk
}

// observeMemberships admits or expels this disk according to the membership entries among
// entries, which were just appended.
func (m *Node) observeMemberships(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryMembership || e.Membership == nil {
			continue
		}
		founding := e.Index == 1 && e.Membership.Initial[m.self] == m.hard.Generation
		listed := e.Membership.Current[m.self] == m.hard.Generation
		switch {
		case m.hard.Admitted && !listed:
			m.expel()
		case !m.hard.Admitted && listed && founding:
			m.admit()
		}
	}
}

// expel handles a log that names another disk for this host. The disk continues under a new
// generation, so that an entry listing the old generation can never admit it again.
func (m *Node) expel() {
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
