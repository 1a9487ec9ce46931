package server

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/control/placement"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// sightings are what the leader remembers for placement beyond one picture.
type sightings struct {
	members map[memberKey]sighting
	// weights are those that a host has been seen to hold, the latest last.
	weights map[host.ID][]placement.Weights
	// lacking is since when a deployment lacks a replica.
	lacking map[string]time.Time
	// loads are how long the last replica of a deployment took to serve.
	loads map[string]time.Duration
	// loading are the replicas that have not served yet.
	loading map[replica.ID]bool
	// waits are the reasons for which placement does nothing, by deployment.
	waits map[string][]string
}

// memberKey names a member of a replica.
type memberKey struct {
	replica replica.ID
	host    host.ID
}

// sighting is the state in which a member was last seen, and since when.
type sighting struct {
	state placement.MemberState
	since time.Time
}

const (
	maxWeightsSeen  = 4
	defaultLoadTime = 30 * time.Second
)

func newSightings() *sightings {
	return &sightings{
		members: map[memberKey]sighting{},
		weights: map[host.ID][]placement.Weights{},
		lacking: map[string]time.Time{},
		loads:   map[string]time.Duration{},
		loading: map[replica.ID]bool{},
	}
}

func (s *sightings) loadTime(deployment string) time.Duration {
	if load, seen := s.loads[deployment]; seen {
		return load
	}
	return defaultLoadTime
}

func (s *sightings) wait(w placement.Wait) {
	reason := string(w.Reason)
	if !slices.Contains(s.waits[w.Deployment], reason) {
		s.waits[w.Deployment] = append(s.waits[w.Deployment], reason)
	}
}

// update takes in what a picture shows.
func (s *sightings) update(p *picture) {
	members := map[memberKey]sighting{}
	loading := map[replica.ID]bool{}
	claimed := map[string]int{}
	for _, r := range p.replicas {
		if r.State != replica.StateDraining {
			claimed[r.Spec.Deployment]++
		}
		for _, id := range r.Hosts {
			key := memberKey{r.ID, id}
			members[key] = s.sight(p, r, id, s.members[key])
		}
		loading[r.ID] = r.State == replica.StateLoading
		if s.loading[r.ID] && !loading[r.ID] {
			s.loads[r.Spec.Deployment] = p.now.Sub(time.UnixMilli(r.FormedUnixMs))
		}
	}
	s.members, s.loading = members, loading
	s.lack(p, claimed)
}

func (s *sightings) lack(p *picture, claimed map[string]int) {
	lacking := map[string]time.Time{}
	for _, d := range p.config.Deployments {
		if claimed[d.Name] >= d.Replicas {
			continue
		}
		lacking[d.Name] = p.now
		if since, known := s.lacking[d.Name]; known {
			lacking[d.Name] = since
		}
	}
	s.lacking = lacking
}

func (s *sightings) sight(p *picture, r state.Replica, id host.ID, before sighting) sighting {
	now := sighting{state: p.memberState(r, id), since: p.now}
	if now.state == before.state {
		now.since = before.since
	}
	if now.state == placement.MemberReady {
		s.saw(id, placement.Weights{Model: r.Spec.Model, Version: r.Spec.Version})
	}
	return now
}

func (s *sightings) saw(id host.ID, w placement.Weights) {
	held := s.weights[id]
	if slices.Contains(held, w) {
		return
	}
	held = append(slices.Clone(held), w)
	if len(held) > maxWeightsSeen {
		held = held[1:]
	}
	s.weights[id] = held
}

// memberState returns a member's state by its own word and its head's.
func (p *picture) memberState(r state.Replica, id host.ID) placement.MemberState {
	d := p.daemons[id]
	held, holds := heldBy(d, r.ID, r.Fence)
	switch {
	case !d.Renewed && r.State != replica.StateLoading:
		return placement.MemberReady // Believed until the former leader's leases have lapsed.
	case !d.Renewed:
		return placement.MemberLoading
	case !d.EngineHealthy || p.headMisses(r, id):
		return placement.MemberMissing
	case !holds || !held.Loaded:
		return placement.MemberLoading
	default:
		return placement.MemberReady
	}
}

// headMisses reports whether the head of a replica that has served lacks a member's
// heartbeats.
func (p *picture) headMisses(r state.Replica, id host.ID) bool {
	held, ok := heldBy(p.daemons[r.Head()], r.ID, r.Fence)
	return ok && r.State != replica.StateLoading && slices.Contains(held.Missing, id)
}

// member returns a member as placement sees it. One that loads for longer than the
// configuration allows counts as missing.
func (s *sightings) member(p *picture, r state.Replica, id host.ID) placement.Member {
	seen := s.members[memberKey{r.ID, id}]
	m := placement.Member{State: seen.state}
	switch seen.state {
	case placement.MemberMissing:
		m.MissingSince = seen.since
	case placement.MemberLoading:
		held, _ := heldBy(p.daemons[id], r.ID, r.Fence)
		m.Progress = float64(held.LoadPercent) / 100
		w := placement.Weights{Model: r.Spec.Model, Version: r.Spec.Version}
		m.FromStore = !slices.Contains(s.weights[id], w)
		if late := seen.since.Add(p.config.Defaults.Repair.LoadTimeout); !p.now.Before(late) {
			m = placement.Member{State: placement.MemberMissing, MissingSince: late}
		}
	default:
	}
	return m
}
