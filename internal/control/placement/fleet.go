// Package placement decides which hosts form which replica. Decide is a pure
// function from a picture of the fleet to typed decisions, each with its reason.
package placement

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Weights names one version of a model's weights.
type Weights struct {
	Model   string
	Version string
}

// PlannedStop is an operator's wish to take a host out of service.
type PlannedStop struct {
	// Wanted says that a stop was asked for.
	Wanted bool
	// At is the latest time of the stop; zero leaves as much time as the replacement needs.
	At time.Time
}

// Host is one host as control knows it.
type Host struct {
	ID           host.ID
	Failure      domain.Failure
	Fabric       domain.Fabric
	Accelerators int
	// Alive says that the host's lease is being renewed and its engine answers.
	Alive bool
	// Since is when Alive last changed: silent since, or back since.
	Since time.Time
	// LastLost is when the host last fell silent; zero if it never did.
	LastLost time.Time
	// Losses counts how often the host fell silent in the last hour.
	Losses int
	Stop   PlannedStop
	// ClaimableAt is the time from which a new claim may use the host: its agent's
	// release, or the end of its lease with the drift margin. It is zero for a
	// live member whose agent can take a higher fence of a successor claim.
	ClaimableAt time.Time
	// Weights are held on the host's own disk or memory.
	Weights []Weights
	// Slowness is the factor by which the host is slower than its peers; 0 and 1 are normal.
	Slowness float64
	// SlowSince is when Slowness last rose above normal.
	SlowSince time.Time
	// Replica is the present claim; empty if there is none.
	Replica replica.ID
	// Preloading says that the host copies weights from the store by a Preload.
	Preloading bool
}

// holds reports whether the host has w.
func (h *Host) holds(w Weights) bool {
	for _, held := range h.Weights {
		if held == w {
			return true
		}
	}
	return false
}

// slowness returns the factor, at least 1.
func (h *Host) slowness() float64 {
	return max(h.Slowness, 1)
}

// MemberState is the stage of one member of a replica.
type MemberState string

// The states of a member. The zero value counts as ready.
const (
	// MemberReady: loaded.
	MemberReady MemberState = "ready"
	// MemberLoading: loads the weights.
	MemberLoading MemberState = "loading"
	// MemberMissing: does not answer the head, or its load no longer moves, although
	// its host may be alive.
	MemberMissing MemberState = "missing"
)

// Member is the state of one member of a replica.
type Member struct {
	State MemberState
	// FromStore says that the member loads from the weight store.
	FromStore bool
	// Progress of the load, from 0 to 1.
	Progress float64
	// Since is when a member whose host is alive went missing.
	Since time.Time
}

// Replica is a claimed group with the state of its members.
type Replica struct {
	replica.Replica
	// Members are in the order of Hosts; nil counts every member as ready.
	Members []Member
	// CreatedAt is when the claim was committed.
	CreatedAt time.Time
	// Idle says that no request is in flight.
	Idle bool
}

// Rollout bounds how a deployment moves to another spec. The zero value loses no
// capacity and builds one replacement at a time.
type Rollout struct {
	// MaxSurge is how many replicas may exist beyond those wanted; 0 counts as 1.
	MaxSurge int
	// MaxUnavailable is how many wanted replicas may be missing for the rollout's sake.
	MaxUnavailable int
}

// Load is what loading one member costs.
type Load struct {
	// BytesPerHost is read from the weight store by a host that does not hold the weights.
	BytesPerHost float64
	// LocalLoad is the time from holding the weights to being ready.
	LocalLoad time.Duration
}

// Deployment is what an operator wants served.
type Deployment struct {
	// Spec names the deployment and the model, version and adapters to serve.
	Spec replica.Spec
	// Replicas is the number wanted.
	Replicas int
	// MaxReplicas allows more replicas from hosts that would be idle; 0 counts as Replicas.
	MaxReplicas     int
	HostsPerReplica int
	// Priority: a deployment may take hosts from one of lower priority.
	Priority int
	// Fabrics are the fabric domains allowed; empty allows all.
	Fabrics []domain.Fabric
	// CrossFabric allows a replica over several fabric domains as a last resort.
	CrossFabric bool
	Rollout     Rollout
	// DowntimeWeight is the cost of one group's downtime for one second.
	DowntimeWeight float64
	// StrandedWeight is the cost of one stranded accelerator for one second.
	StrandedWeight float64
	Load           Load
	// LackingSince is when the deployment began to lack a replica that no claim
	// stands for; zero if it does not. Only a lack that lasts crosses fabric domains.
	LackingSince time.Time
}

// weights returns the weights that the deployment's replicas load.
func (d *Deployment) weights() Weights {
	return Weights{Model: d.Spec.Model, Version: d.Spec.Version}
}

// limit returns the largest number of replicas allowed.
func (d *Deployment) limit() int {
	return max(d.Replicas, d.MaxReplicas)
}

// allows reports whether the deployment may use fabric domain f.
func (d *Deployment) allows(f domain.Fabric) bool {
	for _, allowed := range d.Fabrics {
		if allowed == f {
			return true
		}
	}
	return len(d.Fabrics) == 0
}

// WeightStore is the rate-limited store that weights are copied from.
type WeightStore struct {
	// Rate is bytes per second over all loads; 0 is unlimited.
	Rate float64
	// HostRate is bytes per second for one host; 0 is unlimited.
	HostRate float64
}

// Fleet is one picture of the fleet. Decide does not change it.
type Fleet struct {
	Now         time.Time
	Hosts       []Host
	Replicas    []Replica
	Deployments []Deployment
	WeightStore WeightStore
	Policy      Policy
}
