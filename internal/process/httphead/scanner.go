// Package httphead checks the heads of HTTP/1.1 responses for lines that are no header field (RFC 9112, section 5).
//
// Readers such as net/textproto take a blank in the name of a field, and a line that begins with a blank for the continuation of the one before.
// Both change what a head says: a length that isn't seen, or a value that has text of another line. A response with such a line can't be
// passed on: it is treated like one that broke off, since an endpoint that sends it has failed. Readers check the values of fields themselves.
package httphead

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/egretreach/egretreach/internal/process/httpstatus"
)

// ErrInvalidName is returned for a head with a field whose name is empty or has a byte that no name may have.
type ErrInvalidName struct {
	// Byte is the first such byte: a blank at the beginning of a folded line, or the colon behind an empty name.
	Byte byte
}

func (e ErrInvalidName) Error() string {
	return fmt.Sprintf("invalid byte %#02x in the name of a header field", e.Byte)
}

// IsErrInvalidName reports whether err is an ErrInvalidName.
func IsErrInvalidName(err error) bool {
	var e ErrInvalidName
	return errors.As(err, &e)
}

// position is where in a response the next byte stands.
type position uint8

const (
	inStatusLine position = iota
	atLineStart
	inName
	inValue
	// atLastLineFeed is behind the carriage return of the empty line at the end of a head.
	atLastLineFeed
	inBody
)

// maxStatusPrefix is the part of a status line that is kept, in bytes. It holds the version and the code.
const maxStatusPrefix = 32

// Scanner checks the head of a response, informational responses before it included, as its bytes arrive. The zero value is at the beginning
// of a response.
type Scanner struct {
	position position
	// prefix is the beginning of the present status line, and size its length.
	prefix [maxStatusPrefix]byte
	size   int
}

// Scan checks the next bytes of a response. It returns ErrInvalidName at the first invalid name, and ignores what follows the head.
func (s *Scanner) Scan(data []byte) error {
	for len(data) > 0 && s.position != inBody {
		switch s.position {
		case inStatusLine:
			data = s.scanStatusLine(data)
		case inValue:
			data = s.skipLine(data)
		default:
			if err := s.scanByte(data[0]); err != nil {
				return err
			}
			data = data[1:]
		}
	}
	return nil
}

// scanStatusLine keeps the beginning of the status line, and returns what follows the line.
func (s *Scanner) scanStatusLine(data []byte) []byte {
	line, _, _ := bytes.Cut(data, []byte{'\n'})
	s.size += copy(s.prefix[s.size:], line)
	return s.skipLine(data)
}

// skipLine returns what follows the present line.
func (s *Scanner) skipLine(data []byte) []byte {
	_, rest, found := bytes.Cut(data, []byte{'\n'})
	if found {
		s.position = atLineStart
	}
	return rest
}

// scanByte checks a byte of a name or of the end of a head.
func (s *Scanner) scanByte(b byte) error {
	switch {
	case s.position == atLineStart && b == '\r':
		s.position = atLastLineFeed
	case s.position != inName && b == '\n':
		s.endHead()
	case s.position == inName && b == ':':
		s.position = inValue
	case s.position != atLastLineFeed && httpguts.IsTokenRune(rune(b)):
		s.position = inName
	default:
		return ErrInvalidName{Byte: b}
	}
	return nil
}

// endHead ends the head of a response, which another one follows if it is informational.
func (s *Scanner) endHead() {
	isFinal := !httpstatus.IsInformational(s.status())
	*s = Scanner{}
	if isFinal {
		s.position = inBody
	}
}

// status returns the code of the present status line, or 0 if it has none.
func (s *Scanner) status() int {
	fields := bytes.Fields(s.prefix[:s.size])
	if len(fields) < 2 {
		return 0
	}
	code, err := strconv.Atoi(string(fields[1]))
	if err != nil {
		return 0
	}
	return code
}
