package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// noFabric is the fabric index of a replica whose members are not in one fabric domain.
const noFabric = -1

// fabric is a fabric domain of the fleet snapshot.
type fabric struct {
	name domain.Fabric
	// hosts and free are indexes into Fleet.Hosts. Hosts in free may be claimed now.
	hosts []int
	free  []int
	// beingFreed counts hosts of draining replicas, and unclaimed hosts before their
	// ClaimableAt. Hosts that carry the claim of a replica outside the snapshot do not count.
	beingFreed int
	// outageSince is when an outage of the whole domain began; zero if there is none.
	outageSince time.Time
}

// group is a replica of the fleet snapshot: the group of hosts that serve one copy of a model.
type group struct {
	*Replica
	// dep is the index of the deployment, or -1 if it no longer exists.
	dep int
	// members, missing and survivors are indexes into Fleet.Hosts. A member that is
	// not in the fleet snapshot is only counted in unknown.
	members   []int
	missing   []int
	survivors []int
	unknown   int
	// fabric is the index of the fabric domain of all members, or noFabric.
	fabric int
	// ended is true if a decision of this round ends the replica.
	ended bool
}

// lostMembers returns how many members are missing or unknown.
func (g *group) lostMembers() int { return len(g.missing) + g.unknown }

// serving reports whether the replica serves now with all its members.
func (g *group) serving() bool {
	return !g.ended && g.lostMembers() == 0 && g.State == replica.StateServing
}

// loading reports whether the replica has all its members and is about to serve
// without further decisions.
func (g *group) loading() bool {
	return !g.ended && g.lostMembers() == 0 && (g.State == replica.StateLoading || g.State == replica.StateDegraded)
}

// degraded reports whether members of a replica that is not draining are missing.
func (g *group) degraded() bool {
	return !g.ended && g.lostMembers() > 0 && g.State != replica.StateDraining
}

// planner holds the state of one run of Decide.
type planner struct {
	fleet  *Fleet
	policy Policy
	now    time.Time
	hostAt map[host.ID]int
	// taken marks hosts that are claimed, or used by a decision of this round.
	taken    []bool
	fabricOf []int
	fabrics  []fabric
	groups   []group
	// groupsOf lists the groups of each deployment.
	groupsOf [][]*group
	// compacting is the replica that moves to free a slot for a whole replica, or nil.
	compacting *group
	// preloading marks hosts that are ordered in this round to copy weights.
	preloading []bool
	// extras counts the replicas of each deployment beyond those wanted.
	extras []int
	// limits are the largest numbers of replicas allowed for each deployment.
	limits []int
	// largestReplica is the number of hosts of the largest replicas.
	largestReplica int
	// formed counts the replicas of each deployment that are formed in this round.
	formed []int
	// storeCopies counts the hosts that copy weights from the store.
	storeCopies int
	// claimWaiting is true if a claim waits for hosts or for the weight store.
	claimWaiting bool
	decisions    []Decision
}

// newPlanner returns a planner with indexes of the fleet snapshot.
func newPlanner(f *Fleet) *planner {
	p := &planner{
		fleet:          f,
		policy:         f.Policy.withDefaults(),
		now:            f.Now,
		hostAt:         make(map[host.ID]int, len(f.Hosts)),
		taken:          make([]bool, len(f.Hosts)),
		preloading:     make([]bool, len(f.Hosts)),
		fabricOf:       make([]int, len(f.Hosts)),
		groups:         make([]group, len(f.Replicas)),
		groupsOf:       make([][]*group, len(f.Deployments)),
		formed:         make([]int, len(f.Deployments)),
		extras:         make([]int, len(f.Deployments)),
		limits:         make([]int, len(f.Deployments)),
		largestReplica: 1,
	}
	for i := range f.Deployments {
		p.largestReplica = max(p.largestReplica, f.Deployments[i].HostsPerReplica)
	}
	p.indexHosts()
	p.indexGroups()
	p.indexFree()
	for dep := range f.Deployments {
		p.limits[dep] = p.replicaLimit(&f.Deployments[dep])
	}
	p.compacting = p.compactionCandidate()
	for dep := range f.Deployments {
		t := p.countReplicas(dep)
		p.extras[dep] = t.stable + t.toReplace + t.loading - f.Deployments[dep].Replicas
	}
	return p
}

// indexHosts groups the hosts by fabric domain.
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
			p.storeCopies++
		}
	}
	for i := range p.fabrics {
		p.fabrics[i].outageSince = p.outageStart(&p.fabrics[i])
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

// indexMembers separates a replica's survivors from its missing members.
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
			p.storeCopies++
		}
		p.classifyMember(g, i, member.State == MemberMissing)
	}
}

// classifyMember adds one member to the survivors or to the missing members.
func (p *planner) classifyMember(g *group, i int, missing bool) {
	fabric := p.fabricOf[i]
	if len(g.members) == 0 {
		g.fabric = fabric
	}
	if g.fabric != fabric {
		g.fabric = noFabric
	}
	g.members = append(g.members, i)
	if missing || !p.fleet.Hosts[i].Alive {
		g.missing = append(g.missing, i)
		return
	}
	g.survivors = append(g.survivors, i)
	if g.State == replica.StateDraining && !p.fleet.Hosts[i].leaving() {
		p.fabrics[fabric].beingFreed++
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
			f.beingFreed++
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
	if !h.Alive || h.leaving() {
		return false
	}
	if p.isStraggler(h) {
		return false
	}
	return p.now.Sub(h.AliveChangedAt) >= p.policy.flapBackoff(h.Losses)
}

// isStraggler reports whether a host is slow enough to count as a straggler.
func (p *planner) isStraggler(h *Host) bool {
	return h.slowness() >= p.policy.StragglerSlowness
}

// isFlapping reports whether a host has been lost too often in the last hour.
func (p *planner) isFlapping(h *Host) bool {
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

// reserveAndWait withholds the free ones of hosts from the other claims of this round,
// and records w with them.
func (p *planner) reserveAndWait(w Wait, hosts []int) {
	for _, i := range hosts {
		if !p.taken[i] {
			w.Reserved = append(w.Reserved, p.fleet.Hosts[i].ID)
		}
	}
	p.take(hosts)
	p.claimWaiting = true
	p.emit(w)
}

// emit records a decision.
func (p *planner) emit(d Decision) {
	p.decisions = append(p.decisions, d)
}

// emitWait records why nothing is done about g.
func (p *planner) emitWait(g *group, until time.Time, reason Reason) {
	p.emit(Wait{Deployment: g.Spec.Deployment, Replica: g.ID, Until: until, Reason: reason})
}
