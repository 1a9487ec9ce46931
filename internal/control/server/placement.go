package server

import (
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/control/placement"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// placementCommands returns the commands that execute placement's decisions. Placement does not run
// before every admitted agent has renewed with this leader or the leases of the former leader have
// expired, since it is not known earlier which agent holds which replica.
func (fleet *fleetSnapshot) placementCommands(orders *orderTracker, history *placementHistory, logger *log.Logger) []state.Command {
	history.update(fleet)
	if !fleet.formerLeasesExpired && !fleet.allAgentsRenewed() {
		return nil
	}
	var commands []state.Command
	history.waitReasons = map[string][]string{}
	for _, d := range placement.Decide(fleet.placementFleet(orders, history)) {
		if w, ok := d.(placement.Wait); ok {
			history.addWaitReason(w)
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

// commandFor returns the command for a decision, or nil for a decision that is not committed.
// Agents have no preload order, so spares stay cold.
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

// allAgentsRenewed reports whether every admitted agent has renewed with this leader.
func (fleet *fleetSnapshot) allAgentsRenewed() bool {
	for _, d := range fleet.daemons {
		if d.Role == host.RoleAgent && !d.Renewed {
			return false
		}
	}
	return true
}

// placementFleet returns the input of placement.Decide.
func (fleet *fleetSnapshot) placementFleet(orders *orderTracker, history *placementHistory) placement.Fleet {
	repair := fleet.config.Defaults.Repair
	f := placement.Fleet{Now: fleet.now, Policy: placement.Policy{
		MaxHold: repair.ReturnWait, FlapLosses: repair.FlapLosses, FlapBackoff: repair.FlapHold,
		StragglerSlowness: repair.StragglerFactor, ColdSpares: true,
	}}
	f.WeightStore = placement.WeightStore{
		Rate: float64(fleet.config.WeightStore.Rate), HostRate: float64(fleet.config.WeightStore.HostRate),
	}
	for _, h := range fleet.hosts {
		if _, engine := h.Info.Engine(); engine {
			f.Hosts = append(f.Hosts, fleet.placementHost(h, history))
		}
	}
	for _, r := range fleet.replicas {
		f.Replicas = append(f.Replicas, fleet.placementReplica(r, orders, history))
	}
	for _, d := range fleet.config.Deployments {
		f.Deployments = append(f.Deployments, fleet.placementDeployment(d, history))
	}
	return f
}

// placementHost returns a host in the form that placement takes. ClaimableAt remains zero, because a
// host keeps its claim until it may be claimed again. LastLost and Losses count expired leases, but
// not failures of the engine.
func (fleet *fleetSnapshot) placementHost(h state.Host, history *placementHistory) placement.Host {
	d := fleet.daemons[h.Info.ID]
	engine, _ := h.Info.Engine()
	allowed := fleet.config.ForHost(h.Info.ID, h.Info.FailureDomain, h.Info.FabricDomain).Placement.Allowed
	out := placement.Host{
		ID: h.Info.ID, Failure: h.Info.FailureDomain, Fabric: h.Info.FabricDomain, Accelerators: engine.Accelerators,
		Alive: d.Alive && (d.EngineHealthy || !d.Renewed), AliveChangedAt: d.AliveChangedAt, LastLost: d.LastLost, Losses: d.Losses(fleet.now),
		Stop:      placement.PlannedStop{Requested: h.DrainRequested || d.Stopping || !allowed},
		Evacuated: fleet.evacuated.Contains(h.Info.FailureDomain),
		Weights:   history.hostWeights[h.Info.ID],
	}
	if d.EngineHealthChangedAt.After(out.AliveChangedAt) {
		out.AliveChangedAt = d.EngineHealthChangedAt
	}
	if h.Claim != nil {
		out.Replica = h.Claim.Replica
	}
	return out
}

func (fleet *fleetSnapshot) placementReplica(r state.Replica, orders *orderTracker, history *placementHistory) placement.Replica {
	out := placement.Replica{Replica: r.Replica, CreatedAt: time.UnixMilli(r.FormedUnixMs)}
	out.State = fleet.placementState(r)
	out.Idle = r.State == replica.StateDraining && fleet.isDrained(r, orders)
	for _, id := range r.Hosts {
		out.Members = append(out.Members, history.placementMember(fleet, r, id))
	}
	return out
}

// placementState is currentState, except that a replica whose head is stopping keeps its replicated
// state: it serves until its replacement does.
func (fleet *fleetSnapshot) placementState(r state.Replica) replica.State {
	current := fleet.currentState(r)
	if current == replica.StateDraining && r.State != replica.StateDraining {
		return r.State
	}
	return current
}

// isDrained reports whether nothing is in flight at the head of a draining replica.
func (fleet *fleetSnapshot) isDrained(r state.Replica, orders *orderTracker) bool {
	head := fleet.daemons[r.Head()]
	if !head.Alive {
		return true
	}
	if !head.Renewed {
		return false
	}
	_, holds := heldReplica(head, r.ID, r.Fence)
	return !holds || orders.succeeded(head.Info.ID, orderID(message.OrderDrain, r.Fence, 0))
}

// domainsOutside returns the failure domains of the fleet's hosts whose region a deployment does not allow.
func (fleet *fleetSnapshot) domainsOutside(deployment string) []domain.Failure {
	var outside []domain.Failure
	for _, h := range fleet.hosts {
		d := h.Info.FailureDomain
		if !fleet.config.DeploymentAllows(deployment, d) && !slices.Contains(outside, d) {
			outside = append(outside, d)
		}
	}
	return outside
}

func (fleet *fleetSnapshot) placementDeployment(d config.Deployment, history *placementHistory) placement.Deployment {
	v := fleet.config.ForDeployment(d.Name).Objectives
	out := placement.Deployment{
		Spec: specOf(d), Replicas: d.Replicas, MaxReplicas: d.MaxReplicas, HostsPerReplica: d.HostsPerReplica, Priority: d.Priority,
		CrossFabric:  d.AcceptCrossFabric,
		Rollout:      placement.Rollout{MaxSurge: d.Rollout.Extra},
		DowntimeCost: v.GroupDowntime, StrandedCost: v.StrandedAccelerators,
		LoadCost:             placement.LoadCost{LocalLoadTime: history.loadTime(d.Name)},
		UnderReplicatedSince: history.underReplicatedSince[d.Name],
	}
	if len(d.AllowedRegions) > 0 {
		out.Outside = fleet.domainsOutside(d.Name)
	}
	if d.Rollout.Extra == 0 {
		out.Rollout.MaxUnavailable = 1
	}
	if m, ok := fleet.config.Model(d.Model); ok {
		if version, ok := m.Version(d.Version); ok {
			out.LoadCost.BytesPerHost = float64(version.Weights) / float64(d.HostsPerReplica)
		}
	}
	return out
}
