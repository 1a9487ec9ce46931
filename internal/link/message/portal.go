package message

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
)

// Heard is an endpoint's latest announcement.
type Heard struct {
	Endpoint roster.Endpoint `cbor:"1,keyasint"`
	// Age is the time since the announcement was received from the endpoint.
	Age time.Duration `cbor:"2,keyasint"`
	// Cold is how much longer the endpoint is cold, as far as the sender knows.
	Cold time.Duration `cbor:"3,keyasint,omitempty"`
}

// RosterUpdate passes announcements of endpoints between control hosts. It is not
// answered.
type RosterUpdate struct {
	Heard []Heard `cbor:"1,keyasint,omitempty"`
	// Hosts are the control hosts with their addresses. They are set in the first message of a stream and after each change, for a host that
	// was away when one of them was replaced, and for one that has lost its disk and whose seeds are gone.
	Hosts []Founder `cbor:"2,keyasint,omitempty"`
	// Traffic reports that callers' requests have begun. It is set while a service has a warm-up limit.
	Traffic bool `cbor:"3,keyasint,omitempty"`
}

// Subscribe asks a control host for updates of the fleet snapshot until the stream
// ends. The gateway sends its periodic GatewayReport on the same stream.
type Subscribe struct {
	// FailureDomain is that of the gateway.
	FailureDomain string `cbor:"1,keyasint"`
	// Question is the number of the gateway's first question, see Question.
	Question uint64 `cbor:"2,keyasint,omitempty"`
}

// Question asks a control host for the newest configuration, and for the evidence that it is the newest. It is answered by
// Picture.Confirmed. The numbers of a gateway's questions rise.
type Question struct {
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Urgent reports that a caller's request waits for the answer.
	Urgent bool `cbor:"2,keyasint,omitempty"`
}

// Picture is an update of the fleet snapshot that a control host sends to a
// subscribed gateway. The first one on a stream is complete. Later ones omit the
// document and the endpoints that have not changed.
type Picture struct {
	// Version is the version of the routes in force, 0 if there are none yet.
	Version uint64 `cbor:"1,keyasint"`
	// Document contains the routes in the form in which the operator sent them. It is
	// empty if they have not changed.
	Document []byte `cbor:"2,keyasint,omitempty"`
	// Endpoints are the endpoints that have changed, or all known ones if Complete.
	Endpoints []roster.Endpoint `cbor:"3,keyasint,omitempty"`
	// Complete reports that Endpoints is the whole list.
	Complete bool `cbor:"4,keyasint,omitempty"`
	// Leader is the link address of the control leader, if one is known.
	Leader string `cbor:"5,keyasint,omitempty"`
	// Hosts are the link addresses of all control hosts.
	Hosts []string `cbor:"8,keyasint,omitempty"`
	// Holds are the requests that the gateway must hold back.
	Holds Holds `cbor:"10,keyasint"`
	// Limits are the rate limits of endpoints that have changed, or all if Complete, with permits for the gateway.
	Limits []EndpointLimit `cbor:"11,keyasint,omitempty"`
	// Granting reports that the control host leads and grants permits.
	Granting bool `cbor:"12,keyasint,omitempty"`
	// Partial reports that only Leader, Limits, Granting and WarmUp are set.
	Partial bool `cbor:"13,keyasint,omitempty"`
	// Lost are the IDs of the endpoints that control considers dead.
	Lost []string `cbor:"6,keyasint,omitempty"`
	// Confirmed is the number of the latest question to which this is the answer: a majority of the control hosts has
	// confirmed after the question arrived that Version and EvacuationRevision are in force. It is 0 if none was answered on this stream.
	Confirmed uint64 `cbor:"14,keyasint,omitempty"`
	// WarmUp is nil if no service has a warm-up limit.
	WarmUp *WarmUp `cbor:"17,keyasint,omitempty"`
	// Gateways is the number of gateways that report to the control host.
	Gateways int `cbor:"7,keyasint,omitempty"`
	// EvacuationRevision is that of the evacuated failure domains, 0 if none was ever evacuated.
	EvacuationRevision uint64 `cbor:"15,keyasint,omitempty"`
	// Evacuated is nil if the evacuated failure domains have not changed since the last update.
	Evacuated *Evacuated `cbor:"16,keyasint,omitempty"`
}

// Evacuated are the failure domains to whose endpoints no request is sent, sorted.
type Evacuated struct {
	Domains []string `cbor:"1,keyasint,omitempty"`
}

