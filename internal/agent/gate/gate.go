// Package gate decides whether an agent may pass an order to its engine and whether
// the head of a replica may accept work. It reads no clock and starts no goroutine:
// the caller reads the time and the state of the lease just before each check and
// passes them in.
package gate

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Timing of the heartbeats that the members of a replica send to its head. The gate
// closes within HeartbeatTimeout of the moment at which a member is lost.
const (
	HeartbeatInterval = 250 * time.Millisecond
	HeartbeatTimeout  = time.Second
)

// LeaseStatus is the time and the state of the lease, read together just before a
// check.
type LeaseStatus struct {
	Now time.Time
	// Leased is true if the agent's lease was valid at Now.
	Leased bool
}

// Gate holds the replica that a host belongs to and the state that its checks need.
// A new gate has no replica and refuses orders until SetFenceFloor is called. It is
// not safe for concurrent use. Use New.
type Gate struct {
	host host.ID

	floorKnown bool
	// highestFence is the highest fencing number seen, and fenceOwner the replica
	// that it belongs to, if known.
	highestFence replica.Fence
	fenceOwner   replica.ID
	// lastLeft is the replica that the host left last. Replica IDs are never
	// reused, so any later order to load it is out of date.
	lastLeft replica.ID

	assigned      replica.Replica
	addresses     []string
	modelLoaded   bool
	loadPercent   int
	engineHealthy bool
	draining      bool
	stopping      bool
	// members holds the other members. Only the head receives heartbeats from them.
	members map[host.ID]*member
}

// New returns the gate of a host.
func New(self host.ID) *Gate { return &Gate{host: self} }

// SetFenceFloor sets the fence floor that control sent: orders with a lower fencing
// number are refused.
func (g *Gate) SetFenceFloor(floor replica.Fence) {
	g.floorKnown = true
	g.raiseFence(floor, "")
}

// raiseFence updates the highest fencing number seen. Owner may be empty if the
// replica that fence belongs to is not known.
func (g *Gate) raiseFence(fence replica.Fence, owner replica.ID) {
	if fence > g.highestFence {
		g.highestFence = fence
		g.fenceOwner = ""
	}
	if owner != "" && fence == g.highestFence {
		g.fenceOwner = owner
	}
}

// CheckOrder returns an error if an order for r must not be passed to the engine now.
func (g *Gate) CheckOrder(at LeaseStatus, r replica.Replica) error {
	switch {
	case !at.Leased:
		return ErrNoLease{}
	case !g.floorKnown:
		return ErrFenceUnknown{}
	case r.Fence < g.highestFence:
		return ErrStaleFence{Fence: r.Fence, Highest: g.highestFence}
	case r.Fence == g.highestFence && g.fenceOwner != "" && g.fenceOwner != r.ID:
		return ErrFenceReused{Fence: r.Fence, Owner: g.fenceOwner, Requested: r.ID}
	}
	return nil
}

// CheckLoad returns an error if an order to load r must not be passed to the engine
// now.
func (g *Gate) CheckLoad(at LeaseStatus, r replica.Replica) error {
	if err := g.CheckOrder(at, r); err != nil {
		return err
	}
	if r.ID == g.lastLeft {
		return ErrReplicaLeft{Replica: r.ID}
	}
	return nil
}

// Join makes the host a member of r, with the model not loaded yet. If the host
// already is a member under the same fence, only the spec and the addresses of the
// members are updated.
func (g *Gate) Join(r replica.Replica, addresses []string) {
	if g.assigned.ID == r.ID && g.assigned.Fence == r.Fence {
		g.assigned.Spec = r.Spec
		g.addresses = addresses
		return
	}
	g.raiseFence(r.Fence, r.ID)
	g.assigned = r
	g.addresses = addresses
	g.modelLoaded = false
	g.loadPercent = 0
	g.draining = false
	g.members = map[host.ID]*member{}
	for _, h := range r.Hosts {
		if h != g.host {
			g.members[h] = &member{}
		}
	}
}

// Leave ends the host's membership in r. The gate admits no work for r after it.
func (g *Gate) Leave(r replica.Replica) {
	g.raiseFence(r.Fence, r.ID)
	g.lastLeft = r.ID
	if g.assigned.ID != r.ID {
		return
	}
	g.assigned = replica.Replica{}
	g.addresses = nil
	g.modelLoaded = false
	g.members = nil
}

