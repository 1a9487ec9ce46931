package suspicion

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// crashTime is how long a crash is kept, to be reported to another control host.
	crashTime = 10 * time.Minute
	// maxCrashes bounds the crashes that are kept, one for each scope, maxSuspects the keys of each, and maxScopes the scopes
	// whose completed requests are counted.
	maxCrashes  = 128
	maxSuspects = 512
	maxScopes   = 64
	// maxRefused bounds the keys in one report of refused requests.
	maxRefused = 64
	// mergeTime is the time within which all requests at an endpoint are interrupted when it crashes. The
	// crash is reported after that time.
	mergeTime = 50 * time.Millisecond
	// namedInterval is the minimum time between two returns of the same watched key by Completed.
	namedInterval = time.Second
)

// Observer detects requests of one gateway that crash endpoints: it records crashes and completed
// requests for reports to control, and decides which requests must be refused because control holds one
// of their keys.
//
// The zero value is ready to use. It reads no clock and is not safe for concurrent use.
type Observer struct {
	crashes []*seenCrash
	history map[string]*history
	held    map[uint64]message.HeldKey
	// tried holds the number of the last trial for which a request was accepted, by key.
	tried   map[uint64]uint64
	watched []uint64
	// completedAt is when a watched key was last returned by Completed.
	completedAt map[uint64]time.Time
	// lasting holds the longest responses with watched keys since the last report, by key.
	lasting map[uint64]lasting
	refused map[uint64]bool
}

// lasting is a response that has lasted for a time.
type lasting struct {
	scope  string
	lasted time.Duration
	at     time.Time
}

// seenCrash is the end of an incarnation, observed from the requests of a scope that it interrupted.
type seenCrash struct {
	incarnation roster.Incarnation
	scope       string
	at          time.Time
	// requests counts those that were interrupted within message.SuspectTime of the beginning of their response,
	// ongoing the others.
	requests, ongoing int
	suspects          map[Key]suspect
	reported          bool
}

// suspect summarises the requests with a key that a crash interrupted: when the latest was sent, how long the longest
// response had lasted, and whether all had lasted for more than message.SuspectTime.
type suspect struct {
	sentAt time.Time
	lasted time.Duration
	late   bool
}

// Broken is an interrupted request.
type Broken struct {
	Keys KeySet
	// SentAt is when it was sent to the endpoint, and Lasted how long its response had lasted, 0 if it had not begun.
	SentAt time.Time
	Lasted time.Duration
}

// SetHolds replaces the keys that control holds and watches.
func (o *Observer) SetHolds(holds message.Holds) {
	o.held = make(map[uint64]message.HeldKey, len(holds.Held))
	for _, h := range holds.Held {
		o.held[h.Key] = h
	}
	for key := range o.tried {
		if _, ok := o.held[key]; !ok {
			delete(o.tried, key)
		}
	}
	if holds.Watching != nil {
		o.watched = holds.Watching.Keys
		maps.DeleteFunc(o.completedAt, func(key uint64, _ time.Time) bool { return !slices.Contains(o.watched, key) })
	}
}

// Refuse reports whether a new request must be refused, and the held key for which. It accepts one request for each
// trial.
func (o *Observer) Refuse(keys []Key) (message.HeldKey, bool) {
	held, trials, refused := o.judge(keys)
	if refused {
		o.recordRefusal(held.Key)
		return held, true
	}
	for _, h := range trials {
		if o.tried == nil {
			o.tried = map[uint64]uint64{}
		}
		o.tried[h.Key] = h.Trial
	}
	return message.HeldKey{}, false
}

// WouldRefuse returns the result of Refuse without recording the request.
func (o *Observer) WouldRefuse(keys []Key) (message.HeldKey, bool) {
	held, _, refused := o.judge(keys)
	return held, refused
}

// judge returns the held key for which a new request must be refused and true, or the held keys for whose trial it is accepted.
func (o *Observer) judge(keys []Key) (held message.HeldKey, trials []message.HeldKey, refused bool) {
	if len(o.held) == 0 {
		return message.HeldKey{}, nil, false
	}
	for _, key := range keys {
		h, ok := o.held[key.Hash]
		if !ok {
			continue
		}
		if h.Trial == 0 || o.tried[h.Key] == h.Trial {
			return h, nil, true
		}
		trials = append(trials, h)
	}
	return message.HeldKey{}, trials, false
}

// recordRefusal records a refused request for the next report.
func (o *Observer) recordRefusal(key uint64) {
	if o.refused == nil {
		o.refused = map[uint64]bool{}
	}
	if len(o.refused) < maxRefused {
		o.refused[key] = true
	}
}

// IsHeld reports whether a request that was accepted must not be sent again.
func (o *Observer) IsHeld(keys []Key) bool {
	return slices.ContainsFunc(keys, func(key Key) bool {
		_, held := o.held[key.Hash]
		return held
	})
}

// Completed records a request that completed. It returns those of its keys that control watches, each at
// most once a namedInterval.
func (o *Observer) Completed(keys KeySet, now time.Time) []Key {
	for _, scope := range keys {
		if h := o.historyOf(scope.Scope); h != nil {
			h.add(scope.Keys, now)
		}
	}
	var named []Key
	for _, key := range keys.All() {
		if !slices.Contains(o.watched, key.Hash) || now.Sub(o.completedAt[key.Hash]) < namedInterval {
			continue
		}
		if o.completedAt == nil {
			o.completedAt = map[uint64]time.Time{}
		}
		o.completedAt[key.Hash] = now
		named = append(named, key)
	}
	return named
}

