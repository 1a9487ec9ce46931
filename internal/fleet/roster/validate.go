package roster

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Bounds of what an announcement may say.
const (
	// maxText bounds each text, in bytes, and maxStaged the models on a host.
	maxText   = 256
	maxStaged = 256
	// MaxNumber bounds times in milliseconds, sequence numbers and epochs: the integers that a float64 represents
	// exactly, which other writers of JSON may use.
	MaxNumber = 1 << 53
	maxSlots  = 1 << 20
	maxRank   = 1 << 12
)

// ErrInvalid is returned for an announcement that says what no endpoint can be or have.
type ErrInvalid struct{ Field, Reason string }

func (e ErrInvalid) Error() string { return e.Field + " " + e.Reason }

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}

// Validate returns an ErrInvalid that names the first field that no endpoint can have, or nil. Fields may be missing, but
// for the ID.
func (e Endpoint) Validate() error {
	if e.ID == "" || strings.ContainsFunc(e.ID, unicode.IsSpace) {
		return ErrInvalid{"id", "is empty or has spaces"}
	}
	for field, text := range map[string]string{
		"id": e.ID, "service": e.Service, "address": e.Address, "failure domain": e.FailureDomain, "fabric domain": e.Fabric, "model": e.Model,
	} {
		if err := validateText(field, text); err != nil {
			return err
		}
	}
	if err := e.validateNumbers(); err != nil {
		return err
	}
	if err := validateStaged(e.Staged); err != nil {
		return err
	}
	if e.Member != nil {
		return e.Member.validate()
	}
	return nil
}

func (e Endpoint) validateNumbers() error {
	switch {
	case e.State > StateLeft:
		return ErrInvalid{"state", "is unknown"}
	case e.StartedMs < 0 || e.StartedMs > MaxNumber:
		return ErrInvalid{"start time", "is out of range"}
	case e.Sequence > MaxNumber:
		return ErrInvalid{"sequence", "is out of range"}
	case e.Slots < 0 || e.Slots > maxSlots:
		return ErrInvalid{"slots", "is out of range"}
	case e.ColdMs < 0 || e.ColdMs > MaxNumber:
		return ErrInvalid{"cold time", "is out of range"}
	}
	return nil
}

func (m Membership) validate() error {
	switch {
	case m.State > MemberBroken:
		return ErrInvalid{"member state", "is unknown"}
	case m.Rank < 0 || m.Rank > maxRank:
		return ErrInvalid{"rank", "is out of range"}
	case m.Epoch > MaxNumber:
		return ErrInvalid{"epoch", "is out of range"}
	}
	return validateText("replica", m.Replica)
}

func validateStaged(staged []string) error {
	if len(staged) > maxStaged {
		return ErrInvalid{"staged", "has too many models"}
	}
	for _, model := range staged {
		if err := validateText("staged", model); err != nil {
			return err
		}
	}
	return nil
}

// validateText checks a text, which may become a part of headers, log lines and messages.
func validateText(field, text string) error {
	switch {
	case len(text) > maxText:
		return ErrInvalid{field, fmt.Sprintf("is over %d bytes", maxText)}
	case !utf8.ValidString(text):
		return ErrInvalid{field, "is no UTF-8"}
	case strings.ContainsFunc(text, unicode.IsControl):
		return ErrInvalid{field, "has control characters"}
	}
	return nil
}
