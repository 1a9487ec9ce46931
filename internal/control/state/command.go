package state

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/ledger"
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Command is one change of the replicated state. Only this package implements it.
type Command interface{ number() commandNumber }

// Lead begins a leader's term. From then on, commands that a leader of another term
// decided are refused, however late they arrive. Its result is Done.
type Lead struct {
	Term uint64 `cbor:"1,keyasint"`
}

// ApplyConfig changes the configuration if Base is the latest revision. Its result is
// ConfigApplied.
type ApplyConfig struct {
	YAML     []byte        `cbor:"1,keyasint"`
	Base     view.Revision `cbor:"2,keyasint"`
	ChangeID string        `cbor:"3,keyasint"`
	Operator string        `cbor:"4,keyasint"`
	// Ledger and Quarantine are the policies of the configuration.
	Ledger     ledger.Policy     `cbor:"5,keyasint"`
	Quarantine quarantine.Policy `cbor:"6,keyasint"`
}

// Admit makes an incarnation the one that may hold its host's lease. The leader
// proposes it only once no other incarnation can hold a lease. Its result is Done, or
// Refused for a former incarnation.
type Admit struct {
	Role host.Role `cbor:"1,keyasint"`
	Info host.Info `cbor:"2,keyasint"`
}

// Forget removes hosts that have been lost for a long time, except those that a replica
// claims. A host that returns later starts with the highest fencing number assigned to
// any host.
// Its result is Done.
type Forget struct {
	Hosts []host.ID `cbor:"1,keyasint"`
}

// Form claims free hosts for a new replica. Its result is Formed.
type Form struct {
	Spec  replica.Spec `cbor:"1,keyasint"`
	Hosts []host.ID    `cbor:"2,keyasint"`
}

// Swap ends the Old replicas and claims Hosts for a new one. Each host must be free or a
// member of one of Old. Its result is Formed.
type Swap struct {
	Old   []replica.ID `cbor:"1,keyasint"`
	Spec  replica.Spec `cbor:"2,keyasint"`
	Hosts []host.ID    `cbor:"3,keyasint"`
}

// Update changes what a replica serves in place. Its result is Done.
type Update struct {
	Replica replica.ID   `cbor:"1,keyasint"`
	Spec    replica.Spec `cbor:"2,keyasint"`
}

// Advance moves a replica to a later state of its lifecycle. Its result is Done.
type Advance struct {
	Replica replica.ID    `cbor:"1,keyasint"`
	State   replica.State `cbor:"2,keyasint"`
}

// Dissolve ends a replica. Its hosts stay claimed until each is released. Its result is
// Done.
type Dissolve struct {
	Replica replica.ID `cbor:"1,keyasint"`
}

// Release frees hosts whose replica has ended, after their agents have released them or
// their leases have expired. Its result is Done.
type Release struct {
	Claims []ReleasedClaim `cbor:"1,keyasint"`
}

// ReleasedClaim identifies the claim of a replica on a host that is to be released.
type ReleasedClaim struct {
	Host  host.ID       `cbor:"1,keyasint"`
	Fence replica.Fence `cbor:"2,keyasint"`
}

// Drain records that a host is to leave the fleet, or with Undo that it may stay. Its
// result is Done.
type Drain struct {
	Host   host.ID `cbor:"1,keyasint"`
	Undo   bool    `cbor:"2,keyasint"`
	Reason string  `cbor:"3,keyasint"`
}

// Evacuate records that the endpoints of a failure domain are to get no new requests, or
// with Undo that they may get them again. No host of the domain needs to be known. Its
// result is Done, or Refused for a name that is empty, too long or not UTF-8, and for too
// many domains at once.
type Evacuate struct {
	Domain domain.Failure `cbor:"1,keyasint"`
	Undo   bool           `cbor:"2,keyasint"`
}

// Claim is a batch of claims of idempotency keys. Its result is Claimed.
type Claim struct {
	Items []message.ClaimItem `cbor:"1,keyasint"`
}

// Settle is a batch of settlements of claims of idempotency keys. Its result is Settled.
type Settle struct {
	Items []message.SettleItem `cbor:"1,keyasint"`
}

// Crash counts a crash of an engine against the bodies that were in flight there. Its
// result is QuarantineChanged.
type Crash struct {
	Report message.CrashReport `cbor:"1,keyasint"`
}

// ClearSuspects removes suspects whose requests have completed. Its result is
// QuarantineChanged.
type ClearSuspects struct {
	BodyHashes []uint64 `cbor:"1,keyasint"`
}

