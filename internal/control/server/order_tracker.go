package server

import (
	"cmp"
	"slices"

	"github.com/egretreach/egretreach/internal/control/membership"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
)

// orderTracker derives the orders of each agent from the replicated state and keeps the reports of
// the agents. The ID of an order follows from its content, so that a new leader sends the orders of
// the former one again under the same IDs.
type orderTracker struct {
	// pending holds the orders that each agent has not executed yet, in the order of their IDs.
	pending map[host.ID][]message.Order
	// reports holds the last report of each agent on each order, by order ID.
	reports map[host.ID]map[uint64]message.OrderDone
	// incarnations holds the incarnation of the agent that sent the reports.
	incarnations map[host.ID]host.Incarnation
}

func newOrderTracker() *orderTracker {
	return &orderTracker{
		pending:      map[host.ID][]message.Order{},
		reports:      map[host.ID]map[uint64]message.OrderDone{},
		incarnations: map[host.ID]host.Incarnation{},
	}
}

const (
	orderFenceShift      = 16
	orderGenerationShift = 4
	orderGenerationMask  = 1<<(orderFenceShift-orderGenerationShift) - 1
)

// orderID returns the ID of an order. The fence takes the bits from orderFenceShift upwards, so
// that orders under a higher fence have higher IDs; the generation takes the 12 bits below and the
// action the lowest 4.
func orderID(action message.OrderAction, fence replica.Fence, generation uint64) uint64 {
	code := map[message.OrderAction]uint64{
		message.OrderLoad: 1, message.OrderDrain: 2, message.OrderRelease: 3,
	}[action]
	return uint64(fence)<<orderFenceShift | (generation&orderGenerationMask)<<orderGenerationShift | code
}

// recordReport records an agent's report on an order. It drops the reports of other incarnations.
func (t *orderTracker) recordReport(from host.ID, incarnation host.Incarnation, done message.OrderDone) {
	if t.incarnations[from] != incarnation || t.reports[from] == nil {
		t.incarnations[from] = incarnation
		t.reports[from] = map[uint64]message.OrderDone{}
	}
	t.reports[from][done.ID] = done
}

// succeeded reports whether the agent has reported the order as executed.
func (t *orderTracker) succeeded(agent host.ID, id uint64) bool { return t.reports[agent][id].OK }

// released reports whether the agent has released the replica with that fence.
func (t *orderTracker) released(agent host.ID, fence replica.Fence) bool {
	return t.succeeded(agent, orderID(message.OrderRelease, fence, 0))
}

// update computes the pending orders of every agent.
func (t *orderTracker) update(fleet *fleetSnapshot) {
	t.pending = map[host.ID][]message.Order{}
	for agent, incarnation := range t.incarnations {
		if fleet.daemons[agent].Info.Incarnation != incarnation {
			delete(t.reports, agent)
			delete(t.incarnations, agent)
		}
	}
	for _, h := range fleet.hosts {
		t.addForHost(fleet, h)
	}
	for _, d := range fleet.daemons {
		t.releaseUnclaimed(fleet, d)
	}
	for agent, orders := range t.pending {
		slices.SortFunc(orders, func(a, c message.Order) int { return cmp.Compare(a.ID, c.ID) })
		t.pending[agent] = slices.CompactFunc(orders, func(a, c message.Order) bool { return a.ID == c.ID })
	}
}

// addForHost adds the orders that follow from the host's claim.
func (t *orderTracker) addForHost(fleet *fleetSnapshot, h state.Host) {
	d, known := fleet.daemons[h.Info.ID]
	if h.Claim == nil || !known || !d.Renewed {
		return
	}
	if h.Claim.Releasing {
		t.add(d, message.OrderRelease, replica.Replica{ID: h.Claim.Replica, Fence: h.Claim.Fence}, nil, 0)
		return
	}
	r, ok := fleet.replicaByID(h.Claim.Replica)
	if !ok {
		return
	}
	if _, holds := heldReplica(d, r.ID, r.Fence); !holds || r.Generation > 0 {
		t.add(d, message.OrderLoad, r.Replica, fleet.memberAddresses(r), r.Generation)
	}
	if r.State == replica.StateDraining && r.Head() == h.Info.ID {
		t.add(d, message.OrderDrain, r.Replica, fleet.memberAddresses(r), 0)
	}
}

// releaseUnclaimed orders an agent to release the replicas that it holds without a claim.
func (t *orderTracker) releaseUnclaimed(fleet *fleetSnapshot, d membership.Daemon) {
	for _, held := range d.Held {
		if r, ok := fleet.replicaByID(held.Replica); ok && r.Fence == held.Fence {
			continue
		}
		t.add(d, message.OrderRelease, replica.Replica{ID: held.Replica, Fence: held.Fence}, nil, 0)
	}
}

// add adds an order unless the agent has reported it as executed and what the agent holds agrees
// with that. An agent that has lost a replica after loading it is thus ordered to load it again.
func (t *orderTracker) add(
	d membership.Daemon, action message.OrderAction, r replica.Replica, addresses []string, generation uint64,
) {
	id := orderID(action, r.Fence, generation)
	_, holds := heldReplica(d, r.ID, r.Fence)
	if t.succeeded(d.Info.ID, id) && (holds == (action != message.OrderRelease)) {
		return
	}
	order := message.Order{ID: id, Action: action, Replica: r, Addresses: addresses}
	t.pending[d.Info.ID] = append(t.pending[d.Info.ID], order)
}

func (fleet *fleetSnapshot) replicaByID(id replica.ID) (state.Replica, bool) {
	if i, known := fleet.replicaIndex[id]; known {
		return fleet.replicas[i], true
	}
	return state.Replica{}, false
}

// memberAddresses returns the addresses of the agents of r's members, in the order of r.Hosts. That
// of an unknown agent is empty.
func (fleet *fleetSnapshot) memberAddresses(r state.Replica) []string {
	addresses := make([]string, len(r.Hosts))
	for i, id := range r.Hosts {
		if d, known := fleet.daemons[id]; known {
			addresses[i] = d.Info.Address
		}
	}
	return addresses
}
