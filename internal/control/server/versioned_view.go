package server

import (
	"reflect"
	"slices"
	"strconv"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// versionedView holds the fleet view with the version at which each part last changed, so that an
// entry is sent only what changed since its last push.
type versionedView struct {
	// version counts the updates that changed anything; it is the sequence of the view.
	version uint64
	// structureVersion is the version at which anything other than loads last changed.
	structureVersion uint64
	term             uint64
	revision         view.Revision
	routes           map[string]versioned[view.Route]
	loads            map[string]versioned[view.ReplicaLoad]
	services         map[string]versioned[view.Service]
	quarantine       map[string]versioned[view.Quarantine]
	// quarantineRemovalVersion is the version at which a body last left the quarantine. A push over
	// that version carries the whole view, since ViewPush.Removed does not list bodies.
	quarantineRemovalVersion uint64
	// removed holds the version at which each former route or service was removed.
	removed   map[string]uint64
	evacuated view.Evacuated
	// ready is set by the first update. Until then nothing is pushed.
	ready bool
}

// versioned is a value with the version at which it last changed.
type versioned[T any] struct {
	value   T
	version uint64
}

func newVersionedView() *versionedView {
	return &versionedView{
		routes:     map[string]versioned[view.Route]{},
		loads:      map[string]versioned[view.ReplicaLoad]{},
		services:   map[string]versioned[view.Service]{},
		quarantine: map[string]versioned[view.Quarantine]{},
		removed:    map[string]uint64{},
	}
}

// update replaces the view by that of fleet and assigns a new version to the parts that differ.
func (v *versionedView) update(fleet *fleetSnapshot) {
	v.term = fleet.term
	v.revision = fleet.revision
	next := v.version + 1
	routes, loads := fleet.routes()
	changed := updateVersioned(v.routes, v.removed, routes, next)
	changed = updateVersioned(v.services, v.removed, fleet.services(), next) || changed
	removedBodies := map[string]uint64{}
	changed = updateVersioned(v.quarantine, removedBodies, fleet.quarantinedBodies(), next) || changed
	if len(removedBodies) > 0 {
		v.quarantineRemovalVersion = next
	}
	changed = v.evacuated.Revision != fleet.evacuated.Revision || changed
	v.evacuated = fleet.evacuated
	if changed || !v.ready {
		v.version, v.structureVersion = next, next
	}
	if updateVersioned(v.loads, map[string]uint64{}, loads, next) {
		v.version = next
	}
	v.ready = true
}

// updateVersioned makes have equal to want, records version for each value that was added, changed
// or removed, and reports whether there was any.
func updateVersioned[T any](have map[string]versioned[T], removed map[string]uint64, want map[string]T, version uint64) bool {
	changed := false
	for id, value := range want {
		if old, ok := have[id]; ok && reflect.DeepEqual(old.value, value) {
			continue
		}
		have[id] = versioned[T]{value: value, version: version}
		delete(removed, id)
		changed = true
	}
	for id := range have {
		if _, ok := want[id]; ok {
			continue
		}
		delete(have, id)
		removed[id] = version
		changed = true
	}
	return changed
}

// changesSince returns a push with the changes after a version. For version 0 it returns the whole
// view.
func (v *versionedView) changesSince(version uint64) *message.ViewPush {
	if version < v.quarantineRemovalVersion {
		version = 0
	}
	push := &message.ViewPush{Delta: version > 0}
	push.View.Epoch = v.term
	push.View.Sequence = v.version
	push.View.Revision = v.revision
	push.View.Evacuated = v.evacuated.OrNil()
	for _, id := range slices.Sorted(keysOf(v.routes)) {
		route, load := v.routes[id], v.loads[id]
		switch {
		case route.version > version:
			route.value.Load = load.value.Load
			push.View.Routes = append(push.View.Routes, route.value)
		case load.version > version:
			push.View.Loads = append(push.View.Loads, load.value)
		}
	}
	for _, id := range slices.Sorted(keysOf(v.services)) {
		if s := v.services[id]; s.version > version {
			push.View.Services = append(push.View.Services, s.value)
		}
	}
	for _, id := range slices.Sorted(keysOf(v.quarantine)) {
		if q := v.quarantine[id]; q.version > version {
			push.View.Quarantine = append(push.View.Quarantine, q.value)
		}
	}
	if version == 0 {
		return push
	}
	for _, id := range slices.Sorted(keysOf(v.removed)) {
		if v.removed[id] > version {
			push.Removed = append(push.Removed, id)
		}
	}
	return push
}

func keysOf[V any](m map[string]V) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// routes returns the serving and draining replicas without their loads, and their loads, both by
// replica ID.
func (fleet *fleetSnapshot) routes() (map[string]view.Route, map[string]view.ReplicaLoad) {
	routes := map[string]view.Route{}
	loads := map[string]view.ReplicaLoad{}
	for _, r := range fleet.replicas {
		current := fleet.currentState(r)
		if current != replica.StateServing && current != replica.StateDraining {
			continue
		}
		head := fleet.daemons[r.Head()]
		held, _ := heldReplica(head, r.ID, r.Fence)
		routes[string(r.ID)] = view.Route{
			Replica: r.WithState(current), Address: head.Info.Address, Incarnation: head.Info.Incarnation,
			Domains: fleet.domainsOf(r.Hosts),
		}
		loads[string(r.ID)] = view.ReplicaLoad{Replica: r.ID, Load: held.Load}
	}
	return routes, loads
}

// domainsOf returns the failure domains of a replica's hosts, that of the head first and each other one once.
func (fleet *fleetSnapshot) domainsOf(hosts []host.ID) []domain.Failure {
	var domains []domain.Failure
	for _, id := range hosts {
		if d := fleet.failureDomains[id]; !slices.Contains(domains, d) {
			domains = append(domains, d)
		}
	}
	return domains
}

// quarantinedBodies returns the suspect and quarantined bodies by their hashes in hexadecimal.
func (fleet *fleetSnapshot) quarantinedBodies() map[string]view.Quarantine {
	bodies := make(map[string]view.Quarantine, len(fleet.quarantine))
	for _, q := range fleet.quarantine {
		bodies[strconv.FormatUint(q.BodyHash, 16)] = q
	}
	return bodies
}

// services returns the endpoints of plain services that may receive calls, by their keys. Those of
// lost, stopping and drained hosts are left out.
func (fleet *fleetSnapshot) services() map[string]view.Service {
	services := map[string]view.Service{}
	for _, h := range fleet.hosts {
		d, known := fleet.daemons[h.Info.ID]
		if !known || !d.Alive || d.Stopping || h.DrainRequested {
			continue
		}
		for _, e := range h.Info.Endpoints {
			if e.Kind != host.KindService {
				continue
			}
			service := view.Service{
				Name: e.Name, Host: h.Info.ID, Address: d.Info.Address, Incarnation: d.Info.Incarnation,
				Domain: h.Info.FailureDomain,
			}
			services[service.Key()] = service
		}
	}
	return services
}
