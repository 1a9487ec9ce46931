package httpserver

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

const (
	// DefaultCallerMemory is the default of BudgetOptions.Memory.
	DefaultCallerMemory = 20 << 20
	// MinCallerMemory is the least BudgetOptions.Memory for which settings may ask: it has room for the costliest header of 64 KiB.
	MinCallerMemory = 6 << 20
	// DefaultBodyMemory is the default of BudgetOptions.BodyMemory.
	DefaultBodyMemory = 32 << 20
	// connCost is what an open connection costs: the buffers of net/http, the stacks of its goroutines and its records.
	connCost = 16 << 10
	// ordinaryCost is the cost up to which a connection counts as ordinary: a header of 8 KiB, which most servers take, in the lines of a
	// common client. Ordinary connections are not closed to make room for others, since their requests may run.
	ordinaryCost = connCost + 48<<10
	// overshootShare is the share of the memory, as its divisor, by which requests that have begun, reserved connections, small bodies and
	// connections that are being closed may exceed it.
	overshootShare = 4
	// logInterval is the least time between two log lines about callers that were refused or closed.
	logInterval = 10 * time.Second
)

// ErrCallerMemory is returned by reads of callers that are refused or closed because of the memory that all callers hold.
var ErrCallerMemory = errors.New("callers hold all memory that they may")

// BudgetOptions configure a Budget.
type BudgetOptions struct {
	// Memory bounds connections, headers and responses that are not read, in bytes. Once the header of a request has been read, a quarter
	// more is available to it. 0 is DefaultCallerMemory.
	Memory int64
	// BodyMemory bounds the bodies of requests to servers that don't bound them by themselves, in bytes. 0 is DefaultBodyMemory.
	BodyMemory int64
	// Metrics and Logger may be nil.
	Metrics *metric.Registry
	Logger  *log.Logger
}

// Budget bounds the memory that callers make a process hold. All servers of a process share one. Create it with NewBudget.
type Budget struct {
	opts BudgetOptions

	mu sync.Mutex
	// held is the cost of all accounts. leaving is the part of it that belongs to evicted ones, and ordinary that of other ordinary ones.
	held, leaving, ordinary int64
	bodies                  int64
	opened                  uint64
	accounts                map[*account]struct{}
	refused                 uint64
	closed                  uint64
	logged                  time.Time
	// loggedRefused and loggedClosed are the counts in the last log line.
	loggedRefused, loggedClosed uint64
	refusedTotal, closedTotal   metrics.Counter
	unsent                      unsentRecord
}

// account is the share of a connection in a Budget.
type account struct {
	cost int64
	// number is higher for newer connections.
	number  uint64
	evicted bool
	// reserved says that ordinary callers don't keep the connection away, as long as it is ordinary itself.
	reserved bool
	// evict closes the connection soon. It must not block.
	evict func()
}

// isOrdinary reports whether the connection takes no more than an ordinary one.
func (a *account) isOrdinary() bool { return a.cost <= ordinaryCost }

// NewBudget returns a budget of which nothing is in use.
func NewBudget(opts BudgetOptions) *Budget {
	if opts.Memory == 0 {
		opts.Memory = DefaultCallerMemory
	}
	if opts.BodyMemory == 0 {
		opts.BodyMemory = DefaultBodyMemory
	}
	b := &Budget{opts: opts, accounts: map[*account]struct{}{}}
	b.unsent.logger = opts.Logger
	b.register(opts.Metrics)
	b.unsent.register(opts.Metrics)
	return b
}

// register registers the metrics of the budget.
func (b *Budget) register(registry *metric.Registry) {
	gauge := func(name, help string, value func() float64) {
		registry.GaugeFunc(name, help, func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return value()
		})
	}
	gauge("caller_memory_bytes", "Memory that connections, headers and unread responses of callers take.", func() float64 { return float64(b.held) })
	gauge("caller_memory_limit_bytes", "Limit of caller_memory_bytes.", func() float64 { return float64(b.opts.Memory) })
	gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(len(b.accounts)) })
	b.refusedTotal = registry.Counter("callers_refused_total", "Connections and requests of callers refused for their number or memory, or for what they send.")
	b.closedTotal = registry.Counter("callers_closed_total", "Connections of callers closed because they held the most memory.")
}

// open adds a connection with the cost of one that sends nothing. It returns false if there is no room for it; others may
// have been evicted by then.
func (b *Budget) open(a *account) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	a.number = b.opened
	if !b.makeRoom(a, connCost, false) {
		return false
	}
	b.accounts[a] = struct{}{}
	b.setCost(a, connCost)
	return true
}

// set changes the cost of a connection, unless it has been removed. It returns false if there
// is no room for it; others may have been evicted by then.
func (b *Budget) set(a *account, cost int64) bool { return b.change(a, cost, false) }

