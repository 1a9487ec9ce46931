package upstream

import "bytes"

const (
	// maxHead bounds the head of a response in bytes, informational responses included, and maxHeadFields the
	// number of its fields.
	maxHead       = 32 << 10
	maxHeadFields = 256
	// maxInformational bounds the informational responses before the final one.
	maxInformational = 16
	// maxHeadLines is the number of lines of a head, informational responses included, after which no more of it is read.
	maxHeadLines = 2 * maxHeadFields
	// fieldOverhead is the approximate memory of a field of a head besides its text, in bytes.
	fieldOverhead = 128
	// headCopies is the number of copies of a head's text in memory while it is parsed.
	headCopies = 3
)

// headMeter counts what is read while a head isn't complete. Before more is read it reserves what has been read, since
// an endpoint may send the rest late. A head that is complete after one read is not reserved. Data of the body that is
// read ahead counts as well. A nil headMeter counts nothing.
type headMeter struct {
	reserve func(n int) bool
	// size and lines are what has been read, and reserved is what has been reserved for it, in bytes.
	size, lines, reserved int
}

// beforeRead returns errTooMuch if no more may be read.
func (h *headMeter) beforeRead() error {
	if h == nil {
		return nil
	}
	if h.size >= maxHead+readBufferSize || h.lines > maxHeadLines {
		return errTooMuch
	}
	missing := h.size*headCopies + h.lines*fieldOverhead - h.reserved
	if missing > 0 && !h.reserve(missing) {
		return errTooMuch
	}
	h.reserved += missing
	return nil
}

// read counts data that has been read.
func (h *headMeter) read(data []byte) {
	if h == nil {
		return
	}
	h.size += len(data)
	h.lines += bytes.Count(data, []byte{'\n'})
}

// release ends the reservation.
func (h *headMeter) release() {
	if h.reserved > 0 {
		h.reserve(-h.reserved)
	}
}
