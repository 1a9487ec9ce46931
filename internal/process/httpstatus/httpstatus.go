// Package httpstatus has the status codes that a response may have (RFC 9110, section 15).
//
// Readers of HTTP/1 take any three characters that read as a number, such as 000, +20 or 999. A response with an invalid code can't be passed
// on: it is treated like one that broke off, since a server that sends it has failed.
package httpstatus

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// lowest and highest bound the valid codes. Codes below lowestFinal are informational.
const (
	lowest      = http.StatusContinue
	lowestFinal = http.StatusOK
	highest     = 599
)

// ErrInvalid is returned for a status code that a response may not have.
type ErrInvalid struct{ Status int }

func (e ErrInvalid) Error() string { return fmt.Sprintf("invalid status code %d", e.Status) }

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}

// CheckFinal returns ErrInvalid unless a final response may have the status.
func CheckFinal(status int) error {
	if status < lowestFinal || status > highest {
		return ErrInvalid{Status: status}
	}
	return nil
}

// IsInformational reports whether the status is that of a response that another one follows. A change of protocols isn't: what follows it
// is no response.
func IsInformational(status int) bool {
	return status >= lowest && status < lowestFinal && status != http.StatusSwitchingProtocols
}
