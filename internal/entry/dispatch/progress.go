package dispatch

import (
	"bytes"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/link/message"
)

// gapTokens is how many tokens a measured gap is the mean of, at least.
const gapTokens = 16

// maxKeptBytes bounds the answer that the ledger keeps for resends.
const maxKeptBytes = 64 << 10

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

// progress is how much of an answer has arrived, over all attempts.
type progress struct {
	work   Work
	sink   Sink
	ref    message.Ref
	head   *message.Head
	offset uint64
	text   []byte
	end    message.End

	// begun says that the present attempt has given a token; first, last and count
	// are of its tokens since the last gap.
	begun       bool
	first, last time.Time
	count       uint64
}

// begin starts an attempt. A generation goes on behind what has arrived; a call
// begins anew, since none of its answer has been given to the caller.
func (p *progress) begin(ref message.Ref) {
	p.ref = ref
	p.begun = false
	p.count = 0
	if _, ok := p.work.Body.(ServiceCall); ok {
		p.head = nil
		p.offset = 0
		p.text = nil
	}
}

func (p *progress) length() uint64 { return p.offset }

// take accepts a chunk only if it goes on exactly where the answer stands.
func (p *progress) take(now time.Time, c *message.Chunk) error {
	if c.Offset != p.offset {
		return errOffset{want: p.offset, got: c.Offset}
	}
	if int64(len(p.text)+len(c.Data)) > p.work.MaxAnswer {
		return errAnswerTooLarge{limit: p.work.MaxAnswer}
	}
	p.text = append(p.text, c.Data...)
	p.offset += uint64(c.Count)
	if !p.begun {
		p.first = now
	}
	p.begun = true
	p.last = now
	p.count += uint64(c.Count)
	if _, ok := p.work.Body.(Generation); ok && p.sink != nil {
		return p.sink.Tokens(c.Offset, c.Count, c.Data)
	}
	return nil
}

// gap returns the mean time between tokens since it last did, once there are enough.
func (p *progress) gap() (time.Duration, bool) {
	if _, ok := p.work.Body.(Generation); !ok || p.count <= gapTokens {
		return 0, false
	}
	gap := p.last.Sub(p.first) / time.Duration(p.count-1)
	p.first = p.last
	p.count = 1
	return gap, true
}

// rest gives the caller what it lacks of a generation's answer that came from the
// ledger or from an agent's memory.
func (p *progress) rest(a *message.Answer) error {
	if _, ok := p.work.Body.(Generation); !ok || a == nil || p.sink == nil || len(a.Body) <= len(p.text) {
		return nil
	}
	if !bytes.HasPrefix(a.Body, p.text) {
		return errors.New("the answer kept is not the one that was begun")
	}
	return p.sink.Tokens(p.offset, 1, a.Body[len(p.text):])
}

// answer is the whole answer as it stands.
func (p *progress) answer() *message.Answer {
	a := &message.Answer{Body: p.text}
	if p.head != nil {
		a.Status = p.head.Status
		a.Header = p.head.Header
	}
	return a
}

// kept is the answer as the ledger keeps it.
func (p *progress) kept() *message.Answer {
	if !p.work.AtMostOnce {
		return nil
	}
	a := p.answer()
	if len(a.Body) > maxKeptBytes {
		return &message.Answer{Status: a.Status, Dropped: true}
	}
	return a
}

func (p *progress) usage() Usage {
	return Usage{
		PromptTokens: p.end.PromptTokens, CompletionTokens: p.end.CompletionTokens,
		CachedTokens: p.end.CachedTokens,
	}
}
