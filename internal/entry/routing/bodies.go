package routing

import "slices"

// maxProven bounds the bodies remembered as harmless.
const maxProven = 1 << 16

// bodies keeps copies of one body together until the body has completed once, so
// that copies of a body that crashes engines, sent at the same time, cannot crash one
// replica each.
type bodies struct {
	running map[uint64][]*flight
	// young and old are two generations of the bodies that have completed.
	young, old map[uint64]struct{}
}

func newBodies() bodies {
	return bodies{running: make(map[uint64][]*flight), young: make(map[uint64]struct{})}
}

func (b *bodies) begin(f *flight) {
	if f.body != 0 {
		b.running[f.body] = append(b.running[f.body], f)
	}
}

func (b *bodies) end(f *flight, complete bool) {
	if f.body == 0 {
		return
	}
	running := b.running[f.body]
	if i := slices.Index(running, f); i >= 0 {
		running = slices.Delete(running, i, i+1)
	}
	b.running[f.body] = running
	if len(running) == 0 {
		delete(b.running, f.body)
	}
	if complete {
		b.prove(f.body)
	}
}

func (b *bodies) prove(hash uint64) {
	if len(b.young) >= maxProven/2 {
		b.old, b.young = b.young, make(map[uint64]struct{})
	}
	b.young[hash] = struct{}{}
}

func (b *bodies) proven(hash uint64) bool {
	if _, ok := b.young[hash]; ok {
		return true
	}
	_, ok := b.old[hash]
	return ok
}

// holder returns the replica that a copy of an unproven body must join, or nil.
func (b *bodies) holder(hash uint64) *state {
	running := b.running[hash]
	if len(running) == 0 || b.proven(hash) {
		return nil
	}
	return running[0].state
}
