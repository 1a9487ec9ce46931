// Package ledger keeps the claims that let a request which may not be repeated run
// at most once. It is part of the replicated state: it is deterministic and takes
// the time as input.
//
// A key (team and idempotency key) is held by one attempt of one request. Another
// attempt takes the key over only with an attestation that names exactly the
// present holder, or after the holder's settlement as not run.
package ledger

import (
	"bytes"
	"container/list"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Policy bounds the ledger in time and space. The zero value takes the defaults.
type Policy struct {
	// CompleteRetention is how long a completed claim is kept.
	CompleteRetention time.Duration `cbor:"1,keyasint,omitempty"`
	// PendingRetention is how long a running or unknown claim is kept.
	PendingRetention time.Duration `cbor:"2,keyasint,omitempty"`
	// MaxClaims bounds the claims kept.
	MaxClaims int `cbor:"3,keyasint,omitempty"`
	// MaxAnswerBytes bounds one stored answer; a larger one is dropped.
	MaxAnswerBytes int `cbor:"4,keyasint,omitempty"`
	// MaxAnswersBytes bounds all stored answers together; beyond it answers are dropped.
	MaxAnswersBytes int `cbor:"5,keyasint,omitempty"`
}

// Defaults of Policy.
const (
	DefaultCompleteRetention = 24 * time.Hour
	DefaultPendingRetention  = 7 * 24 * time.Hour
	DefaultMaxClaims         = 1 << 20
	DefaultMaxAnswerBytes    = 64 << 10
	DefaultMaxAnswersBytes   = 256 << 20
)

func (p Policy) withDefaults() Policy {
	if p.CompleteRetention <= 0 {
		p.CompleteRetention = DefaultCompleteRetention
	}
	if p.PendingRetention <= 0 {
		p.PendingRetention = DefaultPendingRetention
	}
	if p.MaxClaims <= 0 {
		p.MaxClaims = DefaultMaxClaims
	}
	if p.MaxAnswerBytes <= 0 {
		p.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if p.MaxAnswersBytes <= 0 {
		p.MaxAnswersBytes = DefaultMaxAnswersBytes
	}
	return p
}

// Ledger holds the claims. The zero value is empty and takes the default Policy.
type Ledger struct {
	// Policy must be the same on every control host. It is not part of a Snapshot.
	Policy Policy

	claims    map[key]*claim
	byRequest map[request.ID]key
	// pending and complete hold the claims in the order in which they expire.
	pending, complete list.List
	answersBytes      int
}

// Len returns the number of claims kept.
func (l *Ledger) Len() int { return len(l.claims) }

// Claim asks for the right to run item's attempt. The same holder asking again is
// granted again: only it can dispatch that attempt, and the agent refuses an
// attempt that it has seen.
func (l *Ledger) Claim(now time.Time, item message.ClaimItem) message.ClaimItemResult {
	l.Expire(now)
	k := key{team: item.Team, name: item.Key}
	held, ok := l.claims[k]
	switch {
	case !ok && len(l.claims) >= l.Policy.withDefaults().MaxClaims:
		return message.ClaimItemResult{State: message.ClaimFull}
	case !ok:
		return l.hold(now, k, item)
	case !bytes.Equal(held.BodyHash, item.BodyHash):
		return message.ClaimItemResult{State: message.ClaimMismatch}
	case held.State == message.ClaimRunning && held.isHolder(item):
		return held.result(message.ClaimGranted)
	case held.supersededBy(item):
		l.remove(held)
		return l.hold(now, k, item)
	default:
		return held.result(held.State)
	}
}

func (l *Ledger) hold(now time.Time, k key, item message.ClaimItem) message.ClaimItemResult {
	c := &claim{
		Team: item.Team, Key: item.Key, BodyHash: item.BodyHash, State: message.ClaimRunning,
		Request: item.Request, Attempt: item.Attempt,
		Host: item.Host, Incarnation: item.Incarnation, Address: item.Address,
		UnixMs: now.UnixMilli(),
	}
	l.insert(k, c)
	return c.result(message.ClaimGranted)
}

// Settle records how an attempt ended and reports whether the ledger holds that
// end. Only the present holder's word counts, and a completed claim stays complete.
func (l *Ledger) Settle(now time.Time, item message.SettleItem) bool {
	l.Expire(now)
	held, ok := l.claims[key{team: item.Team, name: item.Key}]
	if !ok {
		return item.Outcome == request.OutcomeNotRun
	}
	if held.Request != item.Request || held.Attempt != item.Attempt {
		return false
	}
	if held.State == message.ClaimComplete {
		return item.Outcome == request.OutcomeComplete
	}
	switch item.Outcome {
	case request.OutcomeNotRun:
		l.remove(held)
	case request.OutcomeUnknown:
		held.State = message.ClaimUnknown
	case request.OutcomeComplete:
		l.finish(now, held, item.Answer)
	default:
		return false
	}
	return true
}

func (l *Ledger) finish(now time.Time, c *claim, answer *message.Answer) {
	l.remove(c)
	c.State = message.ClaimComplete
	c.UnixMs = now.UnixMilli()
	c.Answer = l.keep(answer)
	l.insert(c.key(), c)
}

// keep returns what of the answer the ledger has room for.
func (l *Ledger) keep(answer *message.Answer) *message.Answer {
	if answer == nil {
		return &message.Answer{Dropped: true}
	}
	policy := l.Policy.withDefaults()
	size := answerBytes(answer)
	if size <= policy.MaxAnswerBytes && l.answersBytes+size <= policy.MaxAnswersBytes {
		return answer
	}
	return &message.Answer{Status: answer.Status, Dropped: true}
}

// Expire drops the claims that are past their retention.
func (l *Ledger) Expire(now time.Time) {
	policy := l.Policy.withDefaults()
	l.expire(&l.complete, now.Add(-policy.CompleteRetention).UnixMilli())
	l.expire(&l.pending, now.Add(-policy.PendingRetention).UnixMilli())
}

func (l *Ledger) expire(queue *list.List, before int64) {
	for front := queue.Front(); front != nil; front = queue.Front() {
		c := front.Value.(*claim)
		if c.UnixMs > before {
			return
		}
		l.remove(c)
	}
}

// Request returns what is known about a claimed request.
func (l *Ledger) Request(id request.ID) message.RequestResult {
	k, ok := l.byRequest[id]
	if !ok {
		return message.RequestResult{}
	}
	c := l.claims[k]
	return message.RequestResult{
		Found: true, State: c.State, Team: string(c.Team),
		Attempt: c.Attempt, Host: c.Host, UnixMs: c.UnixMs,
	}
}

func (l *Ledger) insert(k key, c *claim) {
	if l.claims == nil {
		l.claims = map[key]*claim{}
		l.byRequest = map[request.ID]key{}
	}
	l.claims[k] = c
	l.byRequest[c.Request] = k
	l.answersBytes += answerBytes(c.Answer)
	c.element = l.queue(c).PushBack(c)
}

func (l *Ledger) remove(c *claim) {
	l.queue(c).Remove(c.element)
	l.answersBytes -= answerBytes(c.Answer)
	delete(l.claims, c.key())
	if l.byRequest[c.Request] == c.key() {
		delete(l.byRequest, c.Request)
	}
}

func (l *Ledger) queue(c *claim) *list.List {
	if c.State == message.ClaimComplete {
		return &l.complete
	}
	return &l.pending
}
