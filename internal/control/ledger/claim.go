package ledger

import (
	"container/list"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/link/message"
)

// claimKey is an idempotency key of one team.
type claimKey struct {
	team team.ID
	key  string
}

// claim is the claim of one key, with the attempt that holds it.
type claim struct {
	Team    team.ID `cbor:"1,keyasint"`
	Key     string  `cbor:"2,keyasint"`
	KeyHash []byte  `cbor:"3,keyasint"`
	// State is running, complete or unknown.
	State       message.ClaimState `cbor:"4,keyasint"`
	Request     request.ID         `cbor:"5,keyasint"`
	Attempt     request.Attempt    `cbor:"6,keyasint"`
	Host        host.ID            `cbor:"7,keyasint"`
	Incarnation host.Incarnation   `cbor:"8,keyasint"`
	Address     string             `cbor:"9,keyasint"`
	// UnixMs is when the claim was granted or, once it is complete, when it completed.
	UnixMs int64           `cbor:"10,keyasint"`
	Answer *message.Answer `cbor:"11,keyasint,omitempty"`

	element *list.Element
}

func (c *claim) key() claimKey { return claimKey{team: c.Team, key: c.Key} }

// isHolder reports whether item claims the key again for the attempt that holds it, at
// the same incarnation of the same host.
func (c *claim) isHolder(item message.ClaimItem) bool {
	return c.Request == item.Request && c.Attempt == item.Attempt &&
		c.Host == item.Host && c.Incarnation == item.Incarnation
}

// supersededBy reports whether item takes over the key: it attests that the attempt that
// holds the key did not run, and the claim is not complete.
func (c *claim) supersededBy(item message.ClaimItem) bool {
	if c.State == message.ClaimComplete || item.Supersedes == nil {
		return false
	}
	if item.Request == c.Request && item.Attempt == c.Attempt {
		return false // An attempt that never runs cannot take over from itself.
	}
	return item.Supersedes.Request == c.Request && item.Supersedes.Attempt == c.Attempt
}

func (c *claim) result(state message.ClaimState) message.ClaimItemResult {
	return message.ClaimItemResult{
		State: state, Request: c.Request, Attempt: c.Attempt,
		Host: c.Host, Incarnation: c.Incarnation, Address: c.Address, Answer: c.Answer,
	}
}

func answerBytes(a *message.Answer) int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return size
}
