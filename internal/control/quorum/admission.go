package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// bootstrapHost returns the host with the lowest ID, the only one that may bootstrap the log.
func (n *Node) bootstrapHost() host.ID {
	if len(n.peers) == 0 || n.self < n.peers[0] {
		return n.self
	}
	return n.peers[0]
}

// sendJoins asks all peers to admit this host's disk. From the bootstrap host with a fresh
// disk, the message asks for promises instead.
func (n *Node) sendJoins(now time.Time) {
	if now.Before(n.joinDue) {
		return
	}
	n.joinDue = now.Add(n.timing.HeartbeatInterval)
	for _, p := range n.peers {
		n.sendDurable(n.newMessage(p, 0, Join{
			Fresh: n.fresh(), Challenge: n.hard.Challenge, Echo: n.challenges[p],
		}))
	}
	n.bootstrap(now)
}

func (n *Node) receiveJoin(now time.Time, msg Message, body Join) {
	n.challenges[msg.From] = body.Challenge
	switch {
	case n.isInitialDisk(msg):
		n.sendAdmit(msg, body)
	case n.role == RoleLeader:
		n.probeNewDisk(now, msg)
	case n.fresh() && body.Fresh && msg.From == n.bootstrapHost():
		n.sendPromise(msg, body.Echo)
	}
}

// sendAdmit sends the initial membership to a host whose disk is listed in it.
func (n *Node) sendAdmit(msg Message, body Join) {
	membership := n.log.membership()
	n.sendDurable(n.reply(msg, Admit{
		BootstrapDisk: membership.BootstrapDisk, Initial: membership.Initial, Echo: body.Challenge,
	}))
}

// sendPromise promises the bootstrap host to follow its disk and no other disk of that host. For
// a new promise, the bootstrap host must have echoed this host's latest challenge. That shows
// that its disk is not one that was lost before the last promise.
func (n *Node) sendPromise(msg Message, echo Generation) {
	if n.hard.Promise != msg.Generation {
		if echo != n.hard.Challenge {
			return
		}
		n.hard.Promise = msg.Generation
		n.hard.Challenge = n.hard.Challenge.successor()
	}
	n.sendDurable(n.reply(msg, Promise{BootstrapDisk: msg.Generation}))
}

// isInitialDisk reports whether the sender's disk is listed in the initial membership and has
// not been replaced since.
func (n *Node) isInitialDisk(msg Message) bool {
	membership := n.log.membership()
	return membership != nil &&
		membership.Initial[msg.From] == msg.Generation &&
		membership.Current[msg.From] == msg.Generation
}

// probeNewDisk sends a heartbeat to the sender of msg if the leader's log names another disk
// for that host. The reply shows that the new disk is in use now.
func (n *Node) probeNewDisk(now time.Time, msg Message) {
	if p := n.progress[msg.From]; p != nil && p.generation != msg.Generation {
		n.send(n.reply(msg, Heartbeat{Sent: n.stamp(now)}))
	}
}

func (n *Node) receivePromise(now time.Time, msg Message, body Promise) {
	if !n.fresh() || n.self != n.bootstrapHost() || body.BootstrapDisk != n.hard.Generation {
		return
	}
	n.promises[msg.From] = msg.Generation
	n.bootstrap(now)
}

// bootstrap writes the first entry and becomes leader of term 1 once every other host has
// promised to follow this disk.
func (n *Node) bootstrap(now time.Time) {
	if !n.fresh() || n.self != n.bootstrapHost() || len(n.promises) < len(n.peers) {
		return
	}
	initial := maps.Clone(n.promises)
	initial[n.self] = n.hard.Generation
	membership := Membership{BootstrapDisk: n.hard.Generation, Initial: initial, Current: initial}
	n.hard.Term, n.hard.Vote = bootstrapTerm, n.self
	n.appendNew([]Entry{bootstrapEntry(membership)})
	n.startLeading(now)
	n.termStart = n.log.last()
	n.sendEntriesToAll(now)
}

// bootstrapTerm is the term in which the bootstrap host leads. Elections are for later terms.
const bootstrapTerm Term = 1

// receiveAdmit accepts the first entry from any host that holds it. A host whose disk is in the
// initial membership has lost nothing, so it may vote even while its log lags. The sender holds
// this membership and therefore has not promised to follow a later disk of the bootstrap host.
func (n *Node) receiveAdmit(msg Message, body Admit) {
	listed := body.Initial[n.self] == n.hard.Generation
	if !n.fresh() || !listed || !msg.Admitted || body.Echo != n.hard.Challenge {
		return
	}
	if !n.sameHosts(body.Initial) {
		return
	}
	n.hard.Promise = body.BootstrapDisk
	if n.hard.Term < bootstrapTerm {
		n.hard.Term, n.hard.Vote = bootstrapTerm, n.bootstrapHost()
	}
	n.appendNew([]Entry{bootstrapEntry(Membership{
		BootstrapDisk: body.BootstrapDisk, Initial: body.Initial, Current: body.Initial,
	})})
}

func bootstrapEntry(membership Membership) Entry {
	return Entry{Index: 1, Term: bootstrapTerm, Kind: EntryMembership, Membership: &membership}
}

// sameHosts reports whether an initial membership lists the same hosts as this host's settings.
// If the sets differ, the majorities of two hosts need not overlap.
func (n *Node) sameHosts(initial map[host.ID]Generation) bool {
	same := len(initial) == len(n.peers)+1 && initial[n.self] != 0
	for _, id := range n.peers {
		same = same && initial[id] != 0
	}
	if !same {
		n.emit(HostsDiffer{InitialHosts: slices.Sorted(maps.Keys(initial))})
	}
	return same
}

// mayAppend reports whether the rules of the bootstrap allow appending entries. A disk that is
// listed in the initial membership accepts the first entry only from the bootstrap disk that it
// has promised to follow.
func (n *Node) mayAppend(entries []Entry) bool {
	if n.log.last() > 0 || len(entries) == 0 || entries[0].Membership == nil {
		return true
	}
	membership := *entries[0].Membership
	if !n.sameHosts(membership.Initial) {
		return false
	}
	return membership.Initial[n.self] != n.hard.Generation || n.hard.Promise == membership.BootstrapDisk
}

// observeMemberships admits or expels this disk according to the membership entries among
// entries, which were just appended.
func (n *Node) observeMemberships(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryMembership || e.Membership == nil {
			continue
		}
		atBootstrap := e.Index == 1 && e.Membership.Initial[n.self] == n.hard.Generation
		listed := e.Membership.Current[n.self] == n.hard.Generation
		switch {
		case n.hard.Admitted && !listed:
			n.expel()
		case !n.hard.Admitted && listed && atBootstrap:
			n.admit()
		}
	}
}

// expel handles a log that names another disk for this host.
func (n *Node) expel() {
	n.emit(Expelled{Generation: n.hard.Generation})
	n.hard = n.hard.WithoutVote()
}

// successor derives a new generation by one step of SplitMix64.
func (g Generation) successor() Generation {
	z := uint64(g) + 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return Generation(z ^ (z >> 31))
}
