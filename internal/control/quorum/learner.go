package quorum

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// learner is a leader's state for a disk that answers for a peer whose listed disk does not. The
// leader sends it the log, and lists it in the membership once it holds the log. The log is sent
// in rounds (Ongaro 2014, section 4.2.1).
type learner struct {
	progress
	// since is when the disk answered first.
	since time.Time
	// goal is the last entry of the present round, which began at roundStart.
	goal       Index
	roundStart time.Time
}

// receiver returns the progress of the disk of a peer that gets the log: that of the learner if there
// is one, since the listed disk does not answer then. It is nil on a host that does not lead.
func (n *Node) receiver(id host.ID) *progress {
	if l := n.learners[id]; l != nil {
		return &l.progress
	}
	return n.progress[id]
}

// recordLearnerReply records that a disk that the log does not list has answered a heartbeat or an
// entry sent at sent, which shows that it is in use now. It returns the disk's progress, or nil if
// the disk may not take the place of the listed one: that one still answers, or another learner does.
func (n *Node) recordLearnerReply(now time.Time, msg Message, sent LeaderTime) *progress {
	recent := sent > 0 && now.Sub(n.sendTime(sent)) < n.timing.ElectionTimeout
	if !recent || n.answers(now, n.progress[msg.From]) {
		return nil
	}
	l := n.learners[msg.From]
	if l == nil {
		l = n.addLearner(now, msg)
	}
	if l.generation != msg.Generation {
		return nil
	}
	l.lastReply = now
	return &l.progress
}

// answers reports whether the listed disk of a peer has answered within an election timeout.
func (n *Node) answers(now time.Time, p *progress) bool {
	return p.admitted && now.Sub(p.lastReply) < n.timing.ElectionTimeout
}

// addLearner begins to send the log to the sender of msg, from the end of what its disk holds.
func (n *Node) addLearner(now time.Time, msg Message) *learner {
	l := &learner{progress: progress{generation: msg.Generation}, since: now, goal: n.log.last(), roundStart: now}
	l.becomeProbe(n.log.last() + 1)
	n.learners[msg.From] = l
	n.emit(LearnerAdded{Host: msg.From, Generation: msg.Generation})
	n.sendEntries(now, msg.From)
	return l
}

// nameLearner lists a learner's disk in the membership once it holds the log, and only right after
// it has answered. The entry commits without the peer's vote, because a disk that is not admitted is
// not counted.
func (n *Node) nameLearner(now time.Time, id host.ID) {
	l := n.learners[id]
	if l == nil || !n.caughtUp(now, l) || n.commit < n.termStart || n.log.hasMembershipAfter(n.commit) {
		return
	}
	next := n.log.membership().With(id, l.generation)
	e := n.appendAsLeader(Entry{Kind: EntryMembership, Membership: &next})
	n.emit(LearnerNamed{Host: id, Generation: l.generation, Index: e.Index, After: now.Sub(l.since)})
	l.lastReply = n.progress[id].lastReply
	n.progress[id] = &l.progress
	delete(n.learners, id)
	n.sendEntriesToAll(now)
}

// caughtUp reports whether a learner holds the log, or all but the entries of one round that took
// less than an election timeout. A longer round is followed by another one.
func (n *Node) caughtUp(now time.Time, l *learner) bool {
	if l.match == n.log.last() {
		return true
	}
	if l.match < l.goal {
		return false
	}
	short := now.Sub(l.roundStart) < n.timing.ElectionTimeout
	l.goal, l.roundStart = n.log.last(), now
	return short
}

// dropSilentLearners forgets the learners that have not answered for an election timeout.
func (n *Node) dropSilentLearners(now time.Time) {
	for id, l := range n.learners {
		if now.Sub(l.lastReply) >= n.timing.ElectionTimeout {
			delete(n.learners, id)
		}
	}
}
