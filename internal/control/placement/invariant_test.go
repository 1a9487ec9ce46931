package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// requireInvariants fails unless the decisions put every host into at most one replica,
// wait for ClaimableAt, and cross fabric domains only if allowed and as the last resort.
func requireInvariants(t require.TestingT, f Fleet, decisions []Decision) {
	hosts := make(map[host.ID]*Host)
	claim := make(map[host.ID]replica.ID)
	for i := range f.Hosts {
		hosts[f.Hosts[i].ID] = &f.Hosts[i]
		claim[f.Hosts[i].ID] = f.Hosts[i].Replica
	}
	ended := make(map[replica.ID]bool)
	for _, r := range f.Replicas {
		for _, id := range r.Hosts {
			claim[id] = r.ID
		}
	}
	used := make(map[host.ID]bool)
	members := func(spec replica.Spec, ids []host.ID, old ...replica.ID) {
		fabrics := make(map[domain.Fabric]bool)
		for _, id := range ids {
			h := hosts[id]
			require.False(t, used[id], "host %s is used by two decisions", id)
			used[id] = true
			require.True(t, h.Alive, "host %s is lost", id)
			require.False(t, h.Evacuated, "host %s is evacuated", id)
			require.False(t, f.Now.Before(h.ClaimableAt), "host %s is claimed before ClaimableAt", id)
			if claim[id] != "" {
				require.Contains(t, old, claim[id], "host %s is in another replica", id)
			}
			fabrics[h.Fabric] = true
		}
		for _, d := range f.Deployments {
			if d.Spec.Deployment != spec.Deployment {
				continue
			}
			require.Len(t, ids, d.HostsPerReplica)
			for _, id := range ids {
				require.True(t, d.allowsHost(hosts[id]), "host %s is outside the allowed regions", id)
			}
			for fabric := range fabrics {
				require.True(t, d.allows(fabric), "fabric domain %s is not allowed", fabric)
			}
			if len(fabrics) > 1 {
				require.True(t, d.CrossFabric, "the replica crosses fabric domains without permission")
			}
		}
	}
	end := func(id replica.ID) {
		require.False(t, ended[id], "replica %s is ended twice", id)
		ended[id] = true
	}
	for _, d := range decisions {
		require.NotEmpty(t, d.Why())
		switch d := d.(type) {
		case Form:
			members(d.Spec, d.Hosts)
		case Swap:
			for _, old := range d.Old {
				end(old)
			}
			members(d.Spec, d.Hosts, d.Old...)
		case Dissolve:
			end(d.Replica)
		case Drain:
			end(d.Replica)
		case Preload:
			require.True(t, hosts[d.Host].Alive)
			require.False(t, used[d.Host], "host %s is used by two decisions", d.Host)
			used[d.Host] = true
		}
	}
	requireLastResort(t, f, decisions, hosts)
}

// requireLastResort fails if a replica spans fabric domains although one domain has
// enough free hosts for it, or if a replica in one domain has the reason of one that
// spans them and replaces none.
func requireLastResort(t require.TestingT, f Fleet, decisions []Decision, hosts map[host.ID]*Host) {
	for at, d := range decisions {
		swap, _ := d.(Swap)
		form, _ := d.(Form)
		ids := slices.Concat(swap.Hosts, form.Hosts)
		if d.Why() != ReasonCrossFabric {
			for _, id := range ids {
				require.Equal(t, hosts[ids[0]].Fabric, hosts[id].Fabric, "%+v", d)
			}
			continue
		}
		if len(ids) > 0 && !spansFabrics(ids, hosts) {
			require.True(t, hasSpanningReplica(f, swap, form, hosts), "%+v replaces no replica that spans fabric domains", d)
			continue
		}
		before := newPlanner(&f)
		for _, earlier := range decisions[:at] {
			wait, _ := earlier.(Wait)
			swap, _ := earlier.(Swap)
			form, _ := earlier.(Form)
			for _, id := range slices.Concat(wait.Reserved, swap.Hosts, form.Hosts) {
				before.take([]int{before.hostAt[id]})
			}
		}
		for i := range f.Deployments {
			if name := f.Deployments[i].Spec.Deployment; name == swap.Spec.Deployment || name == form.Spec.Deployment {
				require.Nil(t, before.pickGroup(i), "one fabric domain had enough free hosts for %+v", d)
			}
		}
	}
}

// spansFabrics reports whether hosts lie in several fabric domains.
func spansFabrics(ids []host.ID, hosts map[host.ID]*Host) bool {
	for _, id := range ids {
		if hosts[id].Fabric != hosts[ids[0]].Fabric {
			return true
		}
	}
	return false
}

// hasSpanningReplica reports whether a replica of the deployment of swap or form spans fabric domains.
func hasSpanningReplica(f Fleet, swap Swap, form Form, hosts map[host.ID]*Host) bool {
	return slices.ContainsFunc(f.Replicas, func(r Replica) bool {
		name := r.Spec.Deployment
		return (name == swap.Spec.Deployment || name == form.Spec.Deployment) && spansFabrics(r.Hosts, hosts)
	})
}

