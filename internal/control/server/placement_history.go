package server

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/control/placement"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// placementHistory is the state that the leader keeps for placement between two fleet snapshots.
type placementHistory struct {
	members map[memberKey]memberObservation
	// hostWeights holds the weights that each host has been ready with, in the order in which that
	// was first observed, at most maxWeightsPerHost.
	hostWeights map[host.ID][]placement.Weights
	// underReplicatedSince is the time since which a deployment has had too few replicas.
	underReplicatedSince map[string]time.Time
	// loadTimes is how long the last replica of each deployment took from its formation to the end
	// of its loading state.
	loadTimes map[string]time.Duration
	// loading is true for the replicas that were in the loading state at the last update.
	loading map[replica.ID]bool
	// waitReasons holds the reasons for which placement waits, by deployment.
	waitReasons map[string][]string
}

// memberKey identifies a member of a replica.
type memberKey struct {
	replica replica.ID
	host    host.ID
}

// memberObservation is the last observed state of a member and the time since which it has been in
// it.
type memberObservation struct {
	state placement.MemberState
	since time.Time
}

const (
	maxWeightsPerHost = 4
	// defaultLoadTime is assumed for a deployment of which no replica has loaded under this leader.
	defaultLoadTime = 30 * time.Second
)

func newPlacementHistory() *placementHistory {
	return &placementHistory{
		members:              map[memberKey]memberObservation{},
		hostWeights:          map[host.ID][]placement.Weights{},
		underReplicatedSince: map[string]time.Time{},
		loadTimes:            map[string]time.Duration{},
		loading:              map[replica.ID]bool{},
	}
}

func (s *placementHistory) loadTime(deployment string) time.Duration {
	if load, known := s.loadTimes[deployment]; known {
		return load
	}
	return defaultLoadTime
}

func (s *placementHistory) addWaitReason(w placement.Wait) {
	reason := string(w.Reason)
	if !slices.Contains(s.waitReasons[w.Deployment], reason) {
		s.waitReasons[w.Deployment] = append(s.waitReasons[w.Deployment], reason)
	}
}

// update records the state of fleet.
func (s *placementHistory) update(fleet *fleetSnapshot) {
	members := map[memberKey]memberObservation{}
	loading := map[replica.ID]bool{}
	counts := map[string]int{}
	for _, r := range fleet.replicas {
		if r.State != replica.StateDraining && !fleet.isHeadEvacuated(r) {
			counts[r.Spec.Deployment]++
		}
		for _, id := range r.Hosts {
			key := memberKey{r.ID, id}
			members[key] = s.observeMember(fleet, r, id, s.members[key])
		}
		loading[r.ID] = r.State == replica.StateLoading
		if s.loading[r.ID] && !loading[r.ID] {
			s.loadTimes[r.Spec.Deployment] = fleet.now.Sub(time.UnixMilli(r.FormedUnixMs))
		}
	}
	s.members, s.loading = members, loading
	s.updateUnderReplicated(fleet, counts)
}

// updateUnderReplicated updates underReplicatedSince from counts, the number of replicas of each
// deployment that are neither draining nor evacuated.
func (s *placementHistory) updateUnderReplicated(fleet *fleetSnapshot, counts map[string]int) {
	since := map[string]time.Time{}
	for _, d := range fleet.config.Deployments {
		if counts[d.Name] >= d.Replicas {
			continue
		}
		since[d.Name] = fleet.now
		if earlier, known := s.underReplicatedSince[d.Name]; known {
			since[d.Name] = earlier
		}
	}
	s.underReplicatedSince = since
}

// observeMember returns the current observation of a member, and records the replica's weights for
// the host if the member is ready.
func (s *placementHistory) observeMember(fleet *fleetSnapshot, r state.Replica, id host.ID, before memberObservation) memberObservation {
	current := memberObservation{state: fleet.memberState(r, id), since: fleet.now}
	if current.state == before.state {
		current.since = before.since
	}
	if current.state == placement.MemberReady {
		s.addWeights(id, placement.Weights{Model: r.Spec.Model, Version: r.Spec.Version})
	}
	return current
}

func (s *placementHistory) addWeights(id host.ID, w placement.Weights) {
	held := s.hostWeights[id]
	if slices.Contains(held, w) {
		return
	}
	held = append(slices.Clone(held), w)
	if len(held) > maxWeightsPerHost {
		held = held[1:]
	}
	s.hostWeights[id] = held
}

// memberState returns a member's state from the reports of its agent and of the replica's head.
func (fleet *fleetSnapshot) memberState(r state.Replica, id host.ID) placement.MemberState {
	d := fleet.daemons[id]
	held, holds := heldReplica(d, r.ID, r.Fence)
	switch {
	case !d.Renewed && r.State != replica.StateLoading:
		return placement.MemberReady // Assumed until the agent renews. The loss of the agent shows in placement.Host.Alive.
	case !d.Renewed:
		return placement.MemberLoading
	case !d.EngineHealthy || fleet.headMissesMember(r, id):
		return placement.MemberMissing
	case !holds || !held.Loaded:
		return placement.MemberLoading
	default:
		return placement.MemberReady
	}
}

// headMissesMember reports whether the head of a replica that is past loading misses the heartbeats
// of a member.
func (fleet *fleetSnapshot) headMissesMember(r state.Replica, id host.ID) bool {
	held, ok := heldReplica(fleet.daemons[r.Head()], r.ID, r.Fence)
	return ok && r.State != replica.StateLoading && slices.Contains(held.Missing, id)
}

// placementMember returns a member in the form that placement takes. A member that has been loading
// for longer than repair.load_timeout counts as missing from the end of that time on.
func (s *placementHistory) placementMember(fleet *fleetSnapshot, r state.Replica, id host.ID) placement.Member {
	last := s.members[memberKey{r.ID, id}]
	m := placement.Member{State: last.state}
	switch last.state {
	case placement.MemberMissing:
		m.MissingSince = last.since
	case placement.MemberLoading:
		held, _ := heldReplica(fleet.daemons[id], r.ID, r.Fence)
		m.Progress = float64(held.LoadPercent) / 100
		w := placement.Weights{Model: r.Spec.Model, Version: r.Spec.Version}
		m.FromStore = !slices.Contains(s.hostWeights[id], w)
		if timeout := last.since.Add(fleet.config.Defaults.Repair.LoadTimeout); !fleet.now.Before(timeout) {
			m = placement.Member{State: placement.MemberMissing, MissingSince: timeout}
		}
	default:
	}
	return m
}
