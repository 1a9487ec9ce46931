package formation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// fabricStableTime is how long the set of free engines of a fabric domain must be unchanged
	// before a load is started there.
	fabricStableTime = 500 * time.Millisecond
	// arrivalGrace is how long a fabric domain forms no replicas after a new engine has arrived.
	// The engines of a domain arrive one after the other; without the wait the first ones would
	// be used before the others are there.
	arrivalGrace = 500 * time.Millisecond
)

// formReplicas forms new replicas of the free engines.
func (p *Planner) formReplicas() {
	free := p.freeHosts()
	p.trackFreeEngines(free)
	// Each domain counts the replicas that were formed in the ones before it.
	for _, fabric := range slices.Sorted(maps.Keys(free)) {
		if p.awaitingArrivals(fabric) || p.regrouping(fabric) {
			continue
		}
		p.formInFabric(fabric, free[fabric])
	}
}

// formInFabric decides how to use the free engines of one fabric domain. It forms the replicas
// whose members hold their model. For the others it starts the missing loads; until these end,
// all their engines remain free for a better use. If closing replicas to regroup their engines
// with the free ones is worth more, it does that instead.
func (p *Planner) formInFabric(fabric string, hosts []Host) {
	existing := p.replicaCounts()
	best := p.bestComposition(hosts, existing, func(c candidate) bool { return p.loadsAllowed(fabric, c, hosts, existing) })
	if p.regroup(fabric, hosts, existing, best) {
		return
	}
	for _, c := range best.replicas {
		if !c.needsLoad || !p.view.TrafficStarted {
			p.startReplica(fabric, c)
			continue
		}
		p.startLoads(c)
	}
}

// loadsAllowed reports whether the loads that a candidate needs may be started now.
func (p *Planner) loadsAllowed(fabric string, c candidate, hosts []Host, existing map[string]int) bool {
	if !c.needsLoad || !p.view.TrafficStarted {
		return true
	}
	if p.now.Sub(p.freeSets[fabric].since) < fabricStableTime {
		return false
	}
	lack := p.requiredReplicas(c.model) - float64(existing[c.model.Name])
	return lack >= minShortfall && p.mayLoad(c.newLoads) && !p.breaksNearlyComplete(fabric, c, hosts, existing)
}

// startLoads starts the loads that a candidate still needs.
func (p *Planner) startLoads(c candidate) {
	for _, h := range c.members {
		if !p.holdsOrLoads(h, c.model) {
			p.stageHost(h, c.model)
		}
	}
}

// breaksNearlyComplete reports whether a candidate would take engines of a group that lacks only
// one engine to form a replica of a model with lower coverage. A new or returning engine may
// complete that group.
func (p *Planner) breaksNearlyComplete(fabric string, c candidate, hosts []Host, existing map[string]int) bool {
	if p.now.Sub(p.freeSets[fabric].since) > nearlyCompleteWait {
		return false
	}
	for _, m := range p.view.Engine.Models {
		if m.Name == c.model.Name || p.coverage(m, existing) >= p.coverage(c.model, existing) {
			continue
		}
		if p.countHolders(m, hosts) >= m.Size-1 && p.countHolders(m, c.members) > 0 {
			return true
		}
	}
	return false
}

// nearlyCompleteWait is how long engines that lack only one more are kept for it.
const nearlyCompleteWait = 6 * time.Second

// coverage returns the part of a model's demand that its replicas can be expected to meet. Larger
// replicas count less, because they lose a member more often.
func (p *Planner) coverage(m routes.Model, existing map[string]int) float64 {
	lasting := 1 / (1 + lossPerMember*float64(m.Size))
	return lasting * float64(existing[m.Name]) / max(p.requiredReplicas(m), 1)
}

// lossPerMember is the part of a replica's capacity that each member costs through its losses. It
// holds for runs with many faults, in which a quarter of the engines are lost within half a minute.
const lossPerMember = 0.07

