package state

import (
	"fmt"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// form claims hosts for a new replica and ends the old ones. Nothing changes unless
// every host may be claimed.
func (m *Machine) form(old []replica.ID, spec replica.Spec, hosts []host.ID) Result {
	for _, id := range old {
		if m.replicas[id] == nil {
			return Refused{Reason: fmt.Sprintf("replica %s is gone", id)}
		}
	}
	if reason := m.hostClaimRefusal(old, hosts); reason != "" {
		return Refused{Reason: reason}
	}
	for _, id := range old {
		m.endReplica(id)
	}
	m.fence++
	r := &Replica{FormedUnixMs: m.nowMs, Replica: replica.Replica{
		ID:    replica.ID(fmt.Sprintf("%s-%d", spec.Deployment, m.fence)),
		Fence: m.fence, Spec: spec, Hosts: slices.Clone(hosts), State: replica.StateLoading,
	}}
	m.replicas[r.ID] = r
	for _, id := range hosts {
		m.hosts[id].Claim = &HostClaim{Replica: r.ID, Fence: r.Fence}
		m.hosts[id].FenceFloor = r.Fence
	}
	return Formed{Replica: r.clone().Replica}
}

// hostClaimRefusal returns why a replica that replaces old may not claim the hosts, or "".
func (m *Machine) hostClaimRefusal(old []replica.ID, hosts []host.ID) string {
	if len(hosts) == 0 {
		return "a replica needs a host"
	}
	for i, id := range hosts {
		h := m.hosts[id]
		switch {
		case h == nil:
			return fmt.Sprintf("host %s is unknown", id)
		case slices.Contains(hosts[:i], id):
			return fmt.Sprintf("host %s is named twice", id)
		case h.Claim == nil:
		case h.Claim.Releasing || !slices.Contains(old, h.Claim.Replica):
			return fmt.Sprintf("host %s is claimed by %s", id, h.Claim.Replica)
		}
	}
	return ""
}

func (m *Machine) endReplica(id replica.ID) {
	for _, member := range m.replicas[id].Hosts {
		if c := m.hosts[member].Claim; c != nil && c.Replica == id {
			c.Releasing = true
		}
	}
	delete(m.replicas, id)
}

func (m *Machine) dissolve(c Dissolve) Result {
	if m.replicas[c.Replica] != nil {
		m.endReplica(c.Replica)
	}
	return Done{}
}

func (m *Machine) release(c Release) Result {
	for _, released := range c.Claims {
		h := m.hosts[released.Host]
		if h == nil || h.Claim == nil {
			continue
		}
		if h.Claim.Releasing && h.Claim.Fence == released.Fence {
			h.Claim = nil
		}
	}
	return Done{}
}

func (m *Machine) update(c Update) Result {
	r := m.replicas[c.Replica]
	if r == nil {
		return Refused{Reason: fmt.Sprintf("replica %s is gone", c.Replica)}
	}
	r.Spec = c.Spec
	r.Generation++
	return Done{}
}

// stateOrder returns the position of a state in the lifecycle of a replica, or -1 for a
// state that the replicated state does not record.
func stateOrder(s replica.State) int {
	switch s {
	case replica.StateLoading:
		return 0
	case replica.StateServing:
		return 1
	case replica.StateDraining:
		return 2
	default:
		return -1
	}
}

func (m *Machine) advance(c Advance) Result {
	r := m.replicas[c.Replica]
	if r == nil {
		return Refused{Reason: fmt.Sprintf("replica %s is gone", c.Replica)}
	}
	if stateOrder(c.State) < stateOrder(r.State) {
		return Refused{Reason: fmt.Sprintf("replica %s is %s already", c.Replica, r.State)}
	}
	r.State = c.State
	return Done{}
}
