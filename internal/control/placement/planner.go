package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// noFabric stands for "not in one fabric domain".
const noFabric = -1

// fabric is one fabric domain in the picture.
type fabric struct {
	name domain.Fabric
	// hosts and free are indexes into Fleet.Hosts; free ones may be claimed now.
	hosts []int
	free  []int
	// freed counts hosts of draining replicas and hosts not yet claimable.
	freed int
	// darkSince is when the whole domain fell silent at once; zero if it is not dark.
	darkSince time.Time
}

// group is a replica in the picture.
type group struct {
	*Replica
	// dep is the index of the deployment, or -1 if it is gone.
	dep int
	// members, missing and survivors are indexes into Fleet.Hosts; a host unknown
	// to the picture is counted in unknown only.
	members   []int
	missing   []int
	survivors []int
	unknown   int
	// fabric is the one fabric domain of the members, or noFabric.
	fabric int
	// gone says that a decision of this round ends the replica.
	gone bool
}

// lost counts the members that are missing.
func (g *group) lost() int { return len(g.missing) + g.unknown }

// serving reports whether the replica can serve now.
func (g *group) serving() bool {
	return !g.gone && g.lost() == 0 && g.State == replica.StateServing
}

// loading reports whether the replica will serve without help.
func (g *group) loading() bool {
	return !g.gone && g.lost() == 0 && (g.State == replica.StateLoading || g.State == replica.StateDegraded)
}

// degraded reports whether members of a claimed replica are missing.
func (g *group) degraded() bool {
	return !g.gone && g.lost() > 0 && g.State != replica.StateDraining
}

// planner holds one decision in the making.
type planner struct {
	fleet  *Fleet
	policy Policy
	now    time.Time
	hostAt map[host.ID]int
	// taken marks hosts that are claimed or used by a decision of this round.
	taken    []bool
	fabricOf []int
	fabrics  []fabric
	groups   []group
	// groupsOf are the groups of each deployment.
	groupsOf [][]*group
	// compacted is the replica that moves to leave a whole place free, or nil.
	compacted *group
	// copying marks hosts that this round orders to copy weights.
	copying []bool
	// extras counts the replicas of each deployment beyond those wanted.
	extras []int
	// limits are the most replicas of each deployment.
	limits []int
	// largest is the size of the largest replicas.
	largest int
	// formed counts the replicas that this round forms for each deployment.
	formed []int
	// storeLoads counts hosts that copy weights from the store.
	storeLoads int
	// pending says that a claim waits for hosts or for room at the store.
	pending   bool
	decisions []Decision
}

// newPlanner indexes the picture.
func newPlanner(f *Fleet) *planner {
	p := &planner{
		fleet:    f,
		policy:   f.Policy.withDefaults(),
		now:      f.Now,
		hostAt:   make(map[host.ID]int, len(f.Hosts)),
		taken:    make([]bool, len(f.Hosts)),
		copying:  make([]bool, len(f.Hosts)),
		fabricOf: make([]int, len(f.Hosts)),
		groups:   make([]group, len(f.Replicas)),
		groupsOf: make([][]*group, len(f.Deployments)),
		formed:   make([]int, len(f.Deployments)),
		extras:   make([]int, len(f.Deployments)),
		limits:   make([]int, len(f.Deployments)),
		largest:  1,
	}
	for i := range f.Deployments {
		p.largest = max(p.largest, f.Deployments[i].HostsPerReplica)
	}
	p.indexHosts()
	p.indexGroups()
	p.indexFree()
	for dep := range f.Deployments {
		p.limits[dep] = p.limit(&f.Deployments[dep])
	}
	p.compacted = p.compaction()
	for dep := range f.Deployments {
		t := p.tally(dep)
		p.extras[dep] = t.good + t.leaving + t.coming - f.Deployments[dep].Replicas
	}
	return p
}

// indexHosts sorts hosts into fabric domains.
func (p *planner) indexHosts() {
	fabricAt := make(map[domain.Fabric]int)
	for i := range p.fleet.Hosts {
		h := &p.fleet.Hosts[i]
		p.hostAt[h.ID] = i
		at, known := fabricAt[h.Fabric]
		if !known {
			at = len(p.fabrics)
			fabricAt[h.Fabric] = at
			p.fabrics = append(p.fabrics, fabric{name: h.Fabric})
		}
		p.fabricOf[i] = at
		p.fabrics[at].hosts = append(p.fabrics[at].hosts, i)
		p.taken[i] = h.Replica != ""
		if h.Preloading {
			p.storeLoads++
		}
	}
	for i := range p.fabrics {
		p.fabrics[i].darkSince = p.darkSince(&p.fabrics[i])
	}
}

