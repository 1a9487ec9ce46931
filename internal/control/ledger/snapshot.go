package ledger

import (
	"container/list"
)

// Snapshot holds all claims of a ledger in the order in which they expire.
type Snapshot struct {
	Pending  []*claim `cbor:"1,keyasint,omitempty"`
	Complete []*claim `cbor:"2,keyasint,omitempty"`
}

// Snapshot returns the ledger's content. It shares the claims with the ledger, so the
// caller must encode it before the next change.
func (l *Ledger) Snapshot() Snapshot {
	return Snapshot{Pending: claimsOf(&l.pending), Complete: claimsOf(&l.complete)}
}

func claimsOf(queue *list.List) []*claim {
	claims := make([]*claim, 0, queue.Len())
	for e := queue.Front(); e != nil; e = e.Next() {
		claims = append(claims, e.Value.(*claim))
	}
	return claims
}

// Restore returns a ledger with the content of s.
func Restore(policy Policy, s Snapshot) *Ledger {
	l := &Ledger{Policy: policy}
	for _, c := range s.Pending {
		l.insert(c.key(), c)
	}
	for _, c := range s.Complete {
		l.insert(c.key(), c)
	}
	return l
}
