package state

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/ledger"
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Command is one change of the replicated state. Only this package implements it.
type Command interface{ number() commandNumber }

// Lead opens a leader's term. From then on commands that a leader of another term
// decided are refused, however late they come. It answers with Done.
type Lead struct {
	Term uint64 `cbor:"1,keyasint"`
}

// ApplyConfig accepts a configuration, if Base is the latest revision. It answers
// with ConfigApplied.
type ApplyConfig struct {
	YAML     []byte        `cbor:"1,keyasint"`
	Base     view.Revision `cbor:"2,keyasint"`
	ChangeID string        `cbor:"3,keyasint"`
	Operator string        `cbor:"4,keyasint"`
	// Ledger and Quarantine are the policies that the configuration asks for.
	Ledger     ledger.Policy     `cbor:"5,keyasint"`
	Quarantine quarantine.Policy `cbor:"6,keyasint"`
}

// Admit makes an incarnation the one that may hold its host's lease. The leader
// proposes it only once no other incarnation can hold one. It answers with Done.
type Admit struct {
	Role host.Role `cbor:"1,keyasint"`
	Info host.Info `cbor:"2,keyasint"`
}

// Forget drops hosts that have been gone for long. Those with a claim stay. A host that
// comes back starts from the highest fencing number given at all. It answers with Done.
type Forget struct {
	Hosts []host.ID `cbor:"1,keyasint"`
}

// Form claims free hosts for a new replica. It answers with Formed.
type Form struct {
	Spec  replica.Spec `cbor:"1,keyasint"`
	Hosts []host.ID    `cbor:"2,keyasint"`
}

// Swap ends the Old replicas and claims Hosts for a new one. Each host is free or
// a member of Old. It answers with Formed.
type Swap struct {
	Old   []replica.ID `cbor:"1,keyasint"`
	Spec  replica.Spec `cbor:"2,keyasint"`
	Hosts []host.ID    `cbor:"3,keyasint"`
}

// Update changes what a replica serves in place. It answers with Done.
type Update struct {
	Replica replica.ID   `cbor:"1,keyasint"`
	Spec    replica.Spec `cbor:"2,keyasint"`
}

// Advance moves a replica to a later stage of life. It answers with Done.
type Advance struct {
	Replica replica.ID    `cbor:"1,keyasint"`
	State   replica.State `cbor:"2,keyasint"`
}

// Dissolve ends a replica. Its hosts stay claimed until each is released. It
// answers with Done.
type Dissolve struct {
	Replica replica.ID `cbor:"1,keyasint"`
}

// Release frees hosts whose replica has ended: their agents have released them, or
// their leases have lapsed. It answers with Done.
type Release struct {
	Claims []ReleasedClaim `cbor:"1,keyasint"`
}

// ReleasedClaim names one claim of one host.
type ReleasedClaim struct {
	Host  host.ID       `cbor:"1,keyasint"`
	Fence replica.Fence `cbor:"2,keyasint"`
}

// Drain records that a host is to leave, or with Undo that it may stay. It answers
// with Done.
type Drain struct {
	Host   host.ID `cbor:"1,keyasint"`
	Undo   bool    `cbor:"2,keyasint"`
	Reason string  `cbor:"3,keyasint"`
}

// Claim is a batch of claims of idempotency keys. It answers with Claimed.
type Claim struct {
	Items []message.ClaimItem `cbor:"1,keyasint"`
}

// Settle is a batch of settlements. It answers with Settled.
type Settle struct {
	Items []message.SettleItem `cbor:"1,keyasint"`
}

// Crash counts a crash of an engine against the bodies in flight there. It answers
// with QuarantineChanged.
type Crash struct {
	Report message.CrashReport `cbor:"1,keyasint"`
}

// ClearSuspects frees suspects that have run to their end. It answers with
// QuarantineChanged.
type ClearSuspects struct {
	BodyHashes []uint64 `cbor:"1,keyasint"`
}

// ClearQuarantine frees a body at an operator's word, 0 all. It answers with
// QuarantineChanged.
type ClearQuarantine struct {
	BodyHash uint64 `cbor:"1,keyasint"`
}

type commandNumber uint8

// The commands on disk. A number is never given again.
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
func (Forget) number() commandNumber          { return commandForget }
func (Lead) number() commandNumber            { return commandLead }
func (Settle) number() commandNumber          { return commandSettle }
func (Crash) number() commandNumber           { return commandCrash }
func (ClearSuspects) number() commandNumber   { return commandClearSuspects }
func (ClearQuarantine) number() commandNumber { return commandClearQuarantine }

// envelope is a command as it stands in the log.
type envelope struct {
	_      struct{} `cbor:",toarray"`
	Number commandNumber
	UnixMs int64
	// Term is that of the leader that decided the command, 0 for a caller's command.
	Term uint64
	Body cbor.RawMessage
}

// Encode returns the log's form of a command proposed at now. Term is that of the
// leader whose decision the command is, or 0 if it is a caller's.
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
	if err := cbor.Unmarshal(data, &e); err != nil {
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
	if err := cbor.Unmarshal(body, &c); err != nil {
		return nil, errors.Wrapf(err, "decode %T", c)
	}
	return c, nil
}
