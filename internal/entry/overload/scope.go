package overload

import "time"

const (
	// placedTime is the time constant of the throughput, and of the number of heads that it is compared with.
	placedTime = time.Second
	// servedTime is the time constant of the shares of requests that are served in time, by rank.
	servedTime = 4 * time.Second
	// shortShare is the share of its new requests below which a rank counts as short of capacity.
	shortShare = 0.95
	// shortLateShare is the part of the shortest objective within which a head that takes a late request must still give the first
	// event of another one, while a rank is short of capacity.
	shortLateShare = 0.7
	// minOffered is the number of requests a second from which a rank counts.
	minOffered = 0.2
	// floorShare is the part of the throughput that a less urgent rank gets while it is served less than the more urgent ones.
	floorShare = 0.1
	// maxCredit bounds the places that a rank accumulates.
	maxCredit = 2.0
	// queueMargin is the part of the forecast throughput that is counted on when a request is queued.
	queueMargin = 0.8
	// returnMargin is the same for returned requests.
	returnMargin = 3.0
	// minPlaced is the throughput, in requests a second, that is assumed at least for the part of returning callers.
	minPlaced = 2.0
	// minReturnShare and maxReturnShare bound the part of the throughput that is promised to returning callers. The rest is for
	// new ones, whose responses have a higher value.
	minReturnShare = 0.25
	maxReturnShare = 0.5
	// minQueue is how many requests of a service and model may be queued at least. They use the first places at a head that
	// returns.
	minQueue = 4
	// lossShare is the share of the recent heads below which capacity counts as lost.
	lossShare = 0.8
)

// Caller describes who has sent a request.
type Caller struct {
	Team string
	// Session is what the request has in common with others of the same session, or empty.
	Session   string
	Priority  int
	Objective time.Duration
	// ServeLate says that a late response has the same value to it as one in time.
	ServeLate bool
	// Returned says that the caller was refused before, and Repeated that this gateway has sent the request before.
	Returned, Repeated bool
}

// rank is the state of the requests of one priority.
type rank struct {
	// offered and inTime are the new requests, and those of them that found an endpoint while they could meet their objective.
	offered, inTime rate
	// objective is the shortest one of its requests since they last stopped.
	objective time.Duration
	// credit is the number of places that it is owed.
	credit float64
	fair   fairShare
	teams  teamShares
	// sessions counts the requests that name one.
	sessions teamShares
}

// share returns the share of the rank's new requests that is served in time.
func (r *rank) share(now time.Time) float64 {
	offered := r.offered.current(now, servedTime)
	if offered < minOffered {
		return 1
	}
	return min(1, r.inTime.current(now, servedTime)/offered)
}

// isActive reports whether the rank has had requests recently.
func (r *rank) isActive(now time.Time) bool { return r.offered.current(now, servedTime) >= minOffered }

// Scope is the state of one service and model. The zero value is ready to use.
type Scope struct {
	placed   rate
	returned rate
	heads    level
	current  int
	ranks    map[int]*rank
	book     Book
}

// rank returns the state of a priority.
func (s *Scope) rank(priority int) *rank {
	if s.ranks == nil {
		s.ranks = map[int]*rank{}
	}
	r := s.ranks[priority]
	if r == nil {
		r = &rank{}
		s.ranks[priority] = r
	}
	return r
}

// ObserveHeads records how many heads may get requests.
func (s *Scope) ObserveHeads(count int, now time.Time) {
	s.current = count
	s.heads.observe(float64(count), now, placedTime)
}

// PerSecond forecasts the throughput: the recent throughput, less the contribution of heads that were lost since then.
func (s *Scope) PerSecond(now time.Time) float64 {
	return s.placed.current(now, placedTime) * s.remaining()
}

// remaining returns the share of the recent heads that is left.
func (s *Scope) remaining() float64 {
	if s.heads.value <= 0 {
		return 1
	}
	return min(1, float64(s.current)/s.heads.value)
}

// CapacityLost reports whether a part of the heads was lost recently.
func (s *Scope) CapacityLost() bool { return s.remaining() < lossShare }

// Arrived records a request. Returned and repeated ones don't count as demand.
func (s *Scope) Arrived(c Caller, now time.Time) {
	if c.Returned || c.Repeated {
		return
	}
	r := s.rank(c.Priority)
	if !r.isActive(now) || c.Objective < r.objective {
		r.objective = c.Objective
	}
	r.offered.add(now, servedTime)
	r.teams.offer(c.Team, now)
	if c.Session != "" {
		r.sessions.offer(c.Session, now)
	}
}

// Tag returns the tag that a request would get among those of its rank.
func (s *Scope) Tag(c Caller) float64 { return s.rank(c.Priority).fair.peek(c.Team) }

// TakeTag returns the tag of a request that is queued or placed, and charges it to the team.
func (s *Scope) TakeTag(c Caller) float64 { return s.rank(c.Priority).fair.take(c.Team) }

// Unserved records that a request that had a tag was not placed.
func (s *Scope) Unserved(c Caller) { s.rank(c.Priority).fair.refused(c.Team) }

