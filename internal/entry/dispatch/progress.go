package dispatch

import (
	"bytes"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/link/message"
)

// tokensPerGap is the least number of tokens over which a token gap is averaged.
const tokensPerGap = 16

// maxLedgerAnswerBytes bounds the answer that the ledger keeps for resends.
const maxLedgerAnswerBytes = 64 << 10

type errOffset struct{ want, got uint64 }

func (e errOffset) Error() string { return fmt.Sprintf("chunk at offset %d, not %d", e.got, e.want) }

func isErrOffset(err error) bool {
	var e errOffset
	return errors.As(err, &e)
}

type errAnswerTooLarge struct{ limit int64 }

func (e errAnswerTooLarge) Error() string { return fmt.Sprintf("the answer is over %d bytes", e.limit) }

func isErrAnswerTooLarge(err error) bool {
	var e errAnswerTooLarge
	return errors.As(err, &e)
}

// answerProgress is the part of an answer that has arrived, over all attempts of a
// request.
type answerProgress struct {
	work Work
	sink Sink
	ref  message.Ref
	head *message.Head
	// offset is the length of body: in tokens for a generation, in bytes for a call to a
	// service.
	offset uint64
	body   []byte
	end    message.End
	// memory bounds the bodies of all requests, and reserved is the part of it for this one, in bytes.
	memory   *answerMemory
	reserved int64
	// heardAt is when the last frame of the current attempt arrived, or when it started.
	heardAt time.Time

	// firstTokenSeen is set if the current attempt has produced a token. gapStart,
	// lastTokenAt and tokensSinceGap cover the tokens of that attempt since the last
	// token gap.
	firstTokenSeen        bool
	gapStart, lastTokenAt time.Time
	tokensSinceGap        uint64
}

// beginAttempt starts an attempt. A generation continues after the part that has
// arrived; a call to a service starts again, since none of its answer has been passed
// to the caller.
func (p *answerProgress) beginAttempt(ref message.Ref) {
	p.ref = ref
	p.firstTokenSeen = false
	p.tokensSinceGap = 0
	if _, ok := p.work.Body.(ServiceCall); ok {
		p.head = nil
		p.offset = 0
		p.release()
	}
}

// hasHead reports whether the head of the answer has arrived, which only a call to a service has.
func (p *answerProgress) hasHead() bool {
	_, ok := p.work.Body.(ServiceCall)
	return !ok || p.head != nil
}

// silence returns for how long nothing of the current attempt has arrived.
func (p *answerProgress) silence(now time.Time) time.Duration { return now.Sub(p.heardAt) }

// length returns the length of the answer so far, in the unit of offset.
func (p *answerProgress) length() uint64 { return p.offset }

// addChunk appends a chunk, which must start exactly where the answer ends so far.
func (p *answerProgress) addChunk(now time.Time, c *message.Chunk) error {
	if c.Offset != p.offset {
		return errOffset{want: p.offset, got: c.Offset}
	}
	if int64(len(p.body)+len(c.Data)) > p.work.MaxAnswer {
		return errAnswerTooLarge{limit: p.work.MaxAnswer}
	}
	if !p.reserve(int64(len(c.Data))) {
		return errAnswerMemory
	}
	p.body = append(p.body, c.Data...)
	p.offset += uint64(c.Count)
	if !p.firstTokenSeen {
		p.gapStart = now
	}
	p.firstTokenSeen = true
	p.lastTokenAt = now
	p.tokensSinceGap += uint64(c.Count)
	if _, ok := p.work.Body.(Generation); ok && p.sink != nil {
		return p.sink.Tokens(c.Offset, c.Count, c.Data)
	}
	return nil
}

// reserve reserves n more bytes for the body. It returns false if there is no memory for them.
func (p *answerProgress) reserve(n int64) bool {
	if !p.memory.reserve(n, p.reserved+n) {
		return false
	}
	p.reserved += n
	return true
}

// release drops the body and releases its reserved memory.
func (p *answerProgress) release() {
	p.memory.release(p.reserved)
	p.body, p.reserved = nil, 0
}

// meanTokenGap returns the mean time between tokens since the last value it returned.
// It returns false until there are enough tokens.
func (p *answerProgress) meanTokenGap() (time.Duration, bool) {
	if _, ok := p.work.Body.(Generation); !ok || p.tokensSinceGap <= tokensPerGap {
		return 0, false
	}
	gap := p.lastTokenAt.Sub(p.gapStart) / time.Duration(p.tokensSinceGap-1)
	p.gapStart = p.lastTokenAt
	p.tokensSinceGap = 1
	return gap, true
}

// deliverRest passes on what the caller has not yet got of a generation whose answer
// came from the ledger or from an agent's memory. It passes the rest on as one token,
// however many it holds.
func (p *answerProgress) deliverRest(a *message.Answer) error {
	if _, ok := p.work.Body.(Generation); !ok || a == nil || p.sink == nil || len(a.Body) <= len(p.body) {
		return nil
	}
	if !bytes.HasPrefix(a.Body, p.body) {
		return errors.New("the answer kept is not the one that was begun")
	}
	return p.sink.Tokens(p.offset, 1, a.Body[len(p.body):])
}

// answer returns the whole answer that has arrived.
func (p *answerProgress) answer() *message.Answer {
	a := &message.Answer{Body: p.body}
	if p.head != nil {
		a.Status = p.head.Status
		a.Header = p.head.Header
	}
	return a
}

// ledgerAnswer returns the answer for the ledger, without the body if that is too long.
// It returns nil for an idempotent request, which the ledger does not record.
func (p *answerProgress) ledgerAnswer() *message.Answer {
	if !p.work.AtMostOnce {
		return nil
	}
	a := p.answer()
	if len(a.Body) > maxLedgerAnswerBytes {
		return &message.Answer{Status: a.Status, BodyDropped: true}
	}
	return a
}

func (p *answerProgress) usage() Usage {
	return Usage{
		PromptTokens: p.end.PromptTokens, CompletionTokens: p.end.CompletionTokens,
		CachedTokens: p.end.CachedTokens,
	}
}