// HeadReport is a gateway's observation of the head of a replica.
type HeadReport struct {
	// ID is the ID of the head's endpoint.
	ID string `cbor:"1,keyasint"`
	// Waiting is the number of requests in flight at the head.
	Waiting int `cbor:"2,keyasint,omitempty"`
	// WaitingFor is how long they have been waiting for data: the time since the head's last byte arrived or, if there are no open
	// streams and that is later, since a request was last sent to the idle head or one ended.
	WaitingFor time.Duration `cbor:"3,keyasint,omitempty"`
	// SinceLastData is the time since the head's last byte arrived, whatever was sent since. Gateways of earlier versions leave it
	// out.
	SinceLastData time.Duration `cbor:"4,keyasint,omitempty"`
}

// Demand is the load that a gateway's requests put on one model.
type Demand struct {
	Model string `cbor:"1,keyasint"`
	// EngineTime is the engine time of the requests that arrived since the last report.
	EngineTime time.Duration `cbor:"4,keyasint,omitempty"`
}

// GatewayReport is a gateway's periodic report to the control host that it subscribes
// to.
type GatewayReport struct {
	Heads  []HeadReport `cbor:"1,keyasint,omitempty"`
	Demand []Demand     `cbor:"2,keyasint,omitempty"`
	// Requests counts callers' requests since the gateway started.
	Requests uint64 `cbor:"3,keyasint,omitempty"`
	// Evidence is about requests that crash endpoints.
	Evidence CrashEvidence `cbor:"5,keyasint"`
	// Limits are the rate limits that endpoints named.
	Limits LimitReport `cbor:"6,keyasint"`
	// Question is the gateway's latest question on the configuration.
	Question Question `cbor:"7,keyasint"`
}

// Founder is one control host, a voter of the replicated log.
type Founder struct {
	Host    host.ID `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
	// Sequence counts the processes that have replaced the voter.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
}

// FounderQuery introduces a control host to another one and asks for the set of
// control hosts.
type FounderQuery struct {
	Self Founder `cbor:"1,keyasint"`
	// FirstStart reports that the whole system starts for the first time.
	FirstStart bool `cbor:"2,keyasint,omitempty"`
	// Voter is the vote that the host has or had, and Generation identifies its disk. Both are zero for a host that
	// has neither.
	Voter      host.ID `cbor:"3,keyasint,omitempty"`
	Generation uint64  `cbor:"4,keyasint,omitempty"`
}

// Founders answers a FounderQuery.
type Founders struct {
	// Decided is the set of control hosts, empty while it is not decided.
	Decided []Founder `cbor:"1,keyasint,omitempty"`
	// Seen are the control hosts that the answering host knows of.
	Seen []Founder `cbor:"2,keyasint,omitempty"`
	// Replaced reports that a majority has confirmed after the query that its Voter has another disk for good.
	Replaced bool `cbor:"3,keyasint,omitempty"`
}

// VersionQuery asks the control leader which version of the configuration and which evacuations are in force, for the questions of
// another host's gateways.
type VersionQuery struct {
	Urgent bool `cbor:"1,keyasint,omitempty"`
}

// VersionAnswer answers a VersionQuery.
type VersionAnswer struct {
	// Confirmed reports that a majority has confirmed Version and EvacuationRevision after the query. It is false at a host that does
	// not lead.
	Confirmed bool   `cbor:"1,keyasint,omitempty"`
	Version   uint64 `cbor:"2,keyasint,omitempty"`
	// EvacuationRevision is that of the evacuated failure domains.
	EvacuationRevision uint64 `cbor:"3,keyasint,omitempty"`
}

// Depart asks the control leader to keep the announcements of endpoints that drain or have left, so that they outlast every process.
type Depart struct {
	Endpoints []roster.Endpoint `cbor:"1,keyasint,omitempty"`
}

// DepartAnswer answers a Depart.
type DepartAnswer struct {
	// Kept reports that a majority of the control hosts has the announcements on its disks. If it is false they may be kept or not.
	Kept bool `cbor:"1,keyasint,omitempty"`
}

func (*Depart) kind() Kind { return kindDepart }

func (*DepartAnswer) kind() Kind { return kindDepartAnswer }

func (*RosterUpdate) kind() Kind { return kindRosterUpdate }

func (*Subscribe) kind() Kind { return kindSubscribe }

func (*Picture) kind() Kind { return kindPicture }

func (*GatewayReport) kind() Kind { return kindGatewayReport }

func (*FounderQuery) kind() Kind { return kindFounderQuery }

func (*Founders) kind() Kind { return kindFounders }

func (*VersionQuery) kind() Kind { return kindVersionQuery }

func (*VersionAnswer) kind() Kind { return kindVersionAnswer }
