package dispatch

import (
	"sync"

	"github.com/pkg/errors"
)

const (
	// DefaultAnswerMemory is the default of Options.AnswerMemory.
	DefaultAnswerMemory = 48 << 20
	// ordinaryAnswer is the size in bytes up to which an answer may use all of the memory. Longer ones leave a part
	// of it free, whose divisor is ordinaryShare.
	ordinaryAnswer = 16 << 10
	ordinaryShare  = 4
)

// errAnswerMemory is returned if the answers of all requests leave no memory for more of one.
var errAnswerMemory = errors.New("the answers that are being received take all memory that they may")

// answerMemory bounds what the answers of all requests take, in bytes.
type answerMemory struct {
	limit int64

	mu   sync.Mutex
	held int64
}

// reserve counts n more bytes of an answer that takes size with them. It returns false and counts nothing if that is too
// much.
func (m *answerMemory) reserve(n, size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.limit
	if size > ordinaryAnswer {
		limit -= limit / ordinaryShare
	}
	if m.held+n > limit {
		return false
	}
	m.held += n
	return true
}

// release subtracts n bytes that are no longer held.
func (m *answerMemory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= n
}