// ClearQuarantine removes a body from the quarantine and the suspects at an operator's
// request, or all bodies for BodyHash 0. Its result is QuarantineChanged.
type ClearQuarantine struct {
	BodyHash uint64 `cbor:"1,keyasint"`
}

// Hold holds the requests with a key back, since they crash engines, or releases them. Its result is
// HoldChanged.
type Hold struct {
	Hold quarantine.Hold `cbor:"1,keyasint"`
}

// commandNumber identifies the type of a command in the log.
type commandNumber uint8

// The numbers of the commands in the log. A number is never reused.
const (
	commandApplyConfig commandNumber = iota + 1
	commandAdmit
	commandForm
	commandSwap
	commandUpdate
	commandAdvance
	commandDissolve
	commandRelease
	commandDrain
	commandClaim
	commandSettle
	commandCrash
	commandClearSuspects
	commandClearQuarantine
	commandLead
	commandForget
	commandHold
	commandEvacuate
)

func (ApplyConfig) number() commandNumber     { return commandApplyConfig }
func (Admit) number() commandNumber           { return commandAdmit }
func (Form) number() commandNumber            { return commandForm }
func (Swap) number() commandNumber            { return commandSwap }
func (Update) number() commandNumber          { return commandUpdate }
func (Advance) number() commandNumber         { return commandAdvance }
func (Dissolve) number() commandNumber        { return commandDissolve }
func (Release) number() commandNumber         { return commandRelease }
func (Drain) number() commandNumber           { return commandDrain }
func (Claim) number() commandNumber           { return commandClaim }
func (Evacuate) number() commandNumber        { return commandEvacuate }
func (Forget) number() commandNumber          { return commandForget }
func (Hold) number() commandNumber            { return commandHold }
func (Lead) number() commandNumber            { return commandLead }
func (Settle) number() commandNumber          { return commandSettle }
func (Crash) number() commandNumber           { return commandCrash }
func (ClearSuspects) number() commandNumber   { return commandClearSuspects }
func (ClearQuarantine) number() commandNumber { return commandClearQuarantine }

// envelope is the encoded form of a command in the log.
type envelope struct {
	_      struct{} `cbor:",toarray"`
	Number commandNumber
	UnixMs int64
	// Term is the term of the leader that decided the command, or 0 for a caller's command.
	Term uint64
	Body cbor.RawMessage
}

// Encode returns the encoded form of a command that is proposed at now. Term is the term
// of the leader that decided the command, or 0 if it comes from a caller.
func Encode(now time.Time, term uint64, c Command) ([]byte, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", c)
	}
	data, err := cbor.Marshal(envelope{Number: c.number(), UnixMs: now.UnixMilli(), Term: term, Body: body})
	return data, errors.Wrapf(err, "encode %T", c)
}

// decode returns the command in data and its envelope.
func decode(data []byte) (Command, envelope, error) {
	var e envelope
	if err := decoding.Unmarshal(data, &e); err != nil {
		return nil, e, errors.Wrap(err, "decode command")
	}
	c, err := decodeBody(e)
	return c, e, err
}

func decodeBody(e envelope) (Command, error) {
	switch e.Number {
	case commandApplyConfig:
		return decodeAs[ApplyConfig](e.Body)
	case commandAdmit:
		return decodeAs[Admit](e.Body)
	case commandForm:
		return decodeAs[Form](e.Body)
	case commandSwap:
		return decodeAs[Swap](e.Body)
	case commandUpdate:
		return decodeAs[Update](e.Body)
	case commandAdvance:
		return decodeAs[Advance](e.Body)
	case commandDissolve:
		return decodeAs[Dissolve](e.Body)
	case commandRelease:
		return decodeAs[Release](e.Body)
	case commandDrain:
		return decodeAs[Drain](e.Body)
	case commandEvacuate:
		return decodeAs[Evacuate](e.Body)
	case commandClaim:
		return decodeAs[Claim](e.Body)
	case commandSettle:
		return decodeAs[Settle](e.Body)
	case commandCrash:
		return decodeAs[Crash](e.Body)
	case commandClearSuspects:
		return decodeAs[ClearSuspects](e.Body)
	case commandLead:
		return decodeAs[Lead](e.Body)
	case commandHold:
		return decodeAs[Hold](e.Body)
	case commandForget:
		return decodeAs[Forget](e.Body)
	case commandClearQuarantine:
		return decodeAs[ClearQuarantine](e.Body)
	default:
		return nil, errors.Errorf("unknown command %d", e.Number)
	}
}

func decodeAs[C Command](body []byte) (Command, error) {
	var c C
	if err := decoding.Unmarshal(body, &c); err != nil {
		return nil, errors.Wrapf(err, "decode %T", c)
	}
	return c, nil
}