// indexGroups resolves the members of each replica.
func (p *planner) indexGroups() {
	depAt := make(map[string]int, len(p.fleet.Deployments))
	for i := range p.fleet.Deployments {
		depAt[p.fleet.Deployments[i].Spec.Deployment] = i
	}
	for i := range p.fleet.Replicas {
		g := &p.groups[i]
		g.Replica = &p.fleet.Replicas[i]
		p.indexMembers(g)
		dep, known := depAt[g.Spec.Deployment]
		if !known {
			g.dep = -1
			continue
		}
		g.dep = dep
		p.groupsOf[dep] = append(p.groupsOf[dep], g)
	}
}

// indexMembers tells a replica's survivors from its missing members.
func (p *planner) indexMembers(g *group) {
	g.members = make([]int, 0, len(g.Hosts))
	g.survivors = make([]int, 0, len(g.Hosts))
	g.fabric = noFabric
	for m, id := range g.Hosts {
		i, known := p.hostAt[id]
		if !known {
			g.unknown++
			continue
		}
		p.taken[i] = true
		member := Member{}
		if m < len(g.Members) {
			member = g.Members[m]
		}
		if member.State == MemberLoading && member.FromStore {
			p.storeLoads++
		}
		p.placeMember(g, i, member.State == MemberMissing)
	}
}

// placeMember files one member under survivors or missing.
func (p *planner) placeMember(g *group, i int, silent bool) {
	at := p.fabricOf[i]
	if len(g.members) == 0 {
		g.fabric = at
	}
	if g.fabric != at {
		g.fabric = noFabric
	}
	g.members = append(g.members, i)
	if silent || !p.fleet.Hosts[i].Alive {
		g.missing = append(g.missing, i)
		return
	}
	g.survivors = append(g.survivors, i)
	if g.State == replica.StateDraining && !p.fleet.Hosts[i].Stop.Wanted {
		p.fabrics[at].freed++
	}
}

// indexFree lists the hosts that may be claimed now, by fabric domain.
func (p *planner) indexFree() {
	for i := range p.fleet.Hosts {
		h := &p.fleet.Hosts[i]
		if p.taken[i] || !p.usable(h) {
			continue
		}
		f := &p.fabrics[p.fabricOf[i]]
		if p.now.Before(h.ClaimableAt) {
			f.freed++
			continue
		}
		f.free = append(f.free, i)
	}
	for i := range p.fabrics {
		slices.SortFunc(p.fabrics[i].free, func(a, b int) int {
			return cmp.Compare(p.fleet.Hosts[a].ID, p.fleet.Hosts[b].ID)
		})
	}
}

// usable reports whether a host is fit for a new claim.
func (p *planner) usable(h *Host) bool {
	if !h.Alive || h.Stop.Wanted {
		return false
	}
	if p.straggles(h) {
		return false
	}
	return p.now.Sub(h.Since) >= p.policy.flapBackoff(h.Losses)
}

// straggles reports whether a host is slow.
func (p *planner) straggles(h *Host) bool {
	return h.slowness() >= p.policy.StragglerSlowness
}

// flaps reports whether a host has been lost too often of late.
func (p *planner) flaps(h *Host) bool {
	return h.Losses >= p.policy.FlapLosses
}

// take marks hosts as used and removes them from the free lists.
func (p *planner) take(hosts []int) {
	for _, i := range hosts {
		p.taken[i] = true
		f := &p.fabrics[p.fabricOf[i]]
		if at := slices.Index(f.free, i); at >= 0 {
			f.free = slices.Delete(f.free, at, at+1)
		}
	}
}

// keep takes the free ones of hosts from the other claims of this round, and says so.
func (p *planner) keep(w Wait, hosts []int) {
	for _, i := range hosts {
		if !p.taken[i] {
			w.Kept = append(w.Kept, p.fleet.Hosts[i].ID)
		}
	}
	p.take(hosts)
	p.pending = true
	p.emit(w)
}

// emit records a decision.
func (p *planner) emit(d Decision) {
	p.decisions = append(p.decisions, d)
}

// wait records why nothing is done about g.
func (p *planner) wait(g *group, until time.Time, why Reason) {
	p.emit(Wait{Deployment: g.Spec.Deployment, Replica: g.ID, Until: until, Reason: why})
}
