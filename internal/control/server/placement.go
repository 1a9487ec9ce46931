package server

import (
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/control/placement"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// placements returns the commands that carry out placement's decisions. Nothing is
// decided before every admitted agent has been heard or the former leader's leases
// have lapsed, since only then is known who holds what.
func (p *picture) placements(orders *orderBook, seen *sightings, logger *log.Logger) []state.Command {
	seen.update(p)
	if !p.settled && !p.allHeard() {
		return nil
	}
	var commands []state.Command
	seen.waits = map[string][]string{}
	for _, d := range placement.Decide(p.fleet(orders, seen)) {
		if w, ok := d.(placement.Wait); ok {
			seen.wait(w)
		}
		c := commandFor(d)
		if c == nil {
			continue
		}
		commands = append(commands, c)
		event.PlacementDecided.On(logger).Str("action", commandName(c)).Str("reason", string(d.Why())).Msg("")
	}
	return commands
}

// commandFor returns the command of a decision, or nil for one that is not
// committed. Agents know no preload order, so spares stay cold.
func commandFor(d placement.Decision) state.Command {
	switch d := d.(type) {
	case placement.Form:
		return state.Form{Spec: d.Spec, Hosts: d.Hosts}
	case placement.Swap:
		return state.Swap{Old: d.Old, Spec: d.Spec, Hosts: d.Hosts}
	case placement.Update:
		return state.Update{Replica: d.Replica, Spec: d.Spec}
	case placement.Drain:
		return state.Advance{Replica: d.Replica, State: replica.StateDraining}
	case placement.Dissolve:
		return state.Dissolve{Replica: d.Replica}
	default:
		return nil
	}
}

func (p *picture) allHeard() bool {
	for _, d := range p.daemons {
		if d.Role == host.RoleAgent && !d.Renewed {
			return false
		}
	}
	return true
}

// fleet fills in what placement decides on.
func (p *picture) fleet(orders *orderBook, seen *sightings) placement.Fleet {
	repair := p.config.Defaults.Repair
	f := placement.Fleet{Now: p.now, Policy: placement.Policy{
		MaxHold: repair.ReturnWait, FlapLosses: repair.FlapLosses, FlapBackoff: repair.FlapHold,
		StragglerSlowness: repair.StragglerFactor, ColdSpares: true,
	}}
	f.WeightStore = placement.WeightStore{
		Rate: float64(p.config.WeightStore.Rate), HostRate: float64(p.config.WeightStore.HostRate),
	}
	for _, h := range p.hosts {
		if _, engine := h.Info.Engine(); engine {
			f.Hosts = append(f.Hosts, p.placementHost(h, seen))
		}
	}
	for _, r := range p.replicas {
		f.Replicas = append(f.Replicas, p.placementReplica(r, orders, seen))
	}
	for _, d := range p.config.Deployments {
		f.Deployments = append(f.Deployments, p.placementDeployment(d, seen))
	}
	return f
}

func (p *picture) placementHost(h state.Host, seen *sightings) placement.Host {
	d := p.daemons[h.Info.ID]
	engine, _ := h.Info.Engine()
	allowed := p.config.ForHost(h.Info.ID, h.Info.Failure, h.Info.Fabric).Placement.Allowed
	out := placement.Host{
		ID: h.Info.ID, Failure: h.Info.Failure, Fabric: h.Info.Fabric, Accelerators: engine.Accelerators,
		Alive: d.Alive && (d.EngineHealthy || !d.Renewed), AliveChangedAt: d.AliveChangedAt, LastLost: d.LastLost, Losses: d.Losses(p.now),
		Stop:    placement.PlannedStop{Requested: h.DrainRequested || d.Stopping || !allowed},
		Weights: seen.weights[h.Info.ID],
	}
	if d.EngineHealthChangedAt.After(out.AliveChangedAt) {
		out.AliveChangedAt = d.EngineHealthChangedAt
	}
	if h.Claim != nil {
		out.Replica = h.Claim.Replica
	}
	return out
}

func (p *picture) placementReplica(r state.Replica, orders *orderBook, seen *sightings) placement.Replica {
	out := placement.Replica{Replica: r.Replica, CreatedAt: time.UnixMilli(r.FormedUnixMs)}
	out.State = p.placementState(r)
	out.Idle = r.State == replica.StateDraining && p.drained(r, orders)
	for _, id := range r.Hosts {
		out.Members = append(out.Members, seen.member(p, r, id))
	}
	return out
}

// placementState is stateOf, but for a replica whose head stops: it serves until
// its replacement does.
func (p *picture) placementState(r state.Replica) replica.State {
	st := p.stateOf(r)
	if st == replica.StateDraining && r.State != replica.StateDraining {
		return r.State
	}
	return st
}

// drained reports whether nothing is in flight at the head of a draining replica.
func (p *picture) drained(r state.Replica, orders *orderBook) bool {
	head := p.daemons[r.Head()]
	if !head.Alive {
		return true
	}
	if !head.Renewed {
		return false
	}
	_, holds := heldBy(head, r.ID, r.Fence)
	return !holds || orders.succeeded(head.Info.ID, orderID(message.OrderDrain, r.Fence, 0))
}

func (p *picture) placementDeployment(d config.Deployment, seen *sightings) placement.Deployment {
	v := p.config.ForDeployment(d.Name).Objectives
	out := placement.Deployment{
		Spec: specOf(d), Replicas: d.Replicas, MaxReplicas: d.MaxReplicas, HostsPerReplica: d.HostsPerReplica, Priority: d.Priority,
		CrossFabric:  d.AcceptCrossFabric,
		Rollout:      placement.Rollout{MaxSurge: d.Rollout.Extra},
		DowntimeCost: v.GroupDowntime, StrandedCost: v.StrandedAccelerators,
		LoadCost:             placement.LoadCost{LocalLoadTime: seen.loadTime(d.Name)},
		UnderReplicatedSince: seen.lacking[d.Name],
	}
	if d.Rollout.Extra == 0 {
		out.Rollout.MaxUnavailable = 1
	}
	if m, ok := p.config.Model(d.Model); ok {
		if version, ok := m.Version(d.Version); ok {
			out.LoadCost.BytesPerHost = float64(version.Weights) / float64(d.HostsPerReplica)
		}
	}
	return out
}
