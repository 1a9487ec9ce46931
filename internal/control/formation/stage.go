package formation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// stage loads models onto engines' hosts, so that replicas can be formed anew without the
// weight store. A host keeps one model, and an engine that has been a member of a replica
// returns to that model quickly without it. So members get another model, as long as each
// fabric domain could still form its present replicas after a restart of all its hosts.
func (p *Planner) stage() {
	holder := p.unitsByHost()
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
		if !p.gathering(fabric) {
			p.stageFabric(models, hosts, holder)
		}
	}
	if p.view.Started {
		p.rebalance(fabrics, holder)
	}
}

// stageFabric orders the loads that are due in one fabric domain.
func (p *Planner) stageFabric(models []routes.Model, hosts []Host, holder map[string]*unit) {
	wanted := p.wanted(models, hosts, holder)
	settled := len(hosts) > 0 && p.now.Sub(p.settled[hosts[0].Fabric].since) > settleFabric
	for _, h := range hosts {
		if holder[h.ID] == nil && settled && p.standBy(h) {
			continue
		}
		m, ok := wanted[h.ID]
		if !ok || h.staged(m.Name) {
			continue
		}
		if p.view.Started && (len(h.Staged) > 0 || holder[h.ID] != nil) {
			continue // It holds a model already; the weight store has more urgent work.
		}
		p.stageOne(h, m)
	}
	if p.view.Started && len(p.loading) < reserveLoads {
		p.stageReserve(models[0], hosts, holder)
	}
}

// reserveLoads is how many loads may be under way when one more is started for a reserve.
const reserveLoads = 3

// stageReserve loads the largest model onto the host of one member of another replica, if
// its fabric domain has nobody to replace a lost member of the largest one.
func (p *Planner) stageReserve(largest routes.Model, hosts []Host, holder map[string]*unit) {
	var member *Host
	serving := false
	for i, h := range hosts {
		u := holder[h.ID]
		if u != nil && u.model == largest.Name {
			serving = true
			continue
		}
		if _, under := p.loading[h.Life()]; under || h.staged(largest.Name) {
			return
		}
		if u != nil && settledMember(u, h) {
			member = &hosts[i]
		}
	}
	if serving && member != nil {
		p.stageOne(*member, largest)
	}
}

// wanted returns the model that each host of a fabric domain should hold.
func (p *Planner) wanted(models []routes.Model, hosts []Host, holder map[string]*unit) map[string]routes.Model {
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
			m = another(models, hot)
		case u == nil:
			m = models[spares%len(models)]
			spares++
		default:
			needed[u.model]++
			m = another(models, u.model)
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
		if u := holder[h.ID]; u != nil && !settledMember(u, h) {
			delete(wanted, h.ID)
		}
	}
	return wanted
}

// another returns the largest model that is not the named one.
func another(models []routes.Model, name string) routes.Model {
	for _, m := range models {
		if m.Name != name {
			return m
		}
	}
	return models[0]
}

// settledMember reports whether a member has its model and serves.
func settledMember(u *unit, h Host) bool {
	return u.phase == phaseServing && h.Member != nil && h.Member.State != roster.MemberJoining
}

func (p *Planner) stageOne(h Host, m routes.Model) {
	if _, under := p.loading[h.Life()]; under || !p.mayLoad(1) {
		return
	}
	p.load(h, m)
	p.orders = append(p.orders, Stage{h.ID, m.Name})
}
