// Package message defines the messages that the processes of the fleet exchange and
// their framing.
//
// A frame is a four-byte big-endian length, a one-byte kind and a CBOR body
// (RFC 8949) with integer keys. The length counts the kind and the body.
package message

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Protocol is the ALPN protocol ID of links, with its version. The TLS handshake
// refuses processes that use another version.
const Protocol = "egretreach/1"

// MaxFrameBytes is the maximum length of a frame: its kind and its body.
const MaxFrameBytes = 8 << 20

// SmallFrameBytes is the length up to which a frame is read without a reservation of its memory.
const SmallFrameBytes = 64 << 10

// firstPartBytes is the length up to which memory is taken for a body before it arrives.
const firstPartBytes = 16 << 10

// headerBytes is the length field and the kind.
const headerBytes = 5

// Kind is the number of a message type on the wire. A number is never reused.
type Kind uint8

// Message is the decoded body of a frame. Only this package implements it.
type Message interface {
	kind() Kind
}

// ErrFrameTooLarge is returned for a frame that is longer than MaxFrameBytes.
type ErrFrameTooLarge struct{ Bytes int }

func (e ErrFrameTooLarge) Error() string {
	return fmt.Sprintf("frame of %d bytes is over the limit of %d", e.Bytes, MaxFrameBytes)
}

// IsErrFrameTooLarge reports whether err is an ErrFrameTooLarge.
func IsErrFrameTooLarge(err error) bool {
	var e ErrFrameTooLarge
	return errors.As(err, &e)
}

// ErrUnknownKind is returned for a frame of a kind that this version does not know.
type ErrUnknownKind struct{ Kind Kind }

func (e ErrUnknownKind) Error() string { return fmt.Sprintf("unknown frame kind %d", e.Kind) }

// IsErrUnknownKind reports whether err is an ErrUnknownKind.
func IsErrUnknownKind(err error) bool {
	var e ErrUnknownKind
	return errors.As(err, &e)
}

// ErrMalformed is returned for a frame whose body cannot be decoded.
type ErrMalformed struct {
	Kind   Kind
	Reason string
}

func (e ErrMalformed) Error() string {
	return fmt.Sprintf("malformed frame of kind %d: %s", e.Kind, e.Reason)
}

// IsErrMalformed reports whether err is an ErrMalformed.
func IsErrMalformed(err error) bool {
	var e ErrMalformed
	return errors.As(err, &e)
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 16,
		IndefLength:      cbor.IndefLengthForbidden,
		// A text that is no UTF-8 concerns only the entry that has it, which its receiver checks.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Append encodes m as one frame and appends it to buf.
func Append(buf []byte, m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return buf, errors.Wrapf(err, "encode frame of kind %d", m.kind())
	}
	if len(body)+1 > MaxFrameBytes {
		return buf, ErrFrameTooLarge{Bytes: len(body) + 1}
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)+1))
	buf = append(buf, byte(m.kind()))
	return append(buf, body...), nil
}

// Write encodes m and writes it as one frame.
func Write(w io.Writer, m Message) error {
	buf, err := Append(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

// Reserve reserves the memory of a frame of a length, in bytes, and may wait for it. The returned function releases it.
type Reserve func(bytes int) (release func(), err error)

// Read reads and decodes one frame. It returns io.EOF if the stream ends between
// frames, and an error that wraps io.ErrUnexpectedEOF if it ends within one.
func Read(r io.Reader) (Message, error) {
	return ReadReserved(r, func(int) (func(), error) { return func() {}, nil })
}

// ReadReserved is Read with a reservation for each frame that is longer than SmallFrameBytes. The frame holds it from before
// its body is read until it is decoded.
func ReadReserved(r io.Reader, reserve Reserve) (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size > MaxFrameBytes {
		return nil, ErrFrameTooLarge{Bytes: int(size)}
	}
	kind := Kind(header[4])
	if size == 0 {
		return nil, ErrMalformed{Kind: kind, Reason: "empty frame"}
	}
	m := newMessage(kind)
	if m == nil {
		return nil, ErrUnknownKind{Kind: kind}
	}
	if size > SmallFrameBytes {
		release, err := reserve(int(size))
		if err != nil {
			return nil, errors.Wrap(err, "memory for a frame")
		}
		defer release()
	}
	body, err := readBody(r, int(size-1))
	if err != nil {
		return nil, errors.Wrap(err, "frame body")
	}
	if err := decMode.Unmarshal(body, m); err != nil {
		return nil, ErrMalformed{Kind: kind, Reason: err.Error()}
	}
	return m, nil
}

// readBody reads a body of size bytes. It takes memory as the body arrives, since a peer may announce more than it sends.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, firstPartBytes))
	for filled := 0; ; {
		n, err := io.ReadFull(r, body[filled:])
		filled += n
		switch {
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF // The stream ended after the header.
		case err != nil:
			return nil, err
		case filled == size:
			return body, nil
		}
		body = append(body, make([]byte, min(filled, size-filled))...)
	}
}
