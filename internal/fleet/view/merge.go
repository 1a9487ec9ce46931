package view

import (
	"strconv"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Merge returns v with a delta applied. Routes, services and quarantined bodies of the
// delta replace those with the same keys, and the routes and services with the keys in
// removed are dropped. The delta's loads are then set in the routes.
func (v View) Merge(delta View, removed []string) View {
	removedKeys := make(map[string]bool, len(removed))
	for _, key := range removed {
		removedKeys[key] = true
	}
	merged := delta
	merged.Routes = mergeBy(v.Routes, delta.Routes, Route.Key, removedKeys)
	merged.Services = mergeBy(v.Services, delta.Services, Service.Key, removedKeys)
	merged.Quarantine = mergeBy(v.Quarantine, delta.Quarantine, Quarantine.key, nil)
	merged.Loads = nil
	if v.Evacuated != nil {
		merged.Evacuated = v.Evacuated.Newest(delta.Evacuated).OrNil()
	}
	applyLoads(merged.Routes, delta.Loads)
	return merged
}

func applyLoads(routes []Route, loads []ReplicaLoad) {
	byReplica := make(map[replica.ID]Load, len(loads))
	for _, l := range loads {
		byReplica[l.Replica] = l.Load
	}
	for i, r := range routes {
		if load, reported := byReplica[r.Replica.ID]; reported {
			routes[i].Load = load
		}
	}
}

// Key identifies the route in a delta.
func (r Route) Key() string { return string(r.Replica.ID) }

// Key identifies the service endpoint in a delta.
func (s Service) Key() string { return s.Name + "@" + string(s.Host) }

func (q Quarantine) key() string { return strconv.FormatUint(q.BodyHash, 16) }

func mergeBy[T any](old, changed []T, key func(T) string, removedKeys map[string]bool) []T {
	merged := make([]T, 0, len(old)+len(changed))
	replaced := make(map[string]bool, len(changed))
	for _, item := range changed {
		replaced[key(item)] = true
		merged = append(merged, item)
	}
	for _, item := range old {
		if k := key(item); !replaced[k] && !removedKeys[k] {
			merged = append(merged, item)
		}
	}
	return merged
}
