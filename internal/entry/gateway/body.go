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
	DefaultBodyMemory = 64 << 20
	// firstBodySize is the space for the beginning of a body, in bytes. It doubles as the body arrives, so that a slow caller takes no more than it
	// has sent.
	firstBodySize = 4 << 10
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

// grow makes room for a body of size bytes.
func (b *heldBody) grow(size int) error {
	n := int64(size) - b.reserved
	if !b.memory.reserve(n) {
		return errBodyMemory
	}
	b.reserved += n
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// readFrom reads a body, of length bytes or, if length is negative, of a length that is not known. If it can't be held it reads the rest all the
// same, so that the caller gets the refusal, and returns errBodyMemory.
func (b *heldBody) readFrom(r io.Reader, length int64) error {
	if length == 0 {
		return nil
	}
	most := math.MaxInt
	if length > 0 {
		most = int(length) + 1 // The end of the body is read behind its last byte.
	}
	err := b.grow(min(firstBodySize, most))
	for err == nil {
		if len(b.data) == cap(b.data) {
			if err = b.grow(min(2*cap(b.data), most)); err != nil {
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
		if _, err := io.Copy(io.Discard, r); err != nil {
			return err
		}
		return errBodyMemory
	default:
		return err
	}
}

// release gives back what the body has reserved.
func (b *heldBody) release() {
	if b.memory != nil {
		b.memory.release(b.reserved)
	}
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
