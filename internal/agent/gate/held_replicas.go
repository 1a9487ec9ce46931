package gate

import (
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// HeldReplicas returns the state of the host's replica as reported to control. It
// is empty if the host belongs to no replica.
func (g *Gate) HeldReplicas(at LeaseStatus, load view.Load) []message.HeldReplica {
	if g.assigned.ID == "" {
		return nil
	}
	held := message.HeldReplica{
		Replica: g.assigned.ID, Fence: g.assigned.Fence, Loaded: g.modelLoaded, LoadPercent: g.loadPercent, Load: load,
	}
	if g.IsHead() {
		held.Missing = g.MissingMembers(at.Now)
		held.Serving = g.CheckAccept(at, g.assigned.ID, g.assigned.Fence) == nil
	}
	return []message.HeldReplica{held}
}
