package placement

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Reason says why a decision was taken.
type Reason string

// The reasons of decisions. Their values appear in logs and in answers to operators.
const (
	ReasonReplicaWanted      Reason = "replica_wanted"      // a deployment has fewer replicas than it wants
	ReasonIdleHosts          Reason = "idle_hosts"          // an extra replica uses hosts that would be idle
	ReasonMemberLost         Reason = "member_lost"         // free hosts replace lost members
	ReasonMemberFlaps        Reason = "member_flaps"        // free hosts replace a member that was lost too often
	ReasonRemnants           Reason = "remnants"            // survivors of several degraded replicas form one
	ReasonRelocate           Reason = "relocate"            // the replica is rebuilt on other hosts
	ReasonCrossFabric        Reason = "cross_fabric"        // the replica spans fabric domains, or did so
	ReasonPlannedStop        Reason = "planned_stop"        // a member's host is to stop
	ReasonRollout            Reason = "rollout"             // the deployment's spec changed
	ReasonAdapters           Reason = "adapters"            // the deployment's adapters changed
	ReasonStraggler          Reason = "straggler"           // a member is slow
	ReasonCompaction         Reason = "compaction"          // a move frees a slot for a whole replica
	ReasonPreempted          Reason = "preempted"           // another deployment takes the hosts
	ReasonSurplus            Reason = "surplus"             // the deployment has more replicas than its limit
	ReasonDeploymentGone     Reason = "deployment_gone"     // the deployment no longer exists
	ReasonDrained            Reason = "drained"             // nothing is in flight on a draining replica
	ReasonReplaced           Reason = "replaced"            // a degraded replica is no longer needed
	ReasonObsolete           Reason = "obsolete"            // a loading replica would have to be replaced at once
	ReasonWarmSpare          Reason = "warm_spare"          // the host can take over sooner with the weights
	ReasonMemberMayReturn    Reason = "member_may_return"   // waiting for the lost members is better
	ReasonDomainDark         Reason = "domain_dark"         // the fabric domain has an outage
	ReasonStoreSaturated     Reason = "store_saturated"     // the weight store has no capacity for the load
	ReasonNoSpare            Reason = "no_spare"            // there are not enough free hosts
	ReasonHostsBeingFreed    Reason = "hosts_being_freed"   // hosts for the replica are being freed
	ReasonReplacementLoading Reason = "replacement_loading" // the replacement does not serve yet
	ReasonEvacuated          Reason = "evacuated"           // the head's failure domain is evacuated
	ReasonInFlight           Reason = "in_flight"           // requests are in flight on a draining replica
)

// Decision is one of Form, Swap, Update, Drain, Dissolve, Preload and Wait.
//
// Control commits each decision except Wait and Preload to the log, and calls Decide
// again only with a fleet snapshot that contains the outcome. A decision whose hosts or
// replicas have changed since the fleet snapshot is dropped.
type Decision interface {
	decision()
	// Why returns the decision's reason.
	Why() Reason
}

// Form claims free hosts for a new replica, under a new ID and a fence above all
// earlier ones.
type Form struct {
	Spec replica.Spec
	// Hosts are the members, the head first. Each is free and past its ClaimableAt.
	Hosts  []host.ID
	Reason Reason
}

// Swap dissolves the Old replicas and claims Hosts for one new replica, in one log
// entry, under a new ID and a fence above all earlier ones. Each host is either free
// and past its ClaimableAt, or a live member of one of Old. A member is handed over
// through its agent, which gives up the old fence before it passes on an order under
// the new one. Members of Old that are not in Hosts become free when their agent
// releases them, or when their lease and the clock drift margin have expired.
type Swap struct {
	Old    []replica.ID
	Spec   replica.Spec
	Hosts  []host.ID
	Reason Reason
}

// Update orders a serving replica's engines to load another set of adapters in
// place. The replica keeps its claim and continues to serve.
type Update struct {
	Replica replica.ID
	Spec    replica.Spec
	Reason  Reason
}

// Drain stops new requests to a replica; requests in flight are completed.
type Drain struct {
	Replica replica.ID
	Reason  Reason
}

// Dissolve ends a replica's claim. Control orders the members to release their hosts.
// Each host becomes claimable when it is released or when its lease has expired.
type Dissolve struct {
	Replica replica.ID
	Reason  Reason
}

// Preload orders a host's agent to copy weights from the store in the background, so
// that the host can later join a replica by a local load. It makes no claim and does
// not affect the engine. If the host is claimed meanwhile, its agent keeps what it
// has copied, and stops copying weights that the claim does not need.
type Preload struct {
	Host    host.ID
	Weights Weights
	Reason  Reason
}

// Wait tells operators why nothing is done about a replica, or about a replica that
// the deployment lacks. Control executes nothing for it.
type Wait struct {
	Deployment string
	// Replica is empty if the deployment lacks a replica.
	Replica replica.ID
	// Until is when the decision changes if nothing else happens before; zero if it
	// does not.
	Until time.Time
	// Reserved are free hosts reserved for the replica until it can be formed.
	Reserved []host.ID
	Reason   Reason
}

func (Form) decision()     {}
func (Swap) decision()     {}
func (Update) decision()   {}
func (Drain) decision()    {}
func (Dissolve) decision() {}
func (Preload) decision()  {}
func (Wait) decision()     {}

// Why implements Decision.
func (d Form) Why() Reason { return d.Reason }

// Why implements Decision.
func (d Swap) Why() Reason { return d.Reason }

// Why implements Decision.
func (d Update) Why() Reason { return d.Reason }

// Why implements Decision.
func (d Drain) Why() Reason { return d.Reason }

// Why implements Decision.
func (d Dissolve) Why() Reason { return d.Reason }

// Why implements Decision.
func (d Preload) Why() Reason { return d.Reason }

// Why implements Decision.
func (d Wait) Why() Reason { return d.Reason }