// Placed records that a request has found an endpoint. late says that its objective could not be met any more.
func (s *Scope) Placed(c Caller, tag float64, late bool, now time.Time) {
	s.placed.add(now, placedTime)
	r := s.rank(c.Priority)
	r.fair.served(tag)
	r.teams.place(c.Team, now)
	if c.Session != "" {
		r.sessions.place(c.Session, now)
	}
	r.credit = max(0, r.credit-1)
	switch {
	case c.Returned:
		s.returned.add(now, placedTime)
	case !late && !c.Repeated:
		r.inTime.add(now, servedTime)
	}
	s.addCredits(c.Priority, now)
}

// addCredits adds to the credit of the ranks that are less urgent than the placed one and served less than the more urgent ones.
func (s *Scope) addCredits(placed int, now time.Time) {
	for priority, r := range s.ranks {
		if priority <= placed || !r.isActive(now) {
			continue
		}
		if r.share(now) >= s.leastShare(priority, now) {
			r.credit = 0
			continue
		}
		r.credit = min(maxCredit, r.credit+floorShare)
	}
}

// leastShare returns the least share that is served in time among the ranks that are more urgent than a priority.
func (s *Scope) leastShare(priority int, now time.Time) float64 {
	least := 1.0
	for p, r := range s.ranks {
		if p < priority {
			least = min(least, r.share(now))
		}
	}
	return least
}

// Owed returns the priority of the rank that goes first because it is owed a place, if there is one.
func (s *Scope) Owed() (priority int, ok bool) {
	for p, r := range s.ranks {
		if r.credit >= 1 && (!ok || p > priority) {
			priority, ok = p, true
		}
	}
	return priority, ok
}

// Reserve returns the shortest objective of those ranks that are short of capacity and go before a caller: the more urgent ones,
// and its own if its team was placed more often than others or its session is hot. It is 0 if there are none. The caller's request leaves room at a head
// for a further one with this objective.
func (s *Scope) Reserve(c Caller, now time.Time) time.Duration {
	own := s.rank(c.Priority)
	leads := own.teams.leads(c.Team, now) || c.Session != "" && own.sessions.isHot(c.Session, now)
	if own.credit >= 1 && !leads {
		return 0
	}
	return s.shortest(now, func(p int, r *rank) bool {
		return (p < c.Priority || p == c.Priority && leads) && r.share(now) < shortShare
	})
}

// LateReserve returns the objective for which a late request leaves room at a head, or 0: the shortest of the ranks with recent
// requests. While one of them is short of capacity it is less by shortLateShare, so that late requests don't take the places of
// those that are yet to arrive.
func (s *Scope) LateReserve(now time.Time) time.Duration {
	reserve := s.shortest(now, func(int, *rank) bool { return true })
	if s.shortest(now, func(_ int, r *rank) bool { return r.share(now) < shortShare }) > 0 {
		return time.Duration(shortLateShare * float64(reserve))
	}
	return reserve
}

// shortest returns the shortest objective of the active ranks for which a condition holds, or 0.
func (s *Scope) shortest(now time.Time, holds func(int, *rank) bool) time.Duration {
	shortest := time.Duration(0)
	for p, r := range s.ranks {
		if r.isActive(now) && holds(p, r) && (shortest == 0 || r.objective < shortest) {
			shortest = r.objective
		}
	}
	return shortest
}

// ReturnsFirst reports whether returned requests may take places like new ones: while they take less than the part of the
// throughput that is promised to them.
func (s *Scope) ReturnsFirst(now time.Time) bool {
	return s.returned.current(now, placedTime) <= s.returnShare(now)*max(s.placed.current(now, placedTime), minPlaced)
}

// returnShare returns the part of the throughput that is for returning callers: what recent new requests leave, within bounds.
func (s *Scope) returnShare(now time.Time) float64 {
	offered := 0.0
	for _, r := range s.ranks {
		offered += r.offered.current(now, servedTime)
	}
	placed := s.placed.current(now, placedTime)
	if placed <= 0 {
		return minReturnShare
	}
	return min(maxReturnShare, max(minReturnShare, 1-offered/placed))
}

// MayWait reports whether the forecast throughput leaves a request a place before its wait ends, behind those that wait before it.
// A returned request was promised a place, so it only has to keep the queue bounded, unless capacity was lost.
func (s *Scope) MayWait(c Caller, ahead int, until, now time.Time) bool {
	wait := until.Sub(now)
	if wait <= 0 {
		return false
	}
	margin := queueMargin
	if c.Returned && !s.CapacityLost() {
		margin = returnMargin
	}
	return float64(ahead) < max(minQueue, margin*s.PerSecond(now)*wait.Seconds())
}

// Return names the time after which a refused caller returns, and whether room was reserved for it.
func (s *Scope) Return(c Caller, waiting int, usable time.Duration, spread float64, now time.Time) (time.Duration, bool) {
	mostUrgent := true
	for p, r := range s.ranks {
		mostUrgent = mostUrgent && (p >= c.Priority || !r.isActive(now))
	}
	return s.book.Promise(Ask{
		PerSecond: s.PerSecond(now), Share: s.returnShare(now), Waiting: waiting, MostUrgent: mostUrgent, ServeLate: c.ServeLate,
		Usable: usable, Spread: spread,
	}, now)
}