// drawFleet draws a fleet snapshot in which each host is in at most one claim.
func drawFleet(t *rapid.T) Fleet {
	f := Fleet{Now: epoch, WeightStore: WeightStore{Rate: 4e9, HostRate: 1e9}}
	f.Policy.ColdSpares = rapid.Bool().Draw(t, "cold")
	ago := func(label string) time.Time {
		return epoch.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, label)) * time.Second)
	}
	for i := range rapid.IntRange(1, 30).Draw(t, "hosts") {
		h := Host{
			ID:             host.ID(fmt.Sprintf("h%02d", i)),
			Fabric:         domain.Fabric(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "fabric")),
			Failure:        domain.Failure(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "failure domain")),
			Accelerators:   4,
			Alive:          rapid.IntRange(0, 3).Draw(t, "alive") > 0,
			AliveChangedAt: ago("since"),
			Losses:         rapid.IntRange(0, 4).Draw(t, "losses"),
			Slowness:       rapid.SampledFrom([]float64{0, 1, 1, 1.5}).Draw(t, "slow"),
			ClaimableAt:    epoch.Add(time.Duration(rapid.IntRange(-20, 5).Draw(t, "claimable")) * time.Second),
		}
		h.LastLost = h.AliveChangedAt
		h.Evacuated = rapid.IntRange(0, 3).Draw(t, "evacuated") == 0
		h.Stop.Requested = rapid.IntRange(0, 5).Draw(t, "stop") == 0
		if rapid.Bool().Draw(t, "holds") {
			h.Weights = []Weights{{Model: "m", Version: "1"}}
		}
		f.Hosts = append(f.Hosts, h)
	}
	for i := range 3 {
		f.Deployments = append(f.Deployments, Deployment{
			Spec:                 replica.Spec{Deployment: fmt.Sprint("d", i), Model: "m", Version: "1"},
			Replicas:             rapid.IntRange(0, 4).Draw(t, "replicas"),
			MaxReplicas:          rapid.IntRange(0, 5).Draw(t, "max"),
			HostsPerReplica:      rapid.IntRange(0, 4).Draw(t, "size"),
			Priority:             rapid.IntRange(0, 2).Draw(t, "priority"),
			CrossFabric:          rapid.Bool().Draw(t, "cross"),
			UnderReplicatedSince: ago("lacking"),
			DowntimeCost:         1,
			StrandedCost:         rapid.Float64Range(0, 1).Draw(t, "stranded"),
			LoadCost:             LoadCost{BytesPerHost: 1e11, LocalLoadTime: 30 * time.Second},
		})
	}
	f.Deployments[1].Outside = []domain.Failure{"x"}
	f.Deployments[0].Fabrics = []domain.Fabric{"a", "b"}
	drawReplicas(t, &f)
	return f
}

// drawReplicas claims sequences of hosts of random length for replicas.
func drawReplicas(t *rapid.T, f *Fleet) {
	next := 0
	for i := range rapid.IntRange(0, 8).Draw(t, "claims") {
		size := rapid.IntRange(1, 4).Draw(t, "members")
		if next+size > len(f.Hosts) {
			return
		}
		r := Replica{CreatedAt: epoch.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "created")) * time.Second)}
		r.ID = replica.ID(fmt.Sprint("r", i))
		r.Spec = replica.Spec{
			Deployment: fmt.Sprint("d", rapid.IntRange(0, 3).Draw(t, "dep")),
			Model:      "m",
			Version:    rapid.SampledFrom([]string{"0", "1"}).Draw(t, "version"),
		}
		r.State = rapid.SampledFrom([]replica.State{
			replica.StateLoading, replica.StateServing, replica.StateDegraded, replica.StateDraining,
		}).Draw(t, "state")
		r.Idle = rapid.Bool().Draw(t, "idle")
		for range size {
			r.Hosts = append(r.Hosts, f.Hosts[next].ID)
			f.Hosts[next].Replica = r.ID
			next++
		}
		f.Replicas = append(f.Replicas, r)
	}
}

func TestDecideKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		decisions := Decide(f)
		requireInvariants(t, f, decisions)
		require.Equal(t, decisions, Decide(f), "the same fleet snapshot gave other decisions")
	})
}

const (
	// initialClaims is the number of replicas that the simulation wants and allows as extra
	// ones.
	initialClaims = 10
	// claimsPerEvent bounds how many claims one event of a script may cause.
	claimsPerEvent = 4
)

func TestFaultTracesKeepInvariants(t *testing.T) {
	for _, seed := range []uint64{9, 100, 101} {
		drafts, lookups := deployment("drafts", 5, 4, 2), deployment("lookups", 2, 2, 1)
		drafts.CrossFabric = true
		drafts.DowntimeCost = []float64{10, 20000}[seed%2]
		lookups.MaxReplicas = 5
		sim := newSimulation(t, perFabric, drafts, lookups)
		sim.round = idleRoundTime
		sim.script(faultTrace(seed))
		sim.run(48 * time.Hour)
		require.NotZero(t, sim.claims, "seed %d", seed)
		require.LessOrEqual(t, sim.claims, initialClaims+claimsPerEvent*sim.eventCount, "seed %d: too many claims", seed)
	}
}
