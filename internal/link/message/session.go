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
	// Revision is the configuration that the daemon holds, 0 for none.
	Revision view.Revision `cbor:"3,keyasint"`
	// Held are the replicas that an agent that did not restart still serves.
	Held []HeldReplica `cbor:"4,keyasint,omitempty"`
}

// HeldReplica is a member's own record of its place in a replica.
type HeldReplica struct {
	Replica replica.ID    `cbor:"1,keyasint"`
	Fence   replica.Fence `cbor:"2,keyasint"`
	// Loaded says that the engine has loaded the model.
	Loaded bool `cbor:"3,keyasint"`
	// Serving says that this host is head and its serving gate is open.
	Serving bool `cbor:"4,keyasint"`
	// Missing are the members whose beats the head lacks.
	Missing []host.ID `cbor:"5,keyasint,omitempty"`
	// Load is the head's last load report.
	Load view.Load `cbor:"6,keyasint"`
	// LoadPercent is the progress of loading, 0 to 100.
	LoadPercent int `cbor:"7,keyasint,omitempty"`
}

// Welcome accepts a session.
type Welcome struct {
	// Epoch is the leader's term.
	Epoch uint64 `cbor:"1,keyasint"`
	// LeaseTTL is the length of each grant, counted by the daemon from the moment
	// it sent the renewal.
	LeaseTTL time.Duration `cbor:"2,keyasint"`
	// RenewEvery is how often the daemon renews.
	RenewEvery time.Duration `cbor:"3,keyasint"`
	// FenceFloor is the highest fencing number given for the agent's host. The
	// agent passes no order with a lower one.
	FenceFloor replica.Fence `cbor:"4,keyasint"`
}

// NotLeader refuses a call at a control host that does not lead.
type NotLeader struct {
	// Leader is the link address of the leader, empty if unknown.
	Leader string `cbor:"1,keyasint"`
}

// Renew asks for the daemon's lease to be extended. A relay may carry the
// renewals of many daemons in one frame.
type Renew struct {
	Renewals []Renewal `cbor:"1,keyasint"`
}

// Renewal is one daemon's renewal.
type Renewal struct {
	Host        host.ID          `cbor:"1,keyasint"`
	Incarnation host.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64           `cbor:"3,keyasint"`
	Revision    view.Revision    `cbor:"4,keyasint"`
	// Engine tells the health of the host's engine; empty means unchanged.
	EngineHealthy bool          `cbor:"5,keyasint"`
	Held          []HeldReplica `cbor:"6,keyasint,omitempty"`
	// Demand is an entry's recent demand by team, in requests per second.
	Demand map[string]float64 `cbor:"7,keyasint,omitempty"`
	// Shares are the shares of team limits that an entry holds, 0 to 1.
	Shares map[string]float64 `cbor:"8,keyasint,omitempty"`
}

// Grant extends leases.
type Grant struct {
	Grants []LeaseGrant `cbor:"1,keyasint"`
}

// LeaseGrant extends one daemon's lease for LeaseTTL from the moment at which the
// renewal of the same sequence was sent.
type LeaseGrant struct {
	Host     host.ID `cbor:"1,keyasint"`
	Sequence uint64  `cbor:"2,keyasint"`
	// Revision is the configuration in force, confirmed by the quorum. A daemon
	// that holds another one takes no new work under this grant.
	Revision view.Revision `cbor:"3,keyasint"`
	// Shares is an entry's share of each team's limit, 0 to 1.
	Shares map[string]float64 `cbor:"4,keyasint,omitempty"`
}

// ConfigPush carries a whole accepted configuration.
type ConfigPush struct {
	Revision view.Revision `cbor:"1,keyasint"`
	// YAML is the fleet configuration as the operator wrote it.
	YAML []byte `cbor:"2,keyasint"`
}

// ViewPush carries a fleet view to an entry. With Delta set, routes, services and
// quarantine replace only those of the same identity, and Removed names replicas
// and services that are gone.
type ViewPush struct {
	View    view.View `cbor:"1,keyasint"`
	Delta   bool      `cbor:"2,keyasint"`
	Removed []string  `cbor:"3,keyasint,omitempty"`
}

// OrderAction is what an order asks of an agent.
type OrderAction string

// The orders.
const (
	// OrderLoad joins the host to a replica and loads its weights.
	OrderLoad OrderAction = "load"
	// OrderRelease leaves the replica and frees the engine.
	OrderRelease OrderAction = "release"
	// OrderDrain stops new work on the replica's head and finishes what runs.
	OrderDrain OrderAction = "drain"
)

// Order is given by control to an agent, in the order of fencing numbers.
type Order struct {
	ID      uint64          `cbor:"1,keyasint"`
	Action  OrderAction     `cbor:"2,keyasint"`
	Replica replica.Replica `cbor:"3,keyasint"`
	// Addresses are the members' agent link addresses, in the order of Replica.Hosts.
	Addresses []string `cbor:"4,keyasint"`
}

// OrderDone reports an order's end.
type OrderDone struct {
	ID    uint64 `cbor:"1,keyasint"`
	OK    bool   `cbor:"2,keyasint"`
	Error string `cbor:"3,keyasint,omitempty"`
}

// Goodbye ends a session: the daemon holds nothing any more and its lease may be
// taken as released.
type Goodbye struct {
	// Draining says that the daemon stops taking work but still finishes some.
	Draining bool `cbor:"1,keyasint"`
}

// Beat is a member's heartbeat to the head of its replica.
type Beat struct {
	Replica     replica.ID       `cbor:"1,keyasint"`
	Fence       replica.Fence    `cbor:"2,keyasint"`
	Host        host.ID          `cbor:"3,keyasint"`
	Incarnation host.Incarnation `cbor:"4,keyasint"`
	Sequence    uint64           `cbor:"5,keyasint"`
	// Echo is the sequence of the last BeatAck that the member received. The beat
	// proves the member present at a time after the head sent that ack, so the
	// head counts freshness by its own clock, however long the beat was on its way.
	Echo uint64 `cbor:"6,keyasint,omitempty"`
	// Draining says that the member is to leave: the head takes no new work.
	Draining bool `cbor:"7,keyasint,omitempty"`
}

// BeatAck answers a beat; Stale says that the head does not know this member
// under this fencing number.
type BeatAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
	Stale    bool   `cbor:"2,keyasint"`
	// Idle tells a draining member that the head runs nothing and will take no
	// more, so that the member may leave.
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