// historyOf returns the history of a scope, or nil if there are too many.
func (o *Observer) historyOf(scope string) *history {
	if h := o.history[scope]; h != nil || len(o.history) >= maxScopes {
		return h
	}
	if o.history == nil {
		o.history = map[string]*history{}
	}
	h := &history{}
	o.history[scope] = h
	return h
}

// Lasts records that the response of a request continues. Its watched keys are then no longer suspected of crashes that happened
// after a shorter time.
func (o *Observer) Lasts(keys KeySet, lasted time.Duration, now time.Time) {
	for _, scope := range keys {
		if o.historyOf(scope.Scope) != nil {
			o.lastIn(scope, lasted, now)
		}
	}
}

// lastIn records in one scope that the response of a request continues.
func (o *Observer) lastIn(keys ScopeKeys, lasted time.Duration, now time.Time) {
	for _, key := range keys.Keys {
		if !slices.Contains(o.watched, key.Hash) || lasted <= o.lasting[key.Hash].lasted {
			continue
		}
		if o.lasting == nil {
			o.lasting = map[uint64]lasting{}
		}
		o.lasting[key.Hash] = lasting{keys.Scope, lasted, now}
	}
}

// HasEnded reports whether an incarnation is known to have ended in a crash.
func (o *Observer) HasEnded(incarnation roster.Incarnation) bool {
	return slices.ContainsFunc(o.crashes, func(c *seenCrash) bool { return c.incarnation == incarnation })
}

func (o *Observer) find(incarnation roster.Incarnation, scope string) *seenCrash {
	i := slices.IndexFunc(o.crashes, func(c *seenCrash) bool { return c.incarnation == incarnation && c.scope == scope })
	if i < 0 {
		return nil
	}
	return o.crashes[i]
}

// Crashed records a request that was interrupted by the crash of its endpoint.
func (o *Observer) Crashed(incarnation roster.Incarnation, b Broken, now time.Time) {
	for _, scope := range b.Keys {
		o.crashOf(incarnation, scope.Scope, now).add(scope.Keys, b)
	}
}

// crashOf returns the record of a crash in a scope.
func (o *Observer) crashOf(incarnation roster.Incarnation, scope string, now time.Time) *seenCrash {
	c := o.find(incarnation, scope)
	if c == nil {
		o.crashes = slices.DeleteFunc(o.crashes, func(old *seenCrash) bool { return now.Sub(old.at) > crashTime })
		if len(o.crashes) >= maxCrashes {
			o.crashes = slices.Delete(o.crashes, 0, 1)
		}
		c = &seenCrash{incarnation: incarnation, scope: scope, at: now, suspects: map[Key]suspect{}}
		o.crashes = append(o.crashes, c)
	}
	return c
}

// add counts a request with some keys that the crash interrupted.
func (c *seenCrash) add(keys []Key, b Broken) {
	late := b.Lasted > message.SuspectTime
	if late {
		c.ongoing++
	} else {
		c.requests++
	}
	for _, key := range keys {
		s, known := c.suspects[key]
		if !known && len(c.suspects) >= maxSuspects {
			continue
		}
		s.late = late && (s.late || !known)
		s.lasted = max(s.lasted, b.Lasted)
		if b.SentAt.After(s.sentAt) {
			s.sentAt = b.SentAt
		}
		c.suspects[key] = s
	}
}

// Resubscribed makes the next report contain all crashes that are kept, since it goes to another control
// host.
func (o *Observer) Resubscribed() {
	for _, c := range o.crashes {
		c.reported = false
	}
}

// Report returns the next report to control.
func (o *Observer) Report(now time.Time) message.CrashEvidence {
	var r message.CrashEvidence
	for _, c := range o.crashes {
		if !c.reported && now.Sub(c.at) >= mergeTime {
			c.reported = true
			r.Crashes = append(r.Crashes, o.crashReport(c, now))
		}
	}
	for key := range o.refused {
		r.Refused = append(r.Refused, key)
	}
	slices.Sort(r.Refused)
	clear(o.refused)
	if len(o.watched) == 0 {
		return r
	}
	for scope, h := range o.history {
		r.Completions = append(r.Completions, o.completions(scope, h, now))
	}
	clear(o.lasting)
	return r
}

// completions summarises the completed requests of a scope.
func (o *Observer) completions(scope string, h *history, now time.Time) message.Completions {
	m := message.Completions{Scope: scope, Total: h.total(now)}
	for _, key := range o.watched {
		done, lasts := h.withKey(key, now), o.lasting[key]
		if lasts.scope != scope {
			lasts = lasting{}
		}
		if done.count == 0 && lasts.lasted == 0 {
			continue
		}
		m.Watched = append(m.Watched, message.CompletedKey{
			Key: key, Count: done.count, Age: now.Sub(done.lastAt), Lasted: lasts.lasted, LastedAge: now.Sub(lasts.at),
		})
	}
	return m
}

func (o *Observer) crashReport(c *seenCrash, now time.Time) message.Crash {
	m := message.Crash{
		Endpoint: c.incarnation.ID, StartedMs: c.incarnation.StartedMs, Age: now.Sub(c.at), Scope: c.scope, Requests: c.requests,
		Ongoing: c.ongoing,
	}
	h := o.history[c.scope]
	if h != nil {
		m.Completed = h.total(now)
	}
	for key, broken := range c.suspects {
		s := message.Suspect{Key: key.Hash, Whole: key.Whole, SentAge: now.Sub(broken.sentAt), Lasted: broken.lasted, Late: broken.late}
		if h != nil {
			done := h.withKey(key.Hash, now)
			s.Completed, s.CompletedAge = done.count, now.Sub(done.lastAt)
		}
		m.Suspects = append(m.Suspects, s)
	}
	return m
}
