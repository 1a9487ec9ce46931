package formation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// stageModels loads models onto engines' hosts, so that replicas can be formed again without the
// weight store. A host stores one model. An engine that has been a member of a replica can return
// to that replica's model quickly without its host's copy. Therefore the hosts of members get
// another model, as long as each fabric domain could still form its present replicas after a
// restart of all its hosts.
func (p *Planner) stageModels() {
	holder := p.replicasByHost()
	models := slices.Clone(p.view.Engine.Models)
	slices.SortStableFunc(models, func(a, b routes.Model) int { return cmp.Compare(b.Size, a.Size) })
	fabrics := map[string][]Host{}
	for _, h := range p.view.Hosts {
		if h.usable() {
			fabrics[h.Fabric] = append(fabrics[h.Fabric], h)
		}
	}
	for _, fabric := range slices.Sorted(maps.Keys(fabrics)) {
		hosts := fabrics[fabric]
		slices.SortFunc(hosts, byID)
		if !p.awaitingArrivals(fabric) {
			p.stageFabric(models, hosts, holder)
		}
	}
	if p.view.TrafficStarted {
		p.rebalance(fabrics, holder)
	}
}

// stageFabric sends the orders for the loads that are due in one fabric domain.
func (p *Planner) stageFabric(models []routes.Model, hosts []Host, holder map[string]*replica) {
	wanted := p.wantedModels(models, hosts, holder)
	settled := len(hosts) > 0 && p.now.Sub(p.freeSets[hosts[0].Fabric].since) > fabricStableTime
	for _, h := range hosts {
		if holder[h.ID] == nil && settled && p.moveToStandby(h) {
			continue
		}
		m, ok := wanted[h.ID]
		if !ok || h.hasStaged(m.Name) {
			continue
		}
		if p.view.TrafficStarted && (len(h.Staged) > 0 || holder[h.ID] != nil) {
			continue // It already holds a model; the weight store has more urgent work.
		}
		p.stageHost(h, m)
	}
	if p.view.TrafficStarted && len(p.loading) < maxLoadsForReserve {
		p.stageReserve(models[0], hosts, holder)
	}
}

// maxLoadsForReserve is the number of running loads from which on no load for a reserve is
// started.
const maxLoadsForReserve = 3

// stageReserve loads the largest model onto the host of a member of another replica, if no engine
// of the fabric domain outside the replicas of the largest model holds it or could replace a lost
// member.
func (p *Planner) stageReserve(largest routes.Model, hosts []Host, holder map[string]*replica) {
	var member *Host
	serving := false
	for i, h := range hosts {
		u := holder[h.ID]
		if u != nil && u.model == largest.Name {
			serving = true
			continue
		}
		if _, under := p.loading[h.Incarnation()]; under || h.hasStaged(largest.Name) {
			return
		}
		if u != nil && servingMember(u, h) {
			member = &hosts[i]
		}
	}
	if serving && member != nil {
		p.stageHost(*member, largest)
	}
}

// wantedModels returns the model that each host of a fabric domain should store.
func (p *Planner) wantedModels(models []routes.Model, hosts []Host, holder map[string]*replica) map[string]routes.Model {
	wanted := map[string]routes.Model{}
	held := map[string]int{}
	needed := map[string]int{}
	spares := 0
	for _, h := range hosts {
		u := holder[h.ID]
		var m routes.Model
		hot := p.modelOf(h)
		switch {
		case u == nil && hot != "":
			m = largestOther(models, hot)
		case u == nil:
			m = models[spares%len(models)]
			spares++
		default:
			needed[u.model]++
			m = largestOther(models, u.model)
		}
		wanted[h.ID] = m
		held[m.Name]++
	}
	for _, h := range hosts {
		u := holder[h.ID]
		if u == nil || held[u.model] >= needed[u.model] || wanted[h.ID].Name == u.model {
			continue
		}
		held[wanted[h.ID].Name]--
		held[u.model]++
		wanted[h.ID], _ = p.view.Engine.Model(u.model)
	}
	for _, h := range hosts {
		if u := holder[h.ID]; u != nil && !servingMember(u, h) {
			delete(wanted, h.ID)
		}
	}
	return wanted
}

// largestOther returns the largest model other than the named one.
func largestOther(models []routes.Model, name string) routes.Model {
	for _, m := range models {
		if m.Name != name {
			return m
		}
	}
	return models[0]
}

// servingMember reports whether a member of a serving replica has loaded its model.
func servingMember(u *replica, h Host) bool {
	return u.phase == phaseServing && h.Member != nil && h.Member.State != roster.MemberJoining
}

func (p *Planner) stageHost(h Host, m routes.Model) {
	if _, under := p.loading[h.Incarnation()]; under || !p.mayLoad(1) {
		return
	}
	p.recordLoad(h, m)
	p.orders = append(p.orders, Stage{h.ID, m.Name})
}
