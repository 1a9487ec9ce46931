package journal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// recordKind is the kind of content of a record.
type recordKind uint8

const (
	// recordSegment is the first record of a segment file, its header.
	recordSegment recordKind = iota + 1
	// recordWrite contains the hard state and entries of one write. After a crash, the write is
	// there completely or not at all.
	recordWrite
	recordSnapshot
)

// A record is a header and a CBOR body (RFC 8949). The header has the length of the body (4
// bytes), the kind (1 byte), the CRC32C of the body (4 bytes) and the CRC32C of these nine bytes
// (4 bytes), all big-endian.
const (
	headerBytes          = 13
	headerChecksumOffset = 9
	sectorBytes          = 512
)

// maxBodyBytes is the largest size of a record's body.
const maxBodyBytes = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segmentHeader is the body of a recordSegment. If Reset is set, all entries of earlier segments
// are void, and the next entry follows Index.
type segmentHeader struct {
	Sequence uint64       `cbor:"1,keyasint"`
	Reset    bool         `cbor:"2,keyasint"`
	Index    quorum.Index `cbor:"3,keyasint"`
}

// writeBody is the body of a recordWrite. An entry replaces those from its index on.
type writeBody struct {
	Hard    *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries []quorum.Entry    `cbor:"2,keyasint,omitempty"`
}

// maxWriteEntries is the largest number of entries in one write.
const maxWriteEntries = 1 << 20

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxWriteEntries,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// appendRecord encodes value as one record and appends it to buf.
func appendRecord(buf []byte, kind recordKind, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return buf, errors.Wrap(err, "encode record")
	}
	if len(body) > maxBodyBytes {
		return buf, errors.Errorf("record of %d bytes exceeds the size limit", len(body))
	}
	return appendFramed(buf, kind, body), nil
}

// appendFramed appends the header for body, and body, to buf.
func appendFramed(buf []byte, kind recordKind, body []byte) []byte {
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)))
	buf = append(buf, byte(kind))
	buf = binary.BigEndian.AppendUint32(buf, crc32.Checksum(body, castagnoli))
	buf = binary.BigEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
	return append(buf, body...)
}

// errTorn is returned for an incomplete record at the end of a file that was being written when
// the host stopped.
var errTorn = errors.New("torn record")

type record struct {
	kind recordKind
	body []byte
	// size is the size of the whole record in bytes.
	size int
}

// decodeRecord decodes the record at the start of raw; raw extends to the end of the file. It
// returns errTorn for an incomplete write and any other error for damage to a completed one. A
// complete record that does not match its checksum is damaged, unless the end of the file was
// never written.
func decodeRecord(raw []byte) (record, error) {
	if len(raw) < headerBytes {
		return record{}, errTorn
	}
	length := binary.BigEndian.Uint32(raw)
	if crc32.Checksum(raw[:headerChecksumOffset], castagnoli) != binary.BigEndian.Uint32(raw[headerChecksumOffset:]) {
		if hasUnwrittenTail(raw) {
			return record{}, errTorn
		}
		return record{}, errors.New("header does not match its checksum")
	}
	if length > maxBodyBytes {
		return record{}, errors.New("record exceeds the size limit")
	}
	if uint64(len(raw)-headerBytes) < uint64(length) {
		return record{}, errTorn
	}
	body := raw[headerBytes : headerBytes+int(length)]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(raw[5:]) {
		if hasUnwrittenTail(raw) {
			return record{}, errTorn
		}
		return record{}, errors.New("body does not match its checksum")
	}
	return record{kind: recordKind(raw[4]), body: body, size: headerBytes + int(length)}, nil
}

// hasUnwrittenTail reports whether the last sector's worth of raw, or all of a shorter raw, is
// zeros. A file whose length reached the disk before its content ends like this.
func hasUnwrittenTail(raw []byte) bool {
	tail := raw[max(0, len(raw)-sectorBytes):]
	for _, b := range tail {
		if b != 0 {
			return false
		}
	}
	return true
}
