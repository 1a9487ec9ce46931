// Package placement decides which hosts form which replica. Decide is a pure
// function from a snapshot of the fleet to typed decisions, each with its reason.
package placement

import (
	"slices"
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

// PlannedStop is an operator's request to take a host out of service.
type PlannedStop struct {
	// Requested is true if a stop was requested.
	Requested bool
	// Deadline is the latest time of the stop. Zero gives the replacement as much time as it
	// needs.
	Deadline time.Time
}

// Host is a host as control knows it.
type Host struct {
	ID           host.ID
	Failure      domain.Failure
	Fabric       domain.Fabric
	Accelerators int
	// Alive is true while the host's lease is renewed and its engine answers. A host
	// that is not alive is lost.
	Alive bool
	// AliveChangedAt is when Alive last changed.
	AliveChangedAt time.Time
	// LastLost is when the host was last lost; zero if it never was.
	LastLost time.Time
	// Losses counts how often the host was lost in the last hour.
	Losses int
	Stop   PlannedStop
	// Evacuated is true if no requests are sent to the host's failure domain. The host is used again afterwards.
	Evacuated bool
	// ClaimableAt is the time from which a new claim may use the host: when its
	// agent released it, or when its lease and the clock drift margin have expired.
	// It is zero for a live member whose agent can accept a successor claim's
	// higher fence.
	ClaimableAt time.Time
	// Weights lists the weights on the host's own disk or in its memory.
	Weights []Weights
	// Slowness is the factor by which the host is slower than its peers; 0 and 1 are normal.
	Slowness float64
	// SlowSince is when Slowness last rose above normal.
	SlowSince time.Time
	// Replica is the replica that claims the host; empty if there is none.
	Replica replica.ID
	// Preloading is true while the host copies weights from the store for a Preload.
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

// slowness returns the host's slowness factor, which is at least 1.
func (h *Host) slowness() float64 {
	return max(h.Slowness, 1)
}

// MemberState is the state of one member of a replica.
type MemberState string

// The states of a member. The zero value counts as ready.
const (
	// MemberReady is a member that has loaded the model.
	MemberReady MemberState = "ready"
	// MemberLoading is a member that loads the weights.
	MemberLoading MemberState = "loading"
	// MemberMissing is a member that does not answer the head, whose engine is
	// unhealthy, or whose load takes too long. Its host may be alive.
	MemberMissing MemberState = "missing"
)

// Member is the state of one member of a replica.
type Member struct {
	State MemberState
	// FromStore is true if the member loads from the weight store.
	FromStore bool
	// Progress is the progress of the load, from 0 to 1.
	Progress float64
	// MissingSince is when a member whose host is alive went missing.
	MissingSince time.Time
}

// Replica is a claimed replica with the state of its members.
type Replica struct {
	replica.Replica
	// Members are in the order of Hosts; nil counts every member as ready.
	Members []Member
	// CreatedAt is when the claim was committed.
	CreatedAt time.Time
	// Idle is true if no request is in flight.
	Idle bool
}

// Rollout bounds how a deployment moves to another spec. The zero value keeps full
// capacity and builds one replacement at a time.
type Rollout struct {
	// MaxSurge is how many replicas may exist beyond those wanted; 0 counts as 1.
	MaxSurge int
	// MaxUnavailable is how many wanted replicas may be missing because of the rollout.
	MaxUnavailable int
}

// LoadCost is the cost of loading one member.
type LoadCost struct {
	// BytesPerHost is how many bytes a host that lacks the weights copies from the
	// weight store.
	BytesPerHost float64
	// LocalLoadTime is the time from holding the weights to being ready.
	LocalLoadTime time.Duration
}

// Deployment is a deployment that an operator wants to be served.
type Deployment struct {
	// Spec names the deployment and the model, version and adapters to serve.
	Spec replica.Spec
	// Replicas is the number wanted.
	Replicas int
	// MaxReplicas allows extra replicas on hosts that would be idle; 0 counts as Replicas.
	MaxReplicas     int
	HostsPerReplica int
	// Priority allows the deployment to take hosts from those of lower priority.
	Priority int
	// Outside are the failure domains that are in none of the regions allowed.
	Outside []domain.Failure
	// Fabrics are the fabric domains allowed; empty allows all.
	Fabrics []domain.Fabric
	// CrossFabric allows a replica to span several fabric domains as a last resort.
	CrossFabric bool
	Rollout     Rollout
	// DowntimeCost is the cost of one second of downtime of one replica.
	DowntimeCost float64
	// StrandedCost is the cost of one second of one stranded accelerator, which
	// is one that works but serves no replica.
	StrandedCost float64
	LoadCost     LoadCost
	// UnderReplicatedSince is when the deployment began to have fewer claims than wanted
	// replicas; zero if it has enough. A replica may span fabric domains only once
	// this has lasted for the policy's CrossFabricHold.
	UnderReplicatedSince time.Time
}

// weights returns the weights that the deployment's replicas load.
func (d *Deployment) weights() Weights {
	return Weights{Model: d.Spec.Model, Version: d.Spec.Version}
}

// maxReplicas returns the largest number of replicas allowed.
func (d *Deployment) maxReplicas() int {
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

// allowsHost reports whether the deployment may use a host of a failure domain.
func (d *Deployment) allowsHost(h *Host) bool { return !slices.Contains(d.Outside, h.Failure) }

// WeightStore is the rate-limited store that weights are copied from.
type WeightStore struct {
	// Rate is the total rate of all loads in bytes per second; 0 is unlimited.
	Rate float64
	// HostRate is the largest rate of one host in bytes per second; 0 is unlimited.
	HostRate float64
}

// Fleet is a snapshot of the fleet. Decide does not change it.
type Fleet struct {
	Now         time.Time
	Hosts       []Host
	Replicas    []Replica
	Deployments []Deployment
	WeightStore WeightStore
	Policy      Policy
}
