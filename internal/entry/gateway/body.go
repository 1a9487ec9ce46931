package gateway

import (
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultBodyMemory is the default of Options.BodyMemory.
	DefaultBodyMemory = 32 << 20
	// firstBodySize is the space for the beginning of a body, in bytes. It grows by bodyGrowth as the body arrives.
	firstBodySize = 4 << 10
	bodyGrowth    = 4
	// bodyMemoryRetryAfter is the Retry-After of a request whose body can't be held now. Bodies are held until their requests end.
	bodyMemoryRetryAfter = time.Second
)

// errBodyMemory is returned for a body that can't be held beside those of other requests.
var errBodyMemory = errors.New("the bodies of other requests take the memory for it")

// bodyMemory counts the bytes of the bodies that the gateway holds.
type bodyMemory struct {
	limit int64
	held  atomic.Int64
}

// reserve counts n more bytes. It returns false and counts nothing if that is too much.
func (m *bodyMemory) reserve(n int64) bool {
	if m.held.Add(n) > m.limit {
		m.held.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) { m.held.Add(-n) }

// heldBody is the body of a request as it is read, with what it has reserved.
type heldBody struct {
	memory   *bodyMemory
	data     []byte
	reserved int64
}

// reserve counts size bytes in all for the body.
func (b *heldBody) reserve(size int) error {
	n := max(int64(size)-b.reserved, 0)
	if !b.memory.reserve(n) {
		return errBodyMemory
	}
	b.reserved += n
	return nil
}

// grow allocates space for a body of size bytes.
func (b *heldBody) grow(size int) error {
	if err := b.reserve(size); err != nil {
		return err
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// readFrom reads a body, of length bytes or, if length is negative, of a length that is not known. If it can't be held, the rest is still read
// so that the caller receives the refusal, and returns errBodyMemory. A known length counts as a whole from the beginning.
func (b *heldBody) readFrom(r io.Reader, length int64) error {
	if length == 0 {
		return nil
	}
	most, whole := math.MaxInt, 0
	if length > 0 {
		most = int(length) + 1 // The end of the body is read behind its last byte.
		whole = most
	}
	err := b.reserve(whole)
	if err == nil {
		err = b.grow(min(firstBodySize, most))
	}
	for err == nil {
		if len(b.data) == cap(b.data) {
			if err = b.grow(min(bodyGrowth*cap(b.data), most)); err != nil {
				break
			}
		}
		var n int
		n, err = r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
	}
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case errors.Is(err, errBodyMemory):
		b.release()
		if _, err := io.Copy(io.Discard, r); err != nil {
			return err
		}
		return errBodyMemory
	default:
		return err
	}
}

// release ends the body's reservation.
func (b *heldBody) release() {
	if b.memory != nil {
		b.memory.release(b.reserved)
	}
	b.data, b.reserved = nil, 0
}

// readWholeBody reads the request's body, which counts towards the memory for bodies until the request ends.
func (c *call) readWholeBody() error {
	c.body = heldBody{memory: &c.g.bodies}
	limit := c.r.ContentLength
	if limit > c.bodyLimit {
		limit = -1 // The read fails when the bound is reached.
	}
	return c.body.readFrom(http.MaxBytesReader(c.w, c.r.Body, c.bodyLimit), limit)
}
