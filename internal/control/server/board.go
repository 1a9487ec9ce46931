package server

import (
	"reflect"
	"slices"
	"strconv"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// board holds the fleet view with the version at which each part last changed, so
// that each entry is sent only what it has not had.
type board struct {
	version uint64
	// structure is the version at which something but loads last changed.
	structure  uint64
	term       uint64
	revision   view.Revision
	routes     map[string]posted[view.Route]
	loads      map[string]posted[view.ReplicaLoad]
	services   map[string]posted[view.Service]
	quarantine map[string]posted[view.Quarantine]
	// freedAt is the version at which a body was last freed. A push that spans it
	// carries the whole view, since Removed does not name bodies.
	freedAt uint64
	// removed are the versions at which routes and services went.
	removed map[string]uint64
	// ready says that the view is fit to be pushed.
	ready bool
}

type posted[T any] struct {
	value   T
	version uint64
}

func newBoard() *board {
	return &board{
		routes:     map[string]posted[view.Route]{},
		loads:      map[string]posted[view.ReplicaLoad]{},
		services:   map[string]posted[view.Service]{},
		quarantine: map[string]posted[view.Quarantine]{},
		removed:    map[string]uint64{},
	}
}

// update posts the view of a picture.
func (b *board) update(p *picture) {
	b.term = p.term
	b.revision = p.revision
	next := b.version + 1
	routes, loads := p.routes()
	changed := post(b.routes, b.removed, routes, next)
	changed = post(b.services, b.removed, p.services(), next) || changed
	freed := map[string]uint64{}
	changed = post(b.quarantine, freed, p.bodies(), next) || changed
	if len(freed) > 0 {
		b.freedAt = next
	}
	if changed || !b.ready {
		b.version, b.structure = next, next
	}
	if post(b.loads, map[string]uint64{}, loads, next) {
		b.version = next
	}
	b.ready = true
}

func post[T any](have map[string]posted[T], removed map[string]uint64, want map[string]T, version uint64) bool {
	changed := false
	for id, value := range want {
		if old, ok := have[id]; ok && reflect.DeepEqual(old.value, value) {
			continue
		}
		have[id] = posted[T]{value: value, version: version}
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

// since returns a push of what changed after a version; 0 asks for the whole view.
func (b *board) since(version uint64) *message.ViewPush {
	if version < b.freedAt {
		version = 0
	}
	push := &message.ViewPush{Delta: version > 0}
	push.View.Epoch = b.term
	push.View.Sequence = b.version
	push.View.Revision = b.revision
	for _, id := range slices.Sorted(keysOf(b.routes)) {
		route, load := b.routes[id], b.loads[id]
		switch {
		case route.version > version:
			route.value.Load = load.value.Load
			push.View.Routes = append(push.View.Routes, route.value)
		case load.version > version:
			push.View.Loads = append(push.View.Loads, load.value)
		}
	}
	for _, id := range slices.Sorted(keysOf(b.services)) {
		if s := b.services[id]; s.version > version {
			push.View.Services = append(push.View.Services, s.value)
		}
	}
	for _, id := range slices.Sorted(keysOf(b.quarantine)) {
		if q := b.quarantine[id]; q.version > version {
			push.View.Quarantine = append(push.View.Quarantine, q.value)
		}
	}
	if version == 0 {
		return push
	}
	for _, id := range slices.Sorted(keysOf(b.removed)) {
		if b.removed[id] > version {
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

// routes returns the replicas that entries may know of, without their loads, and
// their loads, by their IDs.
func (p *picture) routes() (map[string]view.Route, map[string]view.ReplicaLoad) {
	routes := map[string]view.Route{}
	loads := map[string]view.ReplicaLoad{}
	for _, r := range p.replicas {
		st := p.stateOf(r)
		if st != replica.StateServing && st != replica.StateDraining {
			continue
		}
		head := p.daemons[r.Head()]
		held, _ := heldBy(head, r.ID, r.Fence)
		routes[string(r.ID)] = view.Route{
			Replica: r.WithState(st), Address: head.Info.Address, Incarnation: head.Info.Incarnation,
		}
		loads[string(r.ID)] = view.ReplicaLoad{Replica: r.ID, Load: held.Load}
	}
	return routes, loads
}

// bodies returns the suspect and quarantined bodies.
func (p *picture) bodies() map[string]view.Quarantine {
	bodies := make(map[string]view.Quarantine, len(p.quarantine))
	for _, q := range p.quarantine {
		bodies[strconv.FormatUint(q.BodyHash, 16)] = q
	}
	return bodies
}

// services returns the endpoints of plain services that may be given calls.
func (p *picture) services() map[string]view.Service {
	services := map[string]view.Service{}
	for _, h := range p.hosts {
		d, known := p.daemons[h.Info.ID]
		if !known || !d.Alive || d.Stopping || h.DrainRequested {
			continue
		}
		for _, e := range h.Info.Endpoints {
			if e.Kind != host.KindService {
				continue
			}
			service := view.Service{
				Name: e.Name, Host: h.Info.ID, Address: d.Info.Address, Incarnation: d.Info.Incarnation,
			}
			services[service.Key()] = service
		}
	}
	return services
}
