package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

func (m *Machine) admit(c Admit) Result {
	h, known := m.hosts[c.Info.ID]
	if !known {
		m.hosts[c.Info.ID] = &Host{Role: c.Role, Info: c.Info, FenceFloor: m.fence}
		return Done{}
	}
	if h.Info.Incarnation == c.Info.Incarnation {
		return Done{}
	}
	if slices.Contains(h.FormerIncarnations, c.Info.Incarnation) {
		return Refused{Reason: "the incarnation has lost its place to a later one"}
	}
	h.FormerIncarnations = append(h.FormerIncarnations, h.Info.Incarnation)
	if len(h.FormerIncarnations) > maxFormerIncarnations {
		h.FormerIncarnations = slices.Delete(h.FormerIncarnations, 0, len(h.FormerIncarnations)-maxFormerIncarnations)
	}
	h.Role = c.Role
	h.Info = c.Info
	return Done{}
}

func (m *Machine) forget(c Forget) Result {
	for _, id := range c.Hosts {
		if h := m.hosts[id]; h != nil && h.Claim == nil {
			delete(m.hosts, id)
		}
	}
	return Done{}
}

func (m *Machine) drain(c Drain) Result {
	h, known := m.hosts[c.Host]
	if !known {
		return Refused{Reason: "no host of that name has announced itself"}
	}
	h.DrainRequested = !c.Undo
	h.DrainReason = c.Reason
	if c.Undo {
		h.DrainReason = ""
	}
	return Done{}
}

// Host returns a copy of the replicated record of a host.
func (m *Machine) Host(id host.ID) (Host, bool) {
	h, ok := m.hosts[id]
	if !ok {
		return Host{}, false
	}
	return h.clone(), true
}

// Hosts returns copies of the records of all hosts, sorted by ID.
func (m *Machine) Hosts() []Host {
	all := make([]Host, 0, len(m.hosts))
	for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
		all = append(all, m.hosts[id].clone())
	}
	return all
}

func (h *Host) clone() Host {
	c := *h
	c.FormerIncarnations = slices.Clone(h.FormerIncarnations)
	if h.Claim != nil {
		claim := *h.Claim
		c.Claim = &claim
	}
	return c
}

// Replicas returns copies of all replicas in the order in which they were formed.
func (m *Machine) Replicas() []Replica {
	all := make([]Replica, 0, len(m.replicas))
	for _, r := range m.replicas {
		all = append(all, r.clone())
	}
	slices.SortFunc(all, func(a, b Replica) int { return cmp.Compare(a.Fence, b.Fence) })
	return all
}

func (r *Replica) clone() Replica {
	c := *r
	c.Hosts = slices.Clone(r.Hosts)
	return c
}
