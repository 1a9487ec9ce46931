package formation

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
)

type phase uint8

const (
	phaseForming phase = iota + 1
	phaseServing
	// phaseClosing waits until the head has finished its requests, before a planned end.
	phaseClosing
	// phaseLeaving waits until the head has left the replica.
	phaseLeaving
)

// replica is a replica that the planner tracks.
type replica struct {
	ReplicaRef
	model   string
	members []string
	fabric  string
	phase   phase
	// since is when the current phase began. deadline is when forming has taken too long.
	since    time.Time
	deadline time.Time
	reason   string
	// lateJoin is true if a member was found in a replica of an earlier leader after the replica
	// had been adopted. Its join was carried out late, and a join for a later replica may be
	// still to come.
	lateJoin bool
}

func (u *replica) head() string { return u.members[0] }

// endedReplica is a replica that was given up.
type endedReplica struct {
	at time.Time
	// headLeft is true if its head has left it. Members that still report the replica may then be
	// used at once.
	headLeft bool
}

func (p *Planner) advance(u *replica) {
	switch u.phase {
	case phaseForming:
		p.advanceForming(u)
	case phaseServing:
		p.advanceServing(u)
	case phaseClosing:
		p.advanceClosing(u)
	case phaseLeaving:
	}
	if u.phase == phaseLeaving {
		p.advanceLeaving(u)
	}
}

func (p *Planner) advanceForming(u *replica) {
	if slices.Contains(u.members, "") {
		if p.now.After(u.deadline) {
			p.startLeaving(u, "incomplete")
		}
		return
	}
	ready, joining := 0, 0
	for _, id := range u.members {
		h, known := p.hosts[id]
		switch {
		case !known || !h.usable():
			p.startLeaving(u, "lost "+id)
			return
		case h.Member != nil && h.Member.Epoch > u.Epoch:
			p.startLeaving(u, id+" is in a later replica")
			return
		case !h.memberOf(u.ReplicaRef):
			p.send(Join{id, u.ReplicaRef, u.model, u.members})
		case h.Member.State == roster.MemberBroken:
			p.startLeaving(u, "broken")
			return
		case h.Member.State != roster.MemberJoining && h.Member.State != roster.MemberUnknown:
			ready++
		default:
			joining++
		}
	}
	switch {
	case p.hosts[u.head()].IsServingHead() && ready == len(u.members):
		p.enterPhase(u, phaseServing, "open")
	case ready == len(u.members) && u.lateJoin:
		p.startLeaving(u, "a member joined late")
	case ready == len(u.members):
		p.send(Open{u.head(), u.ReplicaRef})
	case p.now.After(u.deadline) && (joining == 0 || p.now.After(u.deadline.Add(loadingMargin))):
		p.startLeaving(u, "took too long to form")
	}
}

func (p *Planner) advanceServing(u *replica) {
	head, known := p.hosts[u.head()]
	sight := p.view.Heads[u.head()]
	if known && head.Alive && (!head.memberOf(u.ReplicaRef) || head.Member.State == roster.MemberBroken) {
		p.startLeaving(u, "the head serves no more")
		return
	}
	for _, id := range u.members {
		h, known := p.hosts[id]
		if known && h.Alive && h.State == roster.StateReady {
			continue
		}
		if known && h.State != roster.StateReady && h.Alive {
			p.enterPhase(u, phaseClosing, id+" drains")
			return
		}
		if !sight.active() {
			p.startLeaving(u, "lost "+id)
			return
		}
	}
	if sight.stalled() {
		p.startLeaving(u, "stands still")
	}
}

func (p *Planner) advanceClosing(u *replica) {
	head, known := p.hosts[u.head()]
	if !known || !head.Alive || !head.memberOf(u.ReplicaRef) || p.now.Sub(u.since) > drainTimeout {
		p.startLeaving(u, "closed")
		return
	}
	switch head.Member.State {
	case roster.MemberOpen:
		p.send(Close{u.head(), u.ReplicaRef})
	case roster.MemberClosing:
	default:
		p.startLeaving(u, "closed")
	}
}

// advanceLeaving keeps a replica's members from other use until its head has left, or, if the
// head can't be reached, until all other members have left.
func (p *Planner) advanceLeaving(u *replica) {
	h, known := p.hosts[u.head()]
	switch {
	case u.head() != "" && (!known || h.ConnRefused):
		p.dropReplica(u, true)
	case known && h.Alive && !h.memberOf(u.ReplicaRef) && h.State != roster.StateLeft:
		p.dropReplica(u, true)
	case known && h.Alive:
		p.send(Leave{u.head(), u.ReplicaRef})
	case p.ensureMembersLeft(u):
		p.dropReplica(u, false)
	}
}

// ensureMembersLeft orders the members to leave a replica whose head can't be reached. It reports
// whether all reachable members have left. Without them the head makes no progress.
func (p *Planner) ensureMembersLeft(u *replica) bool {
	out := true
	for _, id := range u.members[1:] {
		h, known := p.hosts[id]
		if known && h.Alive && h.memberOf(u.ReplicaRef) {
			p.send(Leave{id, u.ReplicaRef})
			out = false
		}
	}
	return out
}

// startLeaving gives a replica up.
func (p *Planner) startLeaving(u *replica, reason string) {
	p.enterPhase(u, phaseLeaving, reason)
}

func (p *Planner) enterPhase(u *replica, next phase, reason string) {
	u.phase, u.since, u.reason = next, p.now, reason
	p.recordDecision(u, next.String(), reason)
}

func (p phase) String() string {
	switch p {
	case phaseForming:
		return "forming"
	case phaseServing:
		return "serving"
	case phaseClosing:
		return "closing"
	case phaseLeaving:
		return "leaving"
	}
	return "unknown"
}

func (p *Planner) dropReplica(u *replica, clean bool) {
	delete(p.replicas, u.Replica)
	reopens := p.mayReopen(u.ReplicaRef)
	if reopens {
		p.blockedHeads[p.hosts[u.head()].Incarnation()] = u.ReplicaRef
	}
	p.ended[u.Replica] = endedReplica{p.now, clean && !reopens}
	p.recordDecision(u, "dropped", u.reason)
}

func (p *Planner) recordDecision(u *replica, what, reason string) {
	p.decisions = append(p.decisions, Decision{ReplicaRef: u.ReplicaRef, Model: u.model, Members: u.members, Phase: what, Reason: reason})
}
