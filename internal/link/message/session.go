package message

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// Announce opens a daemon's session with the control leader.
type Announce struct {
	Role host.Role `cbor:"1,keyasint"`
	Info host.Info `cbor:"2,keyasint"`
	// Revision is the configuration revision that the daemon holds, 0 for none.
	Revision view.Revision `cbor:"3,keyasint"`
	// Held are the replicas that the agent is a member of. An agent that has restarted
	// is a member of none.
	Held []HeldReplica `cbor:"4,keyasint,omitempty"`
	// Renewal is an agent's first renewal, so that its lease starts with the session. It may be nil.
	Renewal *Renewal `cbor:"5,keyasint,omitempty"`
}

// HeldReplica is an agent's own record of its membership in a replica.
type HeldReplica struct {
	Replica replica.ID    `cbor:"1,keyasint"`
	Fence   replica.Fence `cbor:"2,keyasint"`
	// Loaded reports that the engine has loaded the model.
	Loaded bool `cbor:"3,keyasint"`
	// Serving reports that this host is the head and accepts new work.
	Serving bool `cbor:"4,keyasint"`
	// Missing are the members whose heartbeats the head misses.
	Missing []host.ID `cbor:"5,keyasint,omitempty"`
	// Load is the last load report of the host's engine.
	Load view.Load `cbor:"6,keyasint"`
	// LoadPercent is the progress of loading the model, 0 to 100.
	LoadPercent int `cbor:"7,keyasint,omitempty"`
}

// Welcome accepts an Announce and opens the session.
type Welcome struct {
	// Epoch is the leader's term.
	Epoch uint64 `cbor:"1,keyasint"`
	// LeaseTTL is the duration of each grant. The daemon counts it from the time at
	// which it sent the renewal.
	LeaseTTL time.Duration `cbor:"2,keyasint"`
	// RenewInterval is the interval between the daemon's renewals.
	RenewInterval time.Duration `cbor:"3,keyasint"`
	// FenceFloor is the highest fencing number assigned for the agent's host. The
	// agent refuses orders with a lower one.
	FenceFloor replica.Fence `cbor:"4,keyasint"`
}

// NotLeader refuses a call or a session at a control host that is not the leader.
type NotLeader struct {
	// Leader is the link address of the leader, empty if unknown.
	Leader string `cbor:"1,keyasint"`
}

// Renew asks for the daemon's lease to be extended. The frame has room for several
// renewals, but control refuses those of other processes than the session's own.
type Renew struct {
	Renewals []Renewal `cbor:"1,keyasint"`
}