// setBegun is set for a connection on which the header of a request has been read, so that the request may run.
func (b *Budget) setBegun(a *account, cost int64) bool { return b.change(a, cost, true) }

// change is set, or setBegun if a request has begun.
func (b *Budget) change(a *account, cost int64, begun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.accounts[a]; !ok || cost == a.cost {
		return true
	}
	if cost > a.cost && !b.makeRoom(a, cost, begun) {
		return false
	}
	b.setCost(a, cost)
	return true
}

// close removes a connection.
func (b *Budget) close(a *account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.accounts[a]; !ok {
		return
	}
	b.setCost(a, 0)
	delete(b.accounts, a)
}

// setCost changes the cost of a in all sums. mu is held.
func (b *Budget) setCost(a *account, cost int64) {
	b.count(a, -a.cost)
	a.cost = cost
	b.count(a, cost)
}

// count adds cost to the sums to which a belongs. mu is held.
func (b *Budget) count(a *account, cost int64) {
	b.held += cost
	switch {
	case a.evicted:
		b.leaving += cost
	case a.isOrdinary():
		b.ordinary += cost
	}
}

// makeRoom reports whether a may cost cost, and evicts larger connections for it if need be. Ordinary connections may fill the memory; beyond
// that new ones are refused, and so are large headers. Requests that have begun and reserved connections may exceed it. mu is held.
func (b *Budget) makeRoom(a *account, cost int64, begun bool) bool {
	grows, limit := cost-a.cost, withOvershoot(b.opts.Memory)
	isLarge := cost > ordinaryCost
	switch {
	case isLarge && b.held+grows > limit:
		return false // Those that are being closed have not released their memory yet.
	case begun:
	case isLarge:
		limit = b.opts.Memory
	case a.reserved:
	case b.ordinary+grows > b.opts.Memory:
		return false
	}
	return b.release(b.held-b.leaving+grows-limit, cost)
}

// withOvershoot returns a limit with the part by which it may be exceeded.
func withOvershoot(limit int64) int64 { return limit + limit/overshootShare }

// release evicts the largest connections, the newest of equal ones first, until they hold missing bytes. It evicts only those that are
// larger than cost and not ordinary; if they hold less than missing, it evicts none and returns false. mu is held.
func (b *Budget) release(missing, cost int64) bool {
	if missing <= 0 {
		return true
	}
	larger, sum := b.largerThan(max(cost, ordinaryCost))
	if sum < missing {
		return false
	}
	slices.SortFunc(larger, func(x, y *account) int {
		return cmp.Or(cmp.Compare(y.cost, x.cost), cmp.Compare(y.number, x.number))
	})
	for _, a := range larger {
		if missing <= 0 {
			break
		}
		missing -= a.cost
		b.evict(a)
	}
	return true
}

// largerThan returns the connections that are larger than cost and not evicted, and the sum of their costs. mu is held.
func (b *Budget) largerThan(cost int64) (larger []*account, sum int64) {
	for a := range b.accounts {
		if !a.evicted && a.cost > cost {
			larger = append(larger, a)
			sum += a.cost
		}
	}
	return larger, sum
}

// evict has a connection closed that is not ordinary. mu is held.
func (b *Budget) evict(a *account) {
	a.evicted = true
	b.leaving += a.cost
	b.closed++
	b.closedTotal.Inc(1)
	a.evict()
}

// reserveBody counts n more bytes of bodies. It returns false and counts nothing if that is too much. Small bodies may exceed the limit by a
// part, so that a few large ones don't refuse them.
func (b *Budget) reserveBody(n int64, small bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.opts.BodyMemory
	if small {
		limit = withOvershoot(limit)
	}
	if b.bodies+n > limit {
		return false
	}
	b.bodies += n
	return true
}

func (b *Budget) releaseBody(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodies -= n
}

// countRefusal counts a refusal.
func (b *Budget) countRefusal() {
	b.mu.Lock()
	b.refused++
	b.mu.Unlock()
	b.refusedTotal.Inc(1)
	b.logCounts()
}

// logCounts logs how many callers were refused and closed, unless there was a line within logInterval.
func (b *Budget) logCounts() {
	b.mu.Lock()
	now := time.Now()
	if b.opts.Logger == nil || now.Sub(b.logged) < logInterval {
		b.mu.Unlock()
		return
	}
	b.logged = now
	refused, closed := b.refused-b.loggedRefused, b.closed-b.loggedClosed
	b.loggedRefused, b.loggedClosed = b.refused, b.closed
	held, connections := b.held, len(b.accounts)
	b.mu.Unlock()
	event.CallersLimited.On(b.opts.Logger).Uint64("refused", refused).Uint64("closed", closed).Int64("held", held).
		Int64("limit", b.opts.Memory).Int("connections", connections).Msg("")
}