// countHolders returns the number of hosts that hold the model in memory.
func (p *Planner) countHolders(m routes.Model, hosts []Host) int {
	n := 0
	for _, h := range hosts {
		if p.modelOf(h) == m.Name {
			n++
		}
	}
	return n
}

// minShortfall is the part of a replica by which a model must lack capacity before a load from
// the weight store is worth it.
const minShortfall = 0.2

// trackFreeEngines records when the set of free engines of each fabric domain last changed. A domain
// without free engines keeps its last record.
func (p *Planner) trackFreeEngines(free map[string][]Host) {
	for fabric, hosts := range free {
		var names strings.Builder
		for _, h := range hosts {
			names.WriteString(h.ID + " ")
		}
		if last, ok := p.freeSets[fabric]; !ok || last.ids != names.String() {
			p.freeSets[fabric] = freeSet{names.String(), p.now}
		}
	}
}

// awaitingArrivals reports whether an engine arrived in the fabric domain a moment ago, so that
// others may follow.
func (p *Planner) awaitingArrivals(fabric string) bool {
	return p.now.Sub(p.lastArrival[fabric]) < arrivalGrace
}

// freeHosts returns the usable engines that belong to no replica, by fabric domain.
func (p *Planner) freeHosts() map[string][]Host {
	replicaOf := p.replicasByHost()
	free := map[string][]Host{}
	for _, h := range p.view.Hosts {
		if p.available(h) && replicaOf[h.ID] == nil && p.ensureReleased(h) {
			free[h.Fabric] = append(free[h.Fabric], h)
		}
	}
	for _, list := range free {
		slices.SortFunc(list, byID)
	}
	return free
}

// replicasByHost maps each engine ID to the tracked replica that it is a member of.
func (p *Planner) replicasByHost() map[string]*replica {
	replicaOf := make(map[string]*replica, len(p.hosts))
	for _, r := range p.replicas {
		for _, id := range r.members {
			replicaOf[id] = r
		}
	}
	return replicaOf
}

// reportedSinceLead reports whether an engine has announced itself since this leader was elected.
// Before that it may be in a replica that an earlier leader formed.
func (p *Planner) reportedSinceLead(h Host) bool { return !h.LastReport.Before(p.view.LeaderSince) }

// ensureReleased reports whether an engine that belongs to no tracked replica may be used. It may
// if it is in no replica, or if the head of its replica has left and can't open it again.
// Otherwise it sends the engine an order to leave.
func (p *Planner) ensureReleased(h Host) bool {
	if !p.reportedSinceLead(h) {
		return false
	}
	_, blocked := p.blockedHeads[h.Incarnation()]
	if h.Member == nil || h.onStandby() || p.ended[h.Member.Replica].headLeft {
		return !blocked
	}
	p.send(Leave{h.ID, ReplicaRef{h.Member.Replica, h.Member.Epoch}})
	return false
}

func (p *Planner) startReplica(fabric string, c candidate) {
	for _, h := range c.members {
		if p.needsLoad(h, c.model) {
			p.recordLoad(h, c.model)
		}
	}
	r := &replica{
		ReplicaRef: p.nextRef(c.model.Name), model: c.model.Name, fabric: fabric, phase: phaseForming,
		since: p.now, deadline: p.now.Add(c.readyTime + formingMargin),
	}
	for _, h := range warmestFirst(c.members) {
		r.members = append(r.members, h.ID)
	}
	p.replicas[r.Replica] = r
	p.recordDecision(r, "formed", "free engines")
	for _, id := range r.members {
		p.send(Join{id, r.ReplicaRef, r.model, r.members})
	}
}

// warmestFirst returns the members of a new replica with the one that is cold for the shortest time first. The first one becomes the
// head, and only heads get requests.
func warmestFirst(members []Host) []Host {
	best := 0
	for i, h := range members {
		if h.Cold < members[best].Cold {
			best = i
		}
	}
	if best == 0 {
		return members
	}
	return slices.Concat(members[best:best+1], members[:best], members[best+1:])
}
