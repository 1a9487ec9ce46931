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

// orderBook holds what each agent is to do, by the replicated state, and what it
// has reported done. An order's ID follows from its content, so that a new leader
// repeats the orders of the former one.
type orderBook struct {
	wanted map[host.ID][]message.Order
	done   map[host.ID]map[uint64]message.OrderDone
	// incarnations are those whose reports done holds.
	incarnations map[host.ID]host.Incarnation
}

func newOrderBook() *orderBook {
	return &orderBook{
		wanted:       map[host.ID][]message.Order{},
		done:         map[host.ID]map[uint64]message.OrderDone{},
		incarnations: map[host.ID]host.Incarnation{},
	}
}

const (
	orderFenceShift      = 16
	orderGenerationShift = 4
	orderGenerationMask  = 1<<(orderFenceShift-orderGenerationShift) - 1
)

// orderID is the same for the same order, and higher for a higher fence.
func orderID(action message.OrderAction, fence replica.Fence, generation uint64) uint64 {
	code := map[message.OrderAction]uint64{
		message.OrderLoad: 1, message.OrderDrain: 2, message.OrderRelease: 3,
	}[action]
	return uint64(fence)<<orderFenceShift | (generation&orderGenerationMask)<<orderGenerationShift | code
}

// report records an agent's word on an order.
func (b *orderBook) report(from host.ID, incarnation host.Incarnation, done message.OrderDone) {
	if b.incarnations[from] != incarnation || b.done[from] == nil {
		b.incarnations[from] = incarnation
		b.done[from] = map[uint64]message.OrderDone{}
	}
	b.done[from][done.ID] = done
}

// succeeded reports whether the agent has done the order.
func (b *orderBook) succeeded(agent host.ID, id uint64) bool { return b.done[agent][id].OK }

// released reports whether the agent has released its place under a fence.
func (b *orderBook) released(agent host.ID, fence replica.Fence) bool {
	return b.succeeded(agent, orderID(message.OrderRelease, fence, 0))
}

// update works out anew what every agent is to do.
func (b *orderBook) update(p *picture) {
	b.wanted = map[host.ID][]message.Order{}
	for agent, incarnation := range b.incarnations {
		if p.daemons[agent].Info.Incarnation != incarnation {
			delete(b.done, agent)
			delete(b.incarnations, agent)
		}
	}
	for _, h := range p.hosts {
		b.forHost(p, h)
	}
	for _, d := range p.daemons {
		b.forStrays(p, d)
	}
	for agent, orders := range b.wanted {
		slices.SortFunc(orders, func(a, c message.Order) int { return cmp.Compare(a.ID, c.ID) })
		b.wanted[agent] = slices.CompactFunc(orders, func(a, c message.Order) bool { return a.ID == c.ID })
	}
}

func (b *orderBook) forHost(p *picture, h state.Host) {
	d, known := p.daemons[h.Info.ID]
	if h.Claim == nil || !known || !d.Renewed {
		return
	}
	if h.Claim.Releasing {
		b.want(d, message.OrderRelease, replica.Replica{ID: h.Claim.Replica, Fence: h.Claim.Fence}, nil, 0)
		return
	}
	r, ok := p.replica(h.Claim.Replica)
	if !ok {
		return
	}
	if _, holds := heldBy(d, r.ID, r.Fence); !holds || r.Generation > 0 {
		b.want(d, message.OrderLoad, r.Replica, p.addresses(r), r.Generation)
	}
	if r.State == replica.StateDraining && r.Head() == h.Info.ID {
		b.want(d, message.OrderDrain, r.Replica, p.addresses(r), 0)
	}
}

// forStrays releases what an agent holds without a claim.
func (b *orderBook) forStrays(p *picture, d membership.Daemon) {
	for _, held := range d.Held {
		if r, ok := p.replica(held.Replica); ok && r.Fence == held.Fence {
			continue
		}
		b.want(d, message.OrderRelease, replica.Replica{ID: held.Replica, Fence: held.Fence}, nil, 0)
	}
}

// want adds an order unless the agent has done it. A load that is asked for again
// after it was done is one that the agent has lost.
func (b *orderBook) want(
	d membership.Daemon, action message.OrderAction, r replica.Replica, addresses []string, generation uint64,
) {
	id := orderID(action, r.Fence, generation)
	_, holds := heldBy(d, r.ID, r.Fence)
	if b.succeeded(d.Info.ID, id) && (holds == (action != message.OrderRelease)) {
		return
	}
	order := message.Order{ID: id, Action: action, Replica: r, Addresses: addresses}
	b.wanted[d.Info.ID] = append(b.wanted[d.Info.ID], order)
}

// replica returns the replica of that ID.
func (p *picture) replica(id replica.ID) (state.Replica, bool) {
	if i, known := p.replicaAt[id]; known {
		return p.replicas[i], true
	}
	return state.Replica{}, false
}

// addresses returns the agents' addresses of the replica's members.
func (p *picture) addresses(r state.Replica) []string {
	addresses := make([]string, len(r.Hosts))
	for i, id := range r.Hosts {
		if d, known := p.daemons[id]; known {
			addresses[i] = d.Info.Address
		}
	}
	return addresses
}
