// Package request defines the identity and the outcome of a caller's request.
package request

import (
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// ID is the 128-bit identity of a request. Every frame about the request contains it.
type ID uuid.UUID

// NewID returns a random request ID.
func NewID() ID { return ID(uuid.New()) }

// ParseID parses the text form of a request ID.
func ParseID(s string) (ID, error) {
	u, err := uuid.Parse(s)
	if err != nil {
		return ID{}, errors.Wrap(err, "request ID")
	}
	return ID(u), nil
}

// String returns the canonical text form.
func (id ID) String() string { return uuid.UUID(id).String() }

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return uuid.UUID(id).MarshalText() }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(b []byte) error {
	parsed, err := ParseID(string(b))
	if err != nil {
		return err
	}
	*id = parsed
	return nil
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (id ID) MarshalBinary() ([]byte, error) { return id[:], nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (id *ID) UnmarshalBinary(b []byte) error {
	if len(b) != len(id) {
		return errors.Errorf("request ID has %d bytes, not %d", len(b), len(id))
	}
	copy(id[:], b)
	return nil
}

// Attempt numbers the dispatches of one request, starting at 1.
type Attempt uint32

// Outcome tells whether a request has run.
type Outcome string

// The three outcomes.
const (
	// OutcomeComplete means that the caller has the whole answer.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun means that the request did not run and will not. It is used only if
	// that is proven.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
