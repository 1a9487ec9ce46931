package overload

import (
	"math"
	"time"
)

const (
	// slotTime and bookSlots give the resolution and the horizon of a book.
	slotTime  = 50 * time.Millisecond
	bookSlots = 400
	// patientShare is the part of the capacity for returns that is promised to ranks other than the most urgent.
	patientShare = 0.6
	// minReturn is the shortest Retry-After. A caller whose late response has little value returns after minPatientReturn at the earliest:
	// an earlier return would take the place of one that can still be served in time.
	minReturn        = 250 * time.Millisecond
	minPatientReturn = 1200 * time.Millisecond
	// unreservedSpread is the time over which the returns are spread for which no room was reserved.
	unreservedSpread = time.Second
	// usableShare is the part of its remaining time for which a caller waits at most before it returns.
	usableShare = 1.0 / 3
	// minRate is the forecast throughput, in requests a second, below which there is no forecast of room.
	minRate = 0.05
)

// Usable returns the longest Retry-After that a caller is expected to follow.
func Usable(deadline, now time.Time) time.Duration {
	return max(0, time.Duration(usableShare*float64(deadline.Sub(now))))
}

// Book holds the returns that refused callers have been promised, in slots of equal length. The zero value is an empty book.
type Book struct {
	// first is the number of the first slot, counted from the Unix epoch, and promised the returns by slot number modulo
	// bookSlots.
	first    int64
	promised [bookSlots]float64
}

// Ask describes a refused caller.
type Ask struct {
	// PerSecond is the forecast throughput, and Share the part of it that is for returning callers.
	PerSecond float64
	Share     float64
	// Waiting is the number of requests that wait already.
	Waiting int
	// MostUrgent says that the caller's rank is the most urgent.
	MostUrgent bool
	// ServeLate says that late responses have the same value as others.
	ServeLate bool
	// Usable is the longest time that the caller can follow.
	Usable time.Duration
	// Spread is uniform in [0, 1). With it gateways that refuse at the same time give different return times.
	Spread float64
}

// Promise returns the time until which a refused caller should wait, and whether room was reserved for it there. It reserves the
// first room that isn't promised yet. If the caller can't use that time it reserves none and returns that time or a later one,
// so that such callers don't return at the same time.
func (b *Book) Promise(ask Ask, now time.Time) (after time.Duration, reserved bool) {
	least := minPatientReturn
	if ask.ServeLate {
		least = minReturn
	}
	if !(ask.PerSecond >= minRate) || math.IsInf(ask.PerSecond, 0) {
		return max(least, time.Duration((1+ask.Spread)/2*float64(ask.Usable))), false
	}
	room := ask.PerSecond * ask.Share * slotTime.Seconds()
	if !ask.MostUrgent {
		room *= patientShare
	}
	drain := time.Duration(min(bookHorizon.Seconds(), float64(ask.Waiting)/ask.PerSecond) * float64(time.Second))
	spread := min(time.Duration(ask.Spread/ask.PerSecond*float64(time.Second)), minReturn)
	from := now.Add(max(least, drain) + spread)
	at, left := b.find(from, room, now)
	after = at.Sub(now)
	if left > 0 || after > ask.Usable {
		return after + time.Duration(ask.Spread*float64(unreservedSpread)), false
	}
	b.reserve(from, room)
	return after, true
}

// bookHorizon is the length of the time that a book covers.
const bookHorizon = bookSlots * slotTime

// find returns the time by which one return finds free room from a time on, and what is left of it at the horizon.
func (b *Book) find(from time.Time, room float64, now time.Time) (time.Time, float64) {
	b.advance(now)
	left := 1.0
	slot := max(slotOf(from), b.first)
	for ; slot < b.first+bookSlots && left > 0; slot++ {
		left -= max(0, room-b.promised[slot%bookSlots])
		if left <= 1e-9 {
			return latest(from, time.Unix(0, slot*int64(slotTime))), 0
		}
	}
	return time.Unix(0, slot*int64(slotTime)), left
}

// reserve takes the room that find has found.
func (b *Book) reserve(from time.Time, room float64) {
	left := 1.0
	for slot := max(slotOf(from), b.first); slot < b.first+bookSlots && left > 1e-9; slot++ {
		taken := min(left, max(0, room-b.promised[slot%bookSlots]))
		b.promised[slot%bookSlots] += taken
		left -= taken
	}
}

// advance drops the slots before now.
func (b *Book) advance(now time.Time) {
	current := slotOf(now)
	if current >= b.first+bookSlots || current < b.first-bookSlots {
		b.promised = [bookSlots]float64{}
		b.first = current
		return
	}
	for ; b.first < current; b.first++ {
		b.promised[b.first%bookSlots] = 0
	}
}

// slotOf returns the number of the slot of a time.
func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotTime) }

// latest returns the later time.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
