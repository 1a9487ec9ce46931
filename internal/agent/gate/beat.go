package gate

import (
	"sort"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

// maxAcks bounds the acks that a member may still echo.
const maxAcks = 16

// member is what the head knows of another member.
type member struct {
	incarnation host.Incarnation
	sequence    uint64
	// acks holds when the head sent each recent ack, by sequence.
	acks map[uint64]time.Time
	// present is a time at which the member was provably there.
	present  time.Time
	draining bool
}

func (m *member) fresh(now time.Time) bool {
	return !m.present.IsZero() && now.Sub(m.present) < BeatTimeout
}

// Beat takes a member's heartbeat and returns the ack to send at once. The member
// is present as of the ack that it echoes, by the head's own clock, so that neither
// a slow network nor a paused head makes an old beat look fresh.
func (g *Gate) Beat(now time.Time, b *message.Beat) message.BeatAck {
	m := g.members[b.Host]
	if m == nil || !g.IsHead() || b.Replica != g.place.ID || b.Fence != g.place.Fence {
		return message.BeatAck{Sequence: b.Sequence, Stale: true}
	}
	if b.Incarnation != m.incarnation || m.acks == nil {
		*m = member{incarnation: b.Incarnation, acks: map[uint64]time.Time{}}
	}
	if b.Sequence <= m.sequence {
		return message.BeatAck{Sequence: b.Sequence}
	}
	m.sequence = b.Sequence
	m.draining = b.Draining
	if sent, ok := m.acks[b.Echo]; ok && sent.After(m.present) {
		m.present = sent
	}
	m.forget(b.Echo)
	m.acks[b.Sequence] = now
	return message.BeatAck{Sequence: b.Sequence}
}

// forget drops acks that were echoed, and the oldest if the member echoes none.
func (m *member) forget(echo uint64) {
	for sequence := range m.acks {
		if sequence < echo || sequence+maxAcks < m.sequence {
			delete(m.acks, sequence)
		}
	}
}

// Missing returns the members without a fresh heartbeat at now, in order.
func (g *Gate) Missing(now time.Time) []host.ID {
	var missing []host.ID
	for id, m := range g.members {
		if !m.fresh(now) {
			missing = append(missing, id)
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i] < missing[j] })
	return missing
}

// Expiry returns when the first member's heartbeat goes stale if no more arrive,
// or the zero time if the gate depends on none.
func (g *Gate) Expiry() time.Time {
	var first time.Time
	if !g.IsHead() {
		return first
	}
	for _, m := range g.members {
		if at := m.present.Add(BeatTimeout); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// MayBeat reports whether the host may tell its head that it is present.
func (g *Gate) MayBeat(at Reading) bool {
	return g.place.ID != "" && g.place.Fence >= g.highest && !g.IsHead() && at.Leased && g.healthy && g.loaded
}
