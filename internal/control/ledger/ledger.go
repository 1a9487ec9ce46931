// Package ledger keeps the claims which ensure that a request that must not be repeated
// runs at most once. The ledger is part of the replicated state: it is deterministic
// and takes the time as input.
//
// A key (team and idempotency key) is held by one attempt of one request. Another
// attempt can take over the key only with an attestation that exactly the attempt
// which holds it did not run, after that attempt was settled as not run, or after the
// claim has expired.
package ledger

import (
	"bytes"
	"container/list"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Policy bounds the ledger in time and space. Zero fields take their defaults.
type Policy struct {
	// CompleteRetention is how long a completed claim is kept.
	CompleteRetention time.Duration `cbor:"1,keyasint,omitempty"`
	// PendingRetention is how long a running or unknown claim is kept.
	PendingRetention time.Duration `cbor:"2,keyasint,omitempty"`
	// MaxClaims is the largest number of claims kept.
	MaxClaims int `cbor:"3,keyasint,omitempty"`
	// MaxAnswerBytes is the largest size of one stored answer. Of a larger one only
	// the status is kept.
	MaxAnswerBytes int `cbor:"4,keyasint,omitempty"`
	// MaxAnswersBytes is the largest total size of all stored answers. Of an answer
	// that exceeds it only the status is kept.
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

// Ledger holds the claims. The zero value is empty and uses the default Policy.
type Ledger struct {
	// Policy must be the same on every control host. It is not part of a Snapshot.
	Policy Policy

	claims    map[claimKey]*claim
	byRequest map[request.ID]claimKey
	// pending and complete hold the claims in the order in which they expire.
	pending, complete list.List
	answersBytes      int
}

// Len returns the number of claims kept.
func (l *Ledger) Len() int { return len(l.claims) }

// Claim asks for the right to run item's attempt. If the attempt that holds the key
// asks again, it is granted again. That is safe since only its entry can dispatch the
// attempt, and the agent refuses an attempt that it has seen.
func (l *Ledger) Claim(now time.Time, item message.ClaimItem) message.ClaimItemResult {
	l.Expire(now)
	k := claimKey{team: item.Team, key: item.Key}
	held, ok := l.claims[k]
	switch {
	case !ok && len(l.claims) >= l.Policy.withDefaults().MaxClaims:
		return message.ClaimItemResult{State: message.ClaimFull}
	case !ok:
		return l.grant(now, k, item)
	case !bytes.Equal(held.KeyHash, item.KeyHash):
		return message.ClaimItemResult{State: message.ClaimMismatch}
	case held.State == message.ClaimRunning && held.isHolder(item):
		return held.result(message.ClaimGranted)
	case held.supersededBy(item):
		l.remove(held)
		return l.grant(now, k, item)
	default:
		return held.result(held.State)
	}
}

func (l *Ledger) grant(now time.Time, k claimKey, item message.ClaimItem) message.ClaimItemResult {
	c := &claim{
		Team: item.Team, Key: item.Key, KeyHash: item.KeyHash, State: message.ClaimRunning,
		Request: item.Request, Attempt: item.Attempt,
		Host: item.Host, Incarnation: item.Incarnation, Address: item.Address,
		UnixMs: now.UnixMilli(),
	}
	l.insert(k, c)
	return c.result(message.ClaimGranted)
}

// Settle records how an attempt ended and reports whether the ledger agrees with that
// outcome. Only the attempt that holds the key can be settled, and a completed claim
// stays complete. If the key has no claim, the ledger agrees only with the outcome not
// run.
func (l *Ledger) Settle(now time.Time, item message.SettleItem) bool {
	l.Expire(now)
	held, ok := l.claims[claimKey{team: item.Team, key: item.Key}]
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
		l.completeClaim(now, held, item.Answer)
	default:
		return false
	}
	return true
}

func (l *Ledger) completeClaim(now time.Time, c *claim, answer *message.Answer) {
	l.remove(c)
	c.State = message.ClaimComplete
	c.UnixMs = now.UnixMilli()
	c.Answer = l.storableAnswer(answer)
	l.insert(c.key(), c)
}

// storableAnswer returns the answer if it is within the bounds of the policy, and
// otherwise one that is marked as dropped and has only the status. A missing answer
// counts as dropped.
func (l *Ledger) storableAnswer(answer *message.Answer) *message.Answer {
	if answer == nil {
		return &message.Answer{BodyDropped: true}
	}
	policy := l.Policy.withDefaults()
	size := answerBytes(answer)
	if size <= policy.MaxAnswerBytes && l.answersBytes+size <= policy.MaxAnswersBytes {
		return answer
	}
	return &message.Answer{Status: answer.Status, BodyDropped: true}
}

// Expire drops the claims whose retention has ended.
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

// Request returns what the ledger knows about a request with a claim.
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

func (l *Ledger) insert(k claimKey, c *claim) {
	if l.claims == nil {
		l.claims = map[claimKey]*claim{}
		l.byRequest = map[request.ID]claimKey{}
	}
	l.claims[k] = c
	l.byRequest[c.Request] = k
	l.answersBytes += answerBytes(c.Answer)
	c.element = l.expiryQueue(c).PushBack(c)
}

func (l *Ledger) remove(c *claim) {
	l.expiryQueue(c).Remove(c.element)
	l.answersBytes -= answerBytes(c.Answer)
	delete(l.claims, c.key())
	if l.byRequest[c.Request] == c.key() {
		delete(l.byRequest, c.Request)
	}
}

func (l *Ledger) expiryQueue(c *claim) *list.List {
	if c.State == message.ClaimComplete {
		return &l.complete
	}
	return &l.pending
}
