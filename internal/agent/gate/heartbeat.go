package gate

import (
	"sort"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

// maxAckLag is how far the sequence number of a remembered ack may lie behind the
// member's latest heartbeat. It bounds the memory for a member that echoes none.
const maxAckLag = 16

// member is the head's record of another member's heartbeats.
type member struct {
	incarnation host.Incarnation
	sequence    uint64
	// acks holds the times at which the head sent recent acks, by sequence number.
	acks map[uint64]time.Time
	// lastSeen is the latest time at which the member is known to have been running.
	lastSeen time.Time
	draining bool
}

func (m *member) isPresent(now time.Time) bool {
	return !m.lastSeen.IsZero() && now.Sub(m.lastSeen) < HeartbeatTimeout
}

// RecordHeartbeat records a member's heartbeat and returns the ack, which the
// caller must send at once. The member counts as last seen when the head sent the
// ack that the heartbeat echoes, so its first heartbeat does not make it present yet.
// This uses the head's clock alone, so that neither a slow network nor a pause of the
// head makes an old heartbeat look recent.
func (g *Gate) RecordHeartbeat(now time.Time, b *message.Beat) message.BeatAck {
	m := g.members[b.Host]
	if m == nil || !g.IsHead() || b.Replica != g.assigned.ID || b.Fence != g.assigned.Fence {
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
	if sent, ok := m.acks[b.Echo]; ok && sent.After(m.lastSeen) {
		m.lastSeen = sent
	}
	m.dropAcks(b.Echo)
	m.acks[b.Sequence] = now
	return message.BeatAck{Sequence: b.Sequence}
}

// dropAcks drops the acks before the echoed one, and those more than maxAckLag behind
// the latest heartbeat, in case the member echoes none.
func (m *member) dropAcks(echo uint64) {
	for sequence := range m.acks {
		if sequence < echo || sequence+maxAckLag < m.sequence {
			delete(m.acks, sequence)
		}
	}
}

// MissingMembers returns the other members that are not known to have been running
// within HeartbeatTimeout before now, sorted by ID.
func (g *Gate) MissingMembers(now time.Time) []host.ID {
	var missing []host.ID
	for id, m := range g.members {
		if !m.isPresent(now) {
			missing = append(missing, id)
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i] < missing[j] })
	return missing
}

// HeartbeatExpiry returns the earliest time at which a member's heartbeat times out
// unless another arrives. It returns the zero time if this host is not the head or
// the replica has no other member.
func (g *Gate) HeartbeatExpiry() time.Time {
	var first time.Time
	if !g.IsHead() {
		return first
	}
	for _, m := range g.members {
		if at := m.lastSeen.Add(HeartbeatTimeout); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// MaySendHeartbeat reports whether the host may send heartbeats to the head of its
// replica.
func (g *Gate) MaySendHeartbeat(at LeaseStatus) bool {
	return g.assigned.ID != "" && g.assigned.Fence >= g.highestFence && !g.IsHead() && at.Leased && g.engineHealthy && g.modelLoaded
}
