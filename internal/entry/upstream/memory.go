package upstream

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxHeldByEndpoint bounds what the responses of one endpoint make the process hold, and maxHeldInAll those of
	// all endpoints, in bytes: heads, events, and bodies that are read whole.
	maxHeldByEndpoint = 2 << 20
	maxHeldInAll      = 48 << 20
	// ordinaryHeld is what an ordinary response makes the process hold at most, in bytes: a head and an event of a few
	// kilobytes.
	ordinaryHeld = 16 << 10
	// ordinaryShare is the share of the bounds, as their divisor, that only ordinary responses may use.
	ordinaryShare = 4
	// minReadSize is the least space for a read, in bytes.
	minReadSize = 4 << 10
)

// heldMemory counts the bytes that the responses of endpoints make the process hold. The zero value is ready to use.
type heldMemory struct {
	mu        sync.Mutex
	total     int
	byAddress map[string]int
}

// reserve counts n more bytes, or fewer if n is negative. It returns false and counts nothing if that is too much. A
// part of the bounds is for ordinary responses, so that long ones don't break them off.
func (m *heldMemory) reserve(address string, n int, ordinary bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	byEndpoint, inAll := maxHeldByEndpoint, maxHeldInAll
	if !ordinary {
		byEndpoint -= byEndpoint / ordinaryShare
		inAll -= inAll / ordinaryShare
	}
	if n > 0 && (m.byAddress[address]+n > byEndpoint || m.total+n > inAll) {
		return false
	}
	if m.byAddress == nil {
		m.byAddress = map[string]int{}
	}
	m.total += n
	m.byAddress[address] += n
	if m.byAddress[address] == 0 {
		delete(m.byAddress, address)
	}
	return true
}

// errTooMuch is the cause of an interruption by a bound on what an endpoint may make the process hold.
var errTooMuch = errors.New("the endpoint sends more than may be held")

// Reserve counts n more bytes that the exchange makes the process hold, or fewer if n is negative. It returns false if
// that is too much. Close releases all.
func (x *Exchange) Reserve(n int) bool {
	if !x.pool.held.reserve(x.conn.address, n, x.held+n <= ordinaryHeld) {
		return false
	}
	x.held += n
	return true
}

// release releases what the exchange has reserved.
func (x *Exchange) release() {
	if x.held != 0 {
		x.pool.held.reserve(x.conn.address, -x.held, true)
		x.held = 0
	}
}

// reserveHead reserves the head of the response.
func (x *Exchange) reserveHead(header http.Header) error {
	size, fields := 0, 0
	for name, values := range header {
		for _, v := range values {
			size += len(name) + len(v) + fieldOverhead
			fields++
		}
	}
	if fields > maxHeadFields || !x.Reserve(size) {
		return errTooMuch
	}
	return nil
}

// ReadUpTo reads the response's body, but not more than limit bytes and not more than may be held. whole reports that
// it was read to its end; else the rest can be read from the Exchange.
func (x *Exchange) ReadUpTo(limit int) (body []byte, whole bool, err error) {
	for {
		if len(body) >= limit {
			return body, false, nil
		}
		if cap(body)-len(body) < minReadSize/2 {
			size := min(len(body)+max(minReadSize, len(body)/2), limit+minReadSize)
			if !x.Reserve(size - cap(body)) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := x.Read(body[len(body):min(cap(body), limit)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}
