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
	replicaOf := p.replicasByHost()
	models := slices.Clone(p.view.Engine.Models)
	slices.SortStableFunc(models, func(a, b routes.Model) int { return cmp.Compare(b.Size, a.Size) })
	fabrics := map[string][]Host{}
	for _, h := range p.view.Hosts {
		if p.available(h) {
			fabrics[h.Fabric] = append(fabrics[h.Fabric], h)
		}
	}
	for _, fabric := range slices.Sorted(maps.Keys(fabrics)) {
		hosts := fabrics[fabric]
		slices.SortFunc(hosts, byID)
		if !p.awaitingArrivals(fabric) {
			p.stageFabric(models, hosts, replicaOf)
		}
	}
	if p.view.TrafficStarted {
		p.rebalance(fabrics, replicaOf)
	}
}

// stageFabric sends the orders for the loads that are due in one fabric domain.
func (p *Planner) stageFabric(models []routes.Model, hosts []Host, replicaOf map[string]*replica) {
	wanted := p.wantedModels(models, hosts, replicaOf)
	stable := len(hosts) > 0 && p.now.Sub(p.freeSets[hosts[0].Fabric].since) > fabricStableTime
	for _, h := range hosts {
		if replicaOf[h.ID] == nil && stable && p.moveToStandby(h) {
			continue
		}
		m, ok := wanted[h.ID]
		if !ok || h.hasStaged(m.Name) {
			continue
		}
		if p.view.TrafficStarted && (len(h.Staged) > 0 || replicaOf[h.ID] != nil) {
			continue // It already holds a model; the weight store has more urgent work.
		}
		p.stageHost(h, m)
	}
	if p.view.TrafficStarted && len(p.loading) < maxLoadsForReserve {
		p.stageReserve(models[0], hosts, replicaOf)
	}
}

// maxLoadsForReserve is the number of running loads from which on no load for a reserve is
// started.
const maxLoadsForReserve = 3

// stageReserve loads the largest model onto the host of a member of a replica of another model, so
// that its engine could replace a lost member of a replica of the largest model. It does nothing if a
// host of the fabric domain outside the replicas of the largest model stores that model already or is
// loading any model.
func (p *Planner) stageReserve(largest routes.Model, hosts []Host, replicaOf map[string]*replica) {
	var member *Host
	serving := false
	for i, h := range hosts {
		r := replicaOf[h.ID]
		if r != nil && r.model == largest.Name {
			serving = true
			continue
		}
		if _, loading := p.loading[h.Incarnation()]; loading || h.hasStaged(largest.Name) {
			return
		}
		if r != nil && servingMember(r, h) {
			member = &hosts[i]
		}
	}
	if serving && member != nil {
		p.stageHost(*member, largest)
	}
}

// wantedModels returns the model that each host of a fabric domain should store.
func (p *Planner) wantedModels(models []routes.Model, hosts []Host, replicaOf map[string]*replica) map[string]routes.Model {
	wanted := map[string]routes.Model{}
	stored := map[string]int{}
	needed := map[string]int{}
	spares := 0
	for _, h := range hosts {
		r := replicaOf[h.ID]
		var m routes.Model
		inMemory := p.modelOf(h)
		switch {
		case r == nil && inMemory != "":
			m = largestOther(models, inMemory)
		case r == nil:
			m = models[spares%len(models)]
			spares++
		default:
			needed[r.model]++
			m = largestOther(models, r.model)
		}
		wanted[h.ID] = m
		stored[m.Name]++
	}
	for _, h := range hosts {
		r := replicaOf[h.ID]
		if r == nil || stored[r.model] >= needed[r.model] || wanted[h.ID].Name == r.model {
			continue
		}
		stored[wanted[h.ID].Name]--
		stored[r.model]++
		wanted[h.ID], _ = p.view.Engine.Model(r.model)
	}
	for _, h := range hosts {
		if r := replicaOf[h.ID]; r != nil && !servingMember(r, h) {
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
func servingMember(r *replica, h Host) bool {
	return r.phase == phaseServing && h.Member != nil && h.Member.State != roster.MemberJoining
}

func (p *Planner) stageHost(h Host, m routes.Model) {
	if _, loading := p.loading[h.Incarnation()]; loading || !p.mayLoad(1) {
		return
	}
	p.recordLoad(h, m)
	p.orders = append(p.orders, Stage{h.ID, m.Name})
}
