package formation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

const (
	// settleFabric is how long a fabric domain's free engines must have been the same
	// before a load is begun there.
	settleFabric = 500 * time.Millisecond
	// arrivalTime is how long an engine that has just come is left free, so that the others
	// of its domain, which come one after the other, are there when replicas are formed.
	arrivalTime = 500 * time.Millisecond
)

// form makes new replicas of the engines that are free.
func (p *Planner) form() {
	free := p.free()
	p.watch(free)
	// What one domain decides counts for the next one.
	for _, fabric := range slices.Sorted(maps.Keys(free)) {
		if p.gathering(fabric) || p.exchanging(fabric) {
			continue
		}
		p.formIn(fabric, free[fabric])
	}
}

// formIn decides what the free engines of one fabric domain are for. Replicas whose members
// hold their model are formed; for the others the missing loads are started, and until these
// are over all their engines stay free for something better. It begins to close replicas
// instead if their engines and the free ones serve better together.
func (p *Planner) formIn(fabric string, hosts []Host) {
	have := p.have()
	best := p.compose(hosts, have, func(c candidate) bool { return p.affordable(fabric, c, hosts, have) })
	if p.exchange(fabric, hosts, have, best) {
		return
	}
	for _, c := range best.replicas {
		if !c.pending || !p.view.Started {
			p.start(fabric, c)
			continue
		}
		p.prepare(c)
	}
}

// affordable reports whether the loads that a replica needs may be started now.
func (p *Planner) affordable(fabric string, c candidate, hosts []Host, have map[string]int) bool {
	if !c.pending || !p.view.Started {
		return true
	}
	if p.now.Sub(p.settled[fabric].since) < settleFabric {
		return false
	}
	lack := p.required(c.model) - float64(have[c.model.Name])
	return lack >= shortfall && p.mayLoad(c.loads) && !p.spoils(fabric, c, hosts, have)
}

// prepare starts the loads that a replica still needs.
func (p *Planner) prepare(c candidate) {
	for _, h := range c.members {
		if !p.holdsSoon(h, c.model) {
			p.stageOne(h, c.model)
		}
	}
}

// spoils reports whether a replica would take engines that lack one more of their own model,
// which is worse off. A new or returning engine may complete them.
func (p *Planner) spoils(fabric string, c candidate, hosts []Host, have map[string]int) bool {
	if p.now.Sub(p.settled[fabric].since) > completeTime {
		return false
	}
	for _, m := range p.view.Engine.Models {
		if m.Name == c.model.Name || p.covered(m, have) >= p.covered(c.model, have) {
			continue
		}
		if p.holders(m, hosts) >= m.Size-1 && p.holders(m, c.members) > 0 {
			return true
		}
	}
	return false
}

// completeTime is how long engines that lack one more are kept for it.
const completeTime = 6 * time.Second

// covered is the part of a model's demand that its replicas can be expected to meet: the
// more members a replica has, the more often it loses one.
func (p *Planner) covered(m routes.Model, have map[string]int) float64 {
	lasting := 1 / (1 + lossPerMember*float64(m.Size))
	return lasting * float64(have[m.Name]) / max(p.required(m), 1)
}

// lossPerMember is the part of a replica that each of its members costs by being lost, on a
// day on which a quarter of the engines are lost within half a minute.
const lossPerMember = 0.07

// holders counts the engines that hold a model.
func (p *Planner) holders(m routes.Model, hosts []Host) int {
	n := 0
	for _, h := range hosts {
		if p.modelOf(h) == m.Name {
			n++
		}
	}
	return n
}

// shortfall is the part of a replica by which a model must lack before a load from the
// weight store is worth it.
const shortfall = 0.2

// watch notes when the free engines of each fabric domain last changed.
func (p *Planner) watch(free map[string][]Host) {
	for fabric, hosts := range free {
		var names strings.Builder
		for _, h := range hosts {
			names.WriteString(h.ID + " ")
		}
		if last, ok := p.settled[fabric]; !ok || last.names != names.String() {
			p.settled[fabric] = settled{names.String(), p.now}
		}
	}
}

// gathering reports whether engines are still coming to a fabric domain.
func (p *Planner) gathering(fabric string) bool {
	return p.now.Sub(p.arrived[fabric]) < arrivalTime
}

// free returns the engines that no replica holds, by fabric domain.
func (p *Planner) free() map[string][]Host {
	holder := p.unitsByHost()
	free := map[string][]Host{}
	for _, h := range p.view.Hosts {
		if h.usable() && holder[h.ID] == nil && p.released(h) {
			free[h.Fabric] = append(free[h.Fabric], h)
		}
	}
	for _, list := range free {
		slices.SortFunc(list, byID)
	}
	return free
}

// unitsByHost returns the replica that holds each engine.
func (p *Planner) unitsByHost() map[string]*unit {
	holder := make(map[string]*unit, len(p.hosts))
	for _, u := range p.units {
		for _, id := range u.members {
			holder[id] = u
		}
	}
	return holder
}

// informed reports whether an engine has announced itself since this leader leads. If not it
// may be in a replica that an earlier leader formed.
func (p *Planner) informed(h Host) bool { return !h.Reported.Before(p.view.Since) }

// released reports whether an engine that no known replica holds may be used: it is in
// none, or its replica's head is out and stays out. Otherwise it is told to leave first.
func (p *Planner) released(h Host) bool {
	if !p.informed(h) {
		return false
	}
	_, resting := p.resting[h.Life()]
	if h.Member == nil || h.standsBy() || p.ended[h.Member.Replica].clean {
		return !resting
	}
	p.give(Leave{h.ID, Place{h.Member.Replica, h.Member.Epoch}})
	return false
}

func (p *Planner) start(fabric string, c candidate) {
	for _, h := range c.members {
		if p.mustLoad(h, c.model) {
			p.load(h, c.model)
		}
	}
	u := &unit{
		Place: p.nextPlace(c.model.Name), model: c.model.Name, fabric: fabric, phase: phaseForming,
		began: p.now, limit: p.now.Add(c.ready + formingMargin),
	}
	for _, h := range c.members {
		u.members = append(u.members, h.ID)
	}
	p.units[u.Replica] = u
	p.note(u, "formed", "free engines")
	for _, id := range u.members {
		p.give(Join{id, u.Place, u.model, u.members})
	}
}