// Drain refuses new work until the host joins another replica.
func (g *Gate) Drain() { g.draining = true }

// Stop refuses new work permanently, because the agent is shutting down.
func (g *Gate) Stop() { g.stopping = true }

// Stopping reports whether Stop was called.
func (g *Gate) Stopping() bool { return g.stopping }

// Draining reports whether new work is refused because of Drain or Stop.
func (g *Gate) Draining() bool { return g.draining || g.stopping }

// SetEngineState records the state of the engine: its health, the replica and fence
// that it holds, whether the model is loaded, and the progress of loading in
// percent.
func (g *Gate) SetEngineState(healthy bool, holds replica.ID, fence replica.Fence, loaded bool, percent int) {
	g.engineHealthy = healthy
	same := g.assigned.ID != "" && holds == g.assigned.ID && fence == g.assigned.Fence
	g.modelLoaded = healthy && loaded && same
	if same {
		g.loadPercent = percent
	}
}

// MarkEngineUnhealthy closes the gate until SetEngineState reports a healthy engine.
func (g *Gate) MarkEngineUnhealthy() {
	g.engineHealthy = false
	g.modelLoaded = false
}

// EngineHealthy reports whether the engine passed its last health check.
func (g *Gate) EngineHealthy() bool { return g.engineHealthy }

// ModelLoaded reports whether the engine has loaded the model for the host's replica.
func (g *Gate) ModelLoaded() bool { return g.modelLoaded }

// LoadPercent returns the progress of loading the model, from 0 to 100.
func (g *Gate) LoadPercent() int { return g.loadPercent }

// AssignedReplica returns the host's replica and the addresses of its members. The
// last value is false if the host belongs to no replica.
func (g *Gate) AssignedReplica() (replica.Replica, []string, bool) {
	return g.assigned, g.addresses, g.assigned.ID != ""
}

// IsHead reports whether the host is the head of its replica.
func (g *Gate) IsHead() bool { return g.assigned.ID != "" && g.assigned.Head() == g.host }

// CheckAccept returns an ErrClosed if new work for the replica must not be accepted
// now.
func (g *Gate) CheckAccept(at LeaseStatus, id replica.ID, fence replica.Fence) error {
	switch {
	case g.stopping, g.draining:
		return ErrClosed{Code: CodeDraining, Reason: "this endpoint is leaving"}
	case g.assigned.ID == "":
		return ErrClosed{Code: CodeNoReplica, Reason: "this host is in no replica"}
	case id != g.assigned.ID || fence != g.assigned.Fence:
		return ErrClosed{Code: CodeWrongReplica, Reason: "this host now serves another replica"}
	}
	if err := g.CheckRun(at); err != nil {
		return err
	}
	for _, m := range g.members {
		if m.draining {
			return ErrClosed{Code: CodeMemberDraining, Reason: "a member of the replica is leaving"}
		}
	}
	return nil
}

// CheckRun returns an ErrClosed if accepted work must not continue to run now.
func (g *Gate) CheckRun(at LeaseStatus) error {
	switch {
	case g.assigned.ID == "":
		return ErrClosed{Code: CodeNoReplica, Reason: "this host left its replica"}
	case g.assigned.Fence < g.highestFence:
		return ErrClosed{Code: CodeStaleFence, Reason: "the host was given to another replica"}
	case !g.IsHead():
		return ErrClosed{Code: CodeNotHead, Reason: "this host is not the head of its replica"}
	case !at.Leased:
		return ErrClosed{Code: CodeLeaseLapsed, Reason: "the agent's lease has lapsed"}
	case !g.engineHealthy:
		return ErrClosed{Code: CodeEngineUnhealthy, Reason: "the engine fails its health check"}
	case !g.modelLoaded:
		return ErrClosed{Code: CodeNotLoaded, Reason: "the engine has not loaded the model"}
	}
	if missing := g.MissingMembers(at.Now); len(missing) > 0 {
		return ErrClosed{Code: CodeMemberLost, Reason: "no heartbeat from " + string(missing[0])}
	}
	return nil
}
