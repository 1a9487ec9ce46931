package upstream

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// DefaultMaxHeld is the default of Pool.MaxHeld.
	DefaultMaxHeld = 48 << 20
	// maxHeldByEndpoint bounds the memory that the responses of one endpoint take, in bytes.
	maxHeldByEndpoint = 2 << 20
	// ordinaryHeld is the greatest memory that an ordinary response takes, in bytes: a head and an event of a few
	// kilobytes.
	ordinaryHeld = 16 << 10
	// ordinaryShare is the share of the bounds, as their divisor, that only ordinary responses may use.
	ordinaryShare = 4
	// heldShare is the share of the memory of a process, as its divisor, that its responses may take, from minMaxHeld to
	// DefaultMaxHeld.
	heldShare  = 6
	minMaxHeld = 8 << 20
	// minReadSize is the least space for a read, in bytes.
	minReadSize = 4 << 10
)

// MaxHeldOf returns the Pool.MaxHeld for a process with a memory, in bytes. A memory of 0 isn't known.
func MaxHeldOf(memory int64) int {
	if memory <= 0 {
		return DefaultMaxHeld
	}
	return int(min(max(memory/heldShare, minMaxHeld), DefaultMaxHeld))
}

// heldMemory counts the bytes of memory that the responses of endpoints take. The zero value is ready to use.
type heldMemory struct {
	mu        sync.Mutex
	total     int
	byAddress map[string]int
}

// heldLimits bound the memory that responses take, in bytes.
type heldLimits struct{ byEndpoint, inAll int }

// heldLimits returns the limits for an ordinary response or another. A part is reserved for ordinary ones, so that
// long ones don't interrupt them.
func (p *Pool) heldLimits(ordinary bool) heldLimits {
	limits := heldLimits{byEndpoint: maxHeldByEndpoint, inAll: p.MaxHeld}
	if limits.inAll == 0 {
		limits.inAll = DefaultMaxHeld
	}
	if !ordinary {
		limits.byEndpoint -= limits.byEndpoint / ordinaryShare
		limits.inAll -= limits.inAll / ordinaryShare
	}
	return limits
}

// reserve counts n more bytes, or fewer if n is negative. It returns false and counts nothing if that is too much.
func (m *heldMemory) reserve(address string, n int, limits heldLimits) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > 0 && (m.byAddress[address]+n > limits.byEndpoint || m.total+n > limits.inAll) {
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

// errTooMuch is the cause of an interruption by a bound on the memory that an endpoint's responses take.
var errTooMuch = errors.New("the endpoint sends more than may be held")

// Reserve counts n more bytes of memory for the exchange, or fewer if n is negative. It returns false if that is too
// much. Close releases all.
func (x *Exchange) Reserve(n int) bool { return x.reserve(n, true) }

// reserve is Reserve. mayBeOrdinary says that the exchange counts as ordinary as long as it holds no more than one.
func (x *Exchange) reserve(n int, mayBeOrdinary bool) bool {
	ordinary := mayBeOrdinary && x.held+n <= ordinaryHeld
	if !x.pool.held.reserve(x.conn.address, n, x.pool.heldLimits(ordinary)) {
		return false
	}
	x.held += n
	return true
}

// release releases what the exchange has reserved.
func (x *Exchange) release() {
	if x.held != 0 {
		x.pool.held.reserve(x.conn.address, -x.held, heldLimits{})
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
	length := x.Response.ContentLength
	short := length >= 0 && length <= ordinaryHeld // Any other may be long, and can be passed on without being held.
	for {
		if len(body) >= limit {
			return body, false, nil
		}
		if cap(body)-len(body) < minReadSize/2 {
			size := min(len(body)+max(minReadSize, len(body)/2), limit+minReadSize)
			if !x.reserve(size-cap(body), short) {
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
