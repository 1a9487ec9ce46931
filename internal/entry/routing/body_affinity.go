package routing

import "slices"

// maxCompletedBodies bounds the number of body hashes that are stored as completed.
const maxCompletedBodies = 1 << 16

// bodyAffinity sends concurrent copies of one request body to the same replica until
// the body has completed once. Otherwise copies of a body that crashes engines, sent at
// the same time, could crash one replica each.
type bodyAffinity struct {
	inFlight map[uint64][]*attempt
	// young and old are two generations of hashes of completed bodies; old is dropped
	// when young is full.
	young, old map[uint64]struct{}
}

func newBodyAffinity() bodyAffinity {
	return bodyAffinity{inFlight: make(map[uint64][]*attempt), young: make(map[uint64]struct{})}
}

func (b *bodyAffinity) begin(a *attempt) {
	if a.bodyHash != 0 {
		b.inFlight[a.bodyHash] = append(b.inFlight[a.bodyHash], a)
	}
}

func (b *bodyAffinity) end(a *attempt, complete bool) {
	if a.bodyHash == 0 {
		return
	}
	running := b.inFlight[a.bodyHash]
	if i := slices.Index(running, a); i >= 0 {
		running = slices.Delete(running, i, i+1)
	}
	b.inFlight[a.bodyHash] = running
	if len(running) == 0 {
		delete(b.inFlight, a.bodyHash)
	}
	if complete {
		b.markCompleted(a.bodyHash)
	}
}

func (b *bodyAffinity) markCompleted(hash uint64) {
	if len(b.young) >= maxCompletedBodies/2 {
		b.old, b.young = b.young, make(map[uint64]struct{})
	}
	b.young[hash] = struct{}{}
}

func (b *bodyAffinity) hasCompleted(hash uint64) bool {
	if _, ok := b.young[hash]; ok {
		return true
	}
	_, ok := b.old[hash]
	return ok
}

// replicaRunning returns the replica that a copy of a body that has not completed yet
// must go to, or nil if no copy is in flight.
func (b *bodyAffinity) replicaRunning(hash uint64) *replicaState {
	running := b.inFlight[hash]
	if len(running) == 0 || b.hasCompleted(hash) {
		return nil
	}
	return running[0].replica
}
