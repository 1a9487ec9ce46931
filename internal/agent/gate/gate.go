// Package gate decides whether a host may pass an order to its engine and whether
// the head of a replica may take work. It is a state machine without clock or
// goroutine: each check is given the time and the state of the lease, both read
// just before.
package gate

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

// Timing of heartbeats between the members of a replica and its head. A member
// lost at any moment closes the gate within BeatTimeout of that moment.
const (
	BeatInterval = 250 * time.Millisecond
	BeatTimeout  = time.Second
)

// Reading is the clock and the lease, read together just before a check.
type Reading struct {
	Now time.Time
	// Leased says that the agent's lease was valid at Now.
	Leased bool
}

// Gate is one host's place in a replica. The zero value has no place and passes no
// order before Welcomed.
type Gate struct {
	self host.ID

	floorKnown bool
	highest    replica.Fence
	owner      replica.ID
	// left is the last replica that the host gave up. Replica IDs are never used
	// twice, so a later order to load it is an old one.
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

// Welcomed takes the host's fence floor from control.
func (g *Gate) Welcomed(floor replica.Fence) {
	g.floorKnown = true
	g.raise(floor, "")
}

func (g *Gate) raise(fence replica.Fence, owner replica.ID) {
	if fence > g.highest {
		g.highest = fence
		g.owner = ""
	}
	if owner != "" && fence == g.highest {
		g.owner = owner
	}
}

// MayPass reports whether an order about r may go to the engine now.
func (g *Gate) MayPass(at Reading, r replica.Replica) error {
	switch {
	case !at.Leased:
		return ErrNoLease{}
	case !g.floorKnown:
		return ErrFenceUnknown{}
	case r.Fence < g.highest:
		return ErrStaleFence{Fence: r.Fence, Highest: g.highest}
	case r.Fence == g.highest && g.owner != "" && g.owner != r.ID:
		return ErrFenceReused{Fence: r.Fence, Held: g.owner, Asked: r.ID}
	}
	return nil
}

// MayLoad reports whether an order to load r may go to the engine now.
func (g *Gate) MayLoad(at Reading, r replica.Replica) error {
	if err := g.MayPass(at, r); err != nil {
		return err
	}
	if r.ID == g.left {
		return ErrLeft{Replica: r.ID}
	}
	return nil
}

// Join gives the host its place in r, in which it has not loaded yet. An order for
// the place that the host has already changes what the replica serves, nothing else.
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

// Leave gives the place in r up. No work passes from here on.
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

// Drain stops new work for the replica.
func (g *Gate) Drain() { g.draining = true }

// Stop stops new work for good: the agent is to end.
func (g *Gate) Stop() { g.stopping = true }

// Stopping reports whether Stop was called.
func (g *Gate) Stopping() bool { return g.stopping }

// Draining reports whether the replica takes no new work.
func (g *Gate) Draining() bool { return g.draining || g.stopping }

// Engine takes the engine's health and what it holds, as its last report said.
func (g *Gate) Engine(healthy bool, holds replica.ID, fence replica.Fence, loaded bool, percent int) {
	g.healthy = healthy
	same := g.place.ID != "" && holds == g.place.ID && fence == g.place.Fence
	g.loaded = healthy && loaded && same
	if same {
		g.percent = percent
	}
}

// EngineLost closes the gate before the next report.
func (g *Gate) EngineLost() {
	g.healthy = false
	g.loaded = false
}

// Healthy reports the engine's health.
func (g *Gate) Healthy() bool { return g.healthy }

// Loaded reports whether the engine holds the place's model.
func (g *Gate) Loaded() bool { return g.loaded }

// Percent returns the progress of loading, 0 to 100.
func (g *Gate) Percent() int { return g.percent }

// Place returns the host's place and the members' addresses.
func (g *Gate) Place() (replica.Replica, []string, bool) {
	return g.place, g.addresses, g.place.ID != ""
}

// IsHead reports whether the host takes the replica's work.
func (g *Gate) IsHead() bool { return g.place.ID != "" && g.place.Head() == g.self }

// MayAccept reports whether work for the replica may be taken now.
func (g *Gate) MayAccept(at Reading, id replica.ID, fence replica.Fence) error {
	switch {
	case g.stopping, g.draining:
		return ErrClosed{Code: CodeDraining, Reason: "this endpoint is leaving"}
	case g.place.ID == "":
		return ErrClosed{Code: CodeNoReplica, Reason: "this host is in no replica"}
	case id != g.place.ID || fence != g.place.Fence:
		return ErrClosed{Code: CodeWrongReplica, Reason: "this host now serves another replica"}
	}
	if err := g.MayRun(at); err != nil {
		return err
	}
	for _, m := range g.members {
		if m.draining {
			return ErrClosed{Code: CodeMemberDraining, Reason: "a member of the replica is leaving"}
		}
	}
	return nil
}

// MayRun reports whether work that was taken may go on running now.
func (g *Gate) MayRun(at Reading) error {
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
		return ErrClosed{Code: CodeEngineDown, Reason: "the engine fails its health check"}
	case !g.loaded:
		return ErrClosed{Code: CodeNotLoaded, Reason: "the engine has not loaded the model"}
	}
	if missing := g.Missing(at.Now); len(missing) > 0 {
		return ErrClosed{Code: CodeMemberLost, Reason: "no heartbeat from " + string(missing[0])}
	}
	return nil
}
