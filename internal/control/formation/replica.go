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
	model string
	// members are the IDs by rank. In an adopted replica, the ID of a member that has not been
	// found yet is "".
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
	// evacuated is true if the replica is closed since a member is in an evacuated failure domain. It is not ended by force then.
	evacuated bool
}

func (r *replica) head() string { return r.members[0] }

// endedReplica is a replica that is no longer tracked.
type endedReplica struct {
	at time.Time
	// headLeft is true if its head has left it or is gone, and no late order can open it again.
	// Members that still report the replica may then be used at once.
	headLeft bool
}

func (p *Planner) advance(r *replica) {
	switch r.phase {
	case phaseForming:
		p.advanceForming(r)
	case phaseServing:
		p.advanceServing(r)
	case phaseClosing:
		p.advanceClosing(r)
	case phaseLeaving:
	}
	if r.phase == phaseLeaving {
		p.advanceLeaving(r)
	}
}

func (p *Planner) advanceForming(r *replica) {
	if slices.Contains(r.members, "") {
		if p.now.After(r.deadline) {
			p.startLeaving(r, "incomplete")
		}
		return
	}
	if p.isEvacuated(r) && !p.hosts[r.head()].IsServingHead() {
		p.startLeaving(r, reasonEvacuated)
		return
	}
	ready, joining := 0, 0
	for _, id := range r.members {
		h, known := p.hosts[id]
		switch {
		case !known || !h.usable():
			p.startLeaving(r, "lost or draining "+id)
			return
		case h.Member != nil && h.Member.Epoch > r.Epoch:
			p.startLeaving(r, id+" is in a later replica")
			return
		case !h.memberOf(r.ReplicaRef):
			p.send(Join{id, r.ReplicaRef, r.model, r.members})
		case h.Member.State == roster.MemberBroken:
			p.startLeaving(r, "broken")
			return
		case h.Member.State != roster.MemberJoining && h.Member.State != roster.MemberUnknown:
			ready++
		default:
			joining++
		}
	}
	switch {
	case p.hosts[r.head()].IsServingHead() && ready == len(r.members):
		p.enterPhase(r, phaseServing, "open")
	case ready == len(r.members) && r.lateJoin:
		p.startLeaving(r, "a member joined late")
	case ready == len(r.members):
		p.send(Open{r.head(), r.ReplicaRef})
	case p.now.After(r.deadline) && (joining == 0 || p.now.After(r.deadline.Add(loadingMargin))):
		p.startLeaving(r, "took too long to form")
	}
}

func (p *Planner) advanceServing(r *replica) {
	head, known := p.hosts[r.head()]
	report := p.view.Heads[r.head()]
	if known && head.Alive && (!head.memberOf(r.ReplicaRef) || head.Member.State == roster.MemberBroken) {
		p.startLeaving(r, "the head stopped serving")
		return
	}
	for _, id := range r.members {
		h, known := p.hosts[id]
		if known && h.Alive && h.State == roster.StateReady {
			continue
		}
		if known && h.State != roster.StateReady && h.Alive {
			p.enterPhase(r, phaseClosing, id+" is draining")
			return
		}
		if !report.active() {
			p.startLeaving(r, "lost "+id)
			return
		}
	}
	if report.stalled() {
		p.startLeaving(r, "the head makes no progress")
		return
	}
	p.closeIfEvacuated(r)
}

func (p *Planner) advanceClosing(r *replica) {
	head, known := p.hosts[r.head()]
	if !known || !head.Alive || !head.memberOf(r.ReplicaRef) || !r.evacuated && p.now.Sub(r.since) > drainTimeout {
		p.startLeaving(r, "closed")
		return
	}
	if r.evacuated && p.view.Heads[r.head()].stalled() {
		p.startLeaving(r, "the head makes no progress")
		return
	}
	switch head.Member.State {
	case roster.MemberOpen:
		p.send(Close{r.head(), r.ReplicaRef})
	case roster.MemberClosing:
	default:
		p.startLeaving(r, "closed")
	}
}

// advanceLeaving keeps a replica's members from other use until its head has left, or, if the
// head can't be reached, until all other members have left. That connections to the head are refused
// doesn't show that it has ended: what cuts control off may refuse them, and callers still reach it.
func (p *Planner) advanceLeaving(r *replica) {
	h, known := p.hosts[r.head()]
	switch {
	case known && h.Alive && !h.memberOf(r.ReplicaRef) && h.State != roster.StateLeft:
		p.dropReplica(r, true)
	case known && h.Alive:
		p.send(Leave{r.head(), r.ReplicaRef})
	case p.ensureMembersLeft(r):
		p.dropReplica(r, false)
	}
}

// ensureMembersLeft orders the other members to leave a replica whose head can't be reached, so that
// the head makes no progress even if it still runs. It reports whether all reachable members have
// left.
func (p *Planner) ensureMembersLeft(r *replica) bool {
	allLeft := true
	for _, id := range r.members[1:] {
		h, known := p.hosts[id]
		if known && h.Alive && h.memberOf(r.ReplicaRef) {
			p.send(Leave{id, r.ReplicaRef})
			allLeft = false
		}
	}
	return allLeft
}

// startLeaving gives a replica up. It remains tracked, and its members unused, until dropReplica.
func (p *Planner) startLeaving(r *replica, reason string) {
	p.enterPhase(r, phaseLeaving, reason)
}

func (p *Planner) enterPhase(r *replica, next phase, reason string) {
	r.phase, r.since, r.reason = next, p.now, reason
	p.recordDecision(r, next.String(), reason)
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

// dropReplica ends the tracking of a replica, so that its members can be used again. headLeft is true
// if its head has left it or is gone.
func (p *Planner) dropReplica(r *replica, headLeft bool) {
	delete(p.replicas, r.Replica)
	reopens := p.mayReopen(r.ReplicaRef)
	if reopens {
		p.blockedHeads[p.hosts[r.head()].Incarnation()] = r.ReplicaRef
	}
	p.ended[r.Replica] = endedReplica{p.now, headLeft && !reopens}
	p.recordDecision(r, "dropped", r.reason)
}

func (p *Planner) recordDecision(r *replica, phase, reason string) {
	p.decisions = append(p.decisions, Decision{ReplicaRef: r.ReplicaRef, Model: r.model, Members: r.members, Phase: phase, Reason: reason})
}