// Renewal is one daemon's renewal of its lease.
type Renewal struct {
	Host        host.ID          `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64           `cbor:"3,keyasint"`
	Revision    view.Revision    `cbor:"4,keyasint"`
	// EngineHealthy reports the health of the host's engine. It is true for a host
	// without an engine.
	EngineHealthy bool          `cbor:"5,keyasint"`
	Held          []HeldReplica `cbor:"6,keyasint,omitempty"`
	// Demand is an entry's recent demand by team, in requests per second.
	Demand map[string]float64 `cbor:"7,keyasint,omitempty"`
	// Shares are the shares of the teams' limits that an entry holds, 0 to 1.
	Shares map[string]float64 `cbor:"8,keyasint,omitempty"`
	// Stopping reports that a planned stop of the daemon has begun.
	Stopping bool `cbor:"10,keyasint,omitempty"`
	// Evidence is what an entry reports of requests that crash engines.
	Evidence *CrashEvidence `cbor:"9,keyasint,omitempty"`
}

// Grant answers a Renew and extends the leases.
type Grant struct {
	Grants []LeaseGrant `cbor:"1,keyasint"`
}

// LeaseGrant extends one daemon's lease to LeaseTTL after the renewal with the same
// sequence number was sent.
type LeaseGrant struct {
	Host     host.ID `cbor:"1,keyasint"`
	Sequence uint64  `cbor:"2,keyasint"`
	// Revision is the configuration revision in force, confirmed by the quorum. A
	// daemon that holds an older one accepts no new work under this grant.
	Revision view.Revision `cbor:"3,keyasint"`
	// Shares is an entry's share of each team's limit, 0 to 1.
	Shares map[string]float64 `cbor:"4,keyasint,omitempty"`
	// Holds are the requests that an entry must hold back.
	Holds *Holds `cbor:"5,keyasint,omitempty"`
	// Evacuated are the evacuated failure domains, confirmed by the quorum after the renewal was sent. It is nil if
	// no domain was ever evacuated.
	Evacuated *view.Evacuated `cbor:"6,keyasint,omitempty"`
}

// ConfigPush sends an accepted configuration to a daemon.
type ConfigPush struct {
	Revision view.Revision `cbor:"1,keyasint"`
	// YAML is the fleet configuration as the operator wrote it.
	YAML []byte `cbor:"2,keyasint"`
}

// ViewPush sends a view of the fleet, or a delta of it, to an entry.
type ViewPush struct {
	View view.View `cbor:"1,keyasint"`
	// Delta reports that the routes, services and quarantine entries of View replace
	// only those with the same keys.
	Delta bool `cbor:"2,keyasint"`
	// Removed are the keys of the replicas and services that a delta removes.
	Removed []string `cbor:"3,keyasint,omitempty"`
}

// OrderAction is the action that an order asks of an agent.
type OrderAction string

// The actions of orders.
const (
	// OrderLoad makes the host a member of a replica and loads the weights.
	OrderLoad OrderAction = "load"
	// OrderRelease ends the host's membership and frees the engine.
	OrderRelease OrderAction = "release"
	// OrderDrain stops new work on the replica's head. Running work is finished.
	OrderDrain OrderAction = "drain"
)

// Order is sent by control to an agent. Orders are sent in the order of their fencing
// numbers.
type Order struct {
	ID      uint64          `cbor:"1,keyasint"`
	Action  OrderAction     `cbor:"2,keyasint"`
	Replica replica.Replica `cbor:"3,keyasint"`
	// Addresses are the members' agent link addresses, in the order of Replica.Hosts.
	Addresses []string `cbor:"4,keyasint"`
}

// OrderDone reports the result of an order to control.
type OrderDone struct {
	ID    uint64 `cbor:"1,keyasint"`
	OK    bool   `cbor:"2,keyasint"`
	Error string `cbor:"3,keyasint,omitempty"`
}

// Goodbye announces a daemon's planned stop. It releases the daemon's lease at once
// unless Draining is set.
type Goodbye struct {
	// Draining reports that the daemon accepts no new work but still has running work
	// to finish. A second Goodbye follows when it is done.
	Draining bool `cbor:"1,keyasint"`
}

// Beat is a member's heartbeat to the head of its replica.
type Beat struct {
	Replica     replica.ID       `cbor:"1,keyasint"`
	Fence       replica.Fence    `cbor:"2,keyasint"`
	Host        host.ID          `cbor:"3,keyasint"`
	Incarnation host.Incarnation `cbor:"4,keyasint"`
	Sequence    uint64           `cbor:"5,keyasint"`
	// Echo is the sequence number of the last BeatAck that the member received. It
	// proves that the member was alive after the head sent that ack. The head thus
	// measures the member's liveness by its own clock, regardless of the delay of the beat.
	Echo uint64 `cbor:"6,keyasint,omitempty"`
	// Draining reports that the member is about to leave. The head then accepts no new
	// work.
	Draining bool `cbor:"7,keyasint,omitempty"`
}

// BeatAck answers a Beat.
type BeatAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Stale reports that the head does not know this member under this fencing number.
	Stale bool `cbor:"2,keyasint"`
	// Idle reports to a draining member that the head runs nothing and accepts no more
	// work, so that the member may leave.
	Idle bool `cbor:"3,keyasint,omitempty"`
}

func (*Announce) kind() Kind { return kindAnnounce }

func (*Welcome) kind() Kind { return kindWelcome }

func (*NotLeader) kind() Kind { return kindNotLeader }

func (*Renew) kind() Kind { return kindRenew }

func (*Grant) kind() Kind { return kindGrant }

func (*ConfigPush) kind() Kind { return kindConfigPush }

func (*ViewPush) kind() Kind { return kindViewPush }

func (*Order) kind() Kind { return kindOrder }

func (*OrderDone) kind() Kind { return kindOrderDone }

func (*Goodbye) kind() Kind { return kindGoodbye }

func (*Beat) kind() Kind { return kindBeat }

func (*BeatAck) kind() Kind { return kindBeatAck }
