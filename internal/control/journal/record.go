package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// recordKind says what a record holds.
type recordKind uint8

const (
	// recordSegment opens a segment file.
	recordSegment recordKind = iota + 1
	// recordWrite holds what is written together, so that it is there whole or not
	// at all.
	recordWrite
	recordSnapshot
)

// A record is a header and a CBOR body (RFC 8949). The header is the body's length
// in four bytes, the kind in one, the body's CRC32C in four and the CRC32C of
// these nine bytes in four, all big-endian.
const (
	headerBytes = 13
	coveredTo   = 9
	sectorBytes = 512
)

// maxBodyBytes bounds one record.
const maxBodyBytes = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentHeader is the body of a recordSegment. All entries of earlier segments
// are void, and the next entry follows Index.
type segmentHeader struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Restart  bool         `cbor:"2,keyasint"`
	Index    quorum.Index `cbor:"3,keyasint"`
}

// write is the body of a recordWrite. An entry takes the place of those from its
// index on.
type write struct {
	Hard    *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries []quorum.Entry    `cbor:"2,keyasint,omitempty"`
}

// maxEntries bounds the entries of one write.
const maxEntries = 1 << 20

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxEntries,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// appendRecord encodes value as one record behind buf.
func appendRecord(buf []byte, kind recordKind, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return buf, errors.Wrap(err, "encode record")
	}
	if len(body) > maxBodyBytes {
		return buf, errors.Errorf("record of %d bytes is over the limit", len(body))
	}
	return frame(buf, kind, body), nil
}

// frame appends the record of a body.
func frame(buf []byte, kind recordKind, body []byte) []byte {
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)))
	buf = append(buf, byte(kind))
	buf = binary.BigEndian.AppendUint32(buf, crc32.Checksum(body, castagnoli))
	buf = binary.BigEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
	return append(buf, body...)
}

// errTorn is the end of a file that was being written when the host stopped.
var errTorn = errors.New("torn record")

type record struct {
	kind recordKind
	body []byte
	// size is that of the whole record.
	size int
}

// decodeRecord reads the record at the start of raw, which reaches to the end of
// the file. It tells a write that was cut off (errTorn) from damage to what was
// written whole (any other error). A record whose every byte is there and does not
// fit its checksum is damage, unless the file's tail was never written.
func decodeRecord(raw []byte) (record, error) {
	if len(raw) < headerBytes {
		return record{}, errTorn
	}
	length := binary.BigEndian.Uint32(raw)
	if crc32.Checksum(raw[:coveredTo], castagnoli) != binary.BigEndian.Uint32(raw[coveredTo:]) {
		if unwritten(raw) {
			return record{}, errTorn
		}
		return record{}, errors.New("header does not fit its checksum")
	}
	if length > maxBodyBytes {
		return record{}, errors.New("record is over the limit")
	}
	if uint64(len(raw)-headerBytes) < uint64(length) {
		return record{}, errTorn
	}
	body := raw[headerBytes : headerBytes+int(length)]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(raw[5:]) {
		if unwritten(raw) {
			return record{}, errTorn
		}
		return record{}, errors.New("body does not fit its checksum")
	}
	return record{kind: recordKind(raw[4]), body: body, size: headerBytes + int(length)}, nil
}

// unwritten reports whether raw ends in a whole sector of zeros, as a file does
// whose length reached the disk before its content.
func unwritten(raw []byte) bool {
	tail := raw[max(0, len(raw)-sectorBytes):]
	for _, b := range tail {
		if b != 0 {
			return false
		}
	}
	return true
}
