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

// LeaseStatus is the time and the state of the lease, read together just before a check.
type LeaseStatus struct {
	Now time.Time
	// Leased is true if the agent's lease was valid at Now.
	Leased bool
}

// Gate holds the replica that a host belongs to and the state that its checks need.
// A new gate has no replica and refuses orders until Welcomed is called. It is not
// safe for concurrent use. Use New.
type Gate struct {
	self host.ID

	floorKnown bool
	// highest is the highest fencing number seen, and owner the replica that it
	// belongs to, if known.
	highest replica.Fence
	owner   replica.ID
	// left is the last replica that the host left. Replica IDs are never reused, so
	// any later order to load it is out of date.
	left replica.ID

	place     replica.Replica
	addresses []string
	loaded    bool
	percent   int
	healthy   bool
	draining  bool
	stopping  bool
	members   map[host.ID]*member
}

// New returns the gate of a host.
func New(self host.ID) *Gate { return &Gate{self: self} }

// SetFenceFloor sets the fence floor that control sent: orders with a lower fencing
// number are refused.
func (g *Gate) SetFenceFloor(floor replica.Fence) {
	g.floorKnown = true
	g.raise(floor, "")
}

// raise updates the highest fencing number seen. Owner may be empty if the replica
// that fence belongs to is not known.
func (g *Gate) raise(fence replica.Fence, owner replica.ID) {
	if fence > g.highest {
		g.highest = fence
		g.owner = ""
	}
	if owner != "" && fence == g.highest {
		g.owner = owner
	}
}

// CheckOrder returns an error if an order for r must not be passed to the engine now.
func (g *Gate) CheckOrder(at LeaseStatus, r replica.Replica) error {
	switch {
	case !at.Leased:
		return ErrNoLease{}
	case !g.floorKnown:
		return ErrFenceUnknown{}
	case r.Fence < g.highest:
		return ErrStaleFence{Fence: r.Fence, Highest: g.highest}
	case r.Fence == g.highest && g.owner != "" && g.owner != r.ID:
		return ErrFenceReused{Fence: r.Fence, Owner: g.owner, Requested: r.ID}
	}
	return nil
}

// CheckLoad returns an error if an order to load r must not be passed to the engine
// now.
func (g *Gate) CheckLoad(at LeaseStatus, r replica.Replica) error {
	if err := g.CheckOrder(at, r); err != nil {
		return err
	}
	if r.ID == g.left {
		return ErrReplicaLeft{Replica: r.ID}
	}
	return nil
}

// Join makes the host a member of r, with the model not loaded yet. If the host
// already is a member under the same fence, only the spec and the addresses of the
// members are updated.
func (g *Gate) Join(r replica.Replica, addresses []string) {
	if g.place.ID == r.ID && g.place.Fence == r.Fence {
		g.place.Spec = r.Spec
		g.addresses = addresses
		return
	}
	g.raise(r.Fence, r.ID)
	g.place = r
	g.addresses = addresses
	g.loaded = false
	g.percent = 0
	g.draining = false
	g.members = map[host.ID]*member{}
	for _, h := range r.Hosts {
		if h != g.self {
			g.members[h] = &member{}
		}
	}
}

// Leave ends the host's membership in r. The gate admits no work for r after it.
func (g *Gate) Leave(r replica.Replica) {
	g.raise(r.Fence, r.ID)
	g.left = r.ID
	if g.place.ID != r.ID {
		return
	}
	g.place = replica.Replica{}
	g.addresses = nil
	g.loaded = false
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

// SetEngineState records the state of the engine: its health, the replica and fence that it
// holds, whether the model is loaded, and the progress of loading in percent.
func (g *Gate) SetEngineState(healthy bool, holds replica.ID, fence replica.Fence, loaded bool, percent int) {
	g.healthy = healthy
	same := g.place.ID != "" && holds == g.place.ID && fence == g.place.Fence
	g.loaded = healthy && loaded && same
	if same {
		g.percent = percent
	}
}

// MarkEngineUnhealthy marks the engine as unhealthy until the next report, which closes the
// gate.
func (g *Gate) MarkEngineUnhealthy() {
	g.healthy = false
	g.loaded = false
}

// EngineHealthy reports whether the engine passed its last health check.
func (g *Gate) EngineHealthy() bool { return g.healthy }

// ModelLoaded reports whether the engine has loaded the model for the host's replica.
func (g *Gate) ModelLoaded() bool { return g.loaded }

// LoadPercent returns the progress of loading the model, from 0 to 100.
func (g *Gate) LoadPercent() int { return g.percent }

// AssignedReplica returns the host's replica and the addresses of its members. The last value
// is false if the host belongs to no replica.
func (g *Gate) AssignedReplica() (replica.Replica, []string, bool) {
	return g.place, g.addresses, g.place.ID != ""
}

// IsHead reports whether the host is the head of its replica.
func (g *Gate) IsHead() bool { return g.place.ID != "" && g.place.Head() == g.self }

// CheckAccept returns an ErrClosed if new work for the replica must not be accepted
// now.
func (g *Gate) CheckAccept(at LeaseStatus, id replica.ID, fence replica.Fence) error {
	switch {
	case g.stopping, g.draining:
		return ErrClosed{Code: CodeDraining, Reason: "this endpoint is leaving"}
	case g.place.ID == "":
		return ErrClosed{Code: CodeNoReplica, Reason: "this host is in no replica"}
	case id != g.place.ID || fence != g.place.Fence:
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
	case g.place.ID == "":
		return ErrClosed{Code: CodeNoReplica, Reason: "this host left its replica"}
	case g.place.Fence < g.highest:
		return ErrClosed{Code: CodeStaleFence, Reason: "the host was given to another replica"}
	case !g.IsHead():
		return ErrClosed{Code: CodeNotHead, Reason: "this host is not the head of its replica"}
	case !at.Leased:
		return ErrClosed{Code: CodeLeaseLapsed, Reason: "the agent's lease has lapsed"}
	case !g.healthy:
		return ErrClosed{Code: CodeEngineUnhealthy, Reason: "the engine fails its health check"}
	case !g.loaded:
		return ErrClosed{Code: CodeNotLoaded, Reason: "the engine has not loaded the model"}
	}
	if missing := g.MissingMembers(at.Now); len(missing) > 0 {
		return ErrClosed{Code: CodeMemberLost, Reason: "no heartbeat from " + string(missing[0])}
	}
	return nil
}
