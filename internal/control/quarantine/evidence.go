package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// minCrashes is the least number of crashes, one after the other, from which a key is confirmed. Two may
	// be a coincidence for a request that its caller sends again at once.
	minCrashes = 3
	// maxChance is the greatest probability at which the crashes of a key could be due to chance, so that
	// it is confirmed.
	maxChance = 1e-9
	// maxExpected is the greatest number of keys that chance alone is expected to show in this way, so that a key is suspected:
	// one request with it at a time then shows whether it crashes endpoints.
	maxExpected = 1e-3
	// proofTime is how long a key is watched before it is confirmed: the time in which every gateway learns
	// that it is watched and reports its completed requests.
	proofTime = 300 * time.Millisecond
	// evidenceTime is how long a crash counts.
	evidenceTime = 10 * time.Minute
	// completionsTime is how long an observer's report of completed requests counts.
	completionsTime = 5 * time.Second
	// maxEvidence bounds the crashes that are kept, the latest ones.
	maxEvidence = 128
	// minWatched is the number of crashes from which a key is watched.
	minWatched = 2
	// maxWatched bounds the keys that are watched, those with the most crashes.
	maxWatched = 256
)

// CrashID identifies a crash: an incarnation of an endpoint ends once.
type CrashID struct {
	Endpoint  string
	StartedMs int64
}

// Observation is what one process saw of a crash.
type Observation struct {
	ID CrashID
	// Observer is the process.
	Observer string
	// Scope is the service, or the service and model, of the requests that are counted. A crash is observed in each scope, and
	// judged within it.
	Scope string
	At    time.Time
	// Requests is the number of requests that the crash broke off soon after their response had begun, or
	// before, and Ongoing the number of those that it broke off later.
	Requests, Ongoing int
	// Completed is the number of requests of the scope that the observer saw complete lately.
	Completed int
	Suspects  []Suspect
}

// Completions are the requests of a scope that an observer saw complete lately.
type Completions struct {
	Scope string
	// Total counts all of them, and ByKey those with a watched key.
	Total int
	ByKey map[uint64]int
	At    time.Time
}

// Suspect is a key of one or more of these requests. A key stands for something that requests share: a
// part of their prompts, or all that the requests consist of.
type Suspect struct {
	Key uint64
	// Whole says that the key stands for all that the request consists of.
	Whole bool
	// SentAt is when the latest of the requests with the key was sent to the endpoint.
	SentAt time.Time
	// Completed is the number of the observer's completed requests that had the key, and CompletedAt when
	// the last one completed, or zero.
	Completed   int
	CompletedAt time.Time
	// Lasted is how long the longest of the responses had gone on, 0 if none had begun, and Late says that all had for
	// a while.
	Lasted time.Duration
	Late   bool
}

// isClearedBy reports whether a response with the key that has gone on for a time shows that the key does not crash endpoints
// at this point of their responses.
func (s Suspect) isClearedBy(lasted time.Duration) bool {
	return lasted > max(message.SuspectTime, survivalFactor*s.Lasted)
}

// survivalFactor is how many times as long as the response at a crash another one must go on to clear its keys.
const survivalFactor = 2

// Finding is a key that is found to cause crashes.
type Finding struct {
	Key   uint64
	Scope string
	Whole bool
	// Crashes is the number of crashes one after the other at which requests with the key were broken off,
	// and Others the number of crashes without such requests in the same time.
	Crashes, Others int
	// Late says that crashes count at which all responses with the key had gone on for a while.
	Late bool
	// Chance is the probability of that if the key had nothing to do with it.
	Chance float64
	// Expected is the number of keys that would look like this by chance alone: Chance, times the number of suspects, times
	// the number of crashes from which on the key could have been counted.
	Expected float64
	// Completed is the number of completed requests of the scope from which Chance is estimated, and WithKey the
	// number of those with the key.
	Completed, WithKey int
}

// observedCrash is a crash as all its observers saw it.
type observedCrash struct {
	id        CrashID
	scope     string
	at        time.Time
	observers map[string]bool
	requests  int
	ongoing   int
	completed int
	suspects  map[uint64]Suspect
}

// Evidence finds the keys of requests that crash endpoints. Such a key sets itself apart: no request with
// it completes, or goes on for much longer than those that a crash broke off, and it is present at one crash
// after the other more often than its share of the completed requests explains. A key that most requests have is thus
// never confirmed, and neither is one that is present when many endpoints end at the same time.
//
// The zero value is empty. Evidence reads no clock and is not safe for concurrent use.
type Evidence struct {
	// crashes are in the order of their times.
	crashes []observedCrash
	// completedAt is when a request with a suspected key last completed.
	completedAt map[uint64]time.Time
	// lasting is the response with a suspected key that has gone on for longest.
	lasting map[uint64]lasting
	// completions holds the last report of each observer for each scope.
	completions map[completionsKey]Completions
	// watchedSince is since when a key is watched.
	watchedSince map[uint64]time.Time
	// strongest is the key that came closest to being confirmed at the last evaluation, of those that were not confirmed.
	strongest Finding
	// changed says that something was added since Evaluate looked at the evidence, and waiting that a key may
	// be confirmed once it has been watched for long enough.
	changed, waiting bool
}

// lasting is a response that had gone on for a time.
type lasting struct {
	lasted time.Duration
	at     time.Time
}

// Observe adds what a process saw of a crash. It reports whether that is new, and which keys completed requests clear.
func (e *Evidence) Observe(o Observation) (bool, []Cleared) {
	i := slices.IndexFunc(e.crashes, func(c observedCrash) bool { return c.id == o.ID && c.scope == o.Scope })
	if i < 0 {
		i, _ = slices.BinarySearchFunc(e.crashes, o.At, func(c observedCrash, at time.Time) int { return c.at.Compare(at) })
		e.crashes = slices.Insert(e.crashes, i, observedCrash{id: o.ID, scope: o.Scope, at: o.At, observers: map[string]bool{}, suspects: map[uint64]Suspect{}})
	}
	c := &e.crashes[i]
	if c.observers[o.Observer] {
		return false, nil
	}
	var cleared []Cleared
	e.changed = true
	c.observers[o.Observer] = true
	c.requests += o.Requests
	c.ongoing += o.Ongoing
	c.completed += o.Completed
	for _, s := range o.Suspects {
		cleared = append(cleared, e.Complete(s.Key, s.CompletedAt)...)
		if c.at.After(e.completedAt[s.Key]) && !e.isOutlasted(c.at, s) {
			c.add(s)
		}
	}
	if over := len(e.crashes) - maxEvidence; over > 0 {
		e.crashes = slices.Delete(e.crashes, 0, over)
	}
	return true, cleared
}

// add merges a suspect with what other observers saw of it.
func (c *observedCrash) add(s Suspect) {
	old, known := c.suspects[s.Key]
	s.Completed += old.Completed
	s.Lasted, s.Late = max(s.Lasted, old.Lasted), s.Late && (old.Late || !known)
	if old.SentAt.After(s.SentAt) {
		s.SentAt = old.SentAt
	}
	c.suspects[s.Key] = s
}

// Cleared is a key against which crashes do not count any more, because a request with it completed at a time.
type Cleared struct {
	Key uint64
	// Crashes is the number of these crashes.
	Crashes int
	At      time.Time
}

// minClearedCrashes is the number of crashes from which Complete returns that a key is cleared of them. A single one
// is counted against each request that lay at the endpoint.
const minClearedCrashes = 2

// Complete records that a request with a key completed at a time. Crashes before that don't count against
// the key any more; it returns the key if there were several. A zero time has no effect.
func (e *Evidence) Complete(key uint64, at time.Time) []Cleared {
	if at.IsZero() || !at.After(e.completedAt[key]) {
		return nil
	}
	if e.completedAt == nil {
		e.completedAt = map[uint64]time.Time{}
	}
	e.completedAt[key] = at
	return e.clear(key, at, func(Suspect) bool { return true })
}

// Last records that a response with a key had gone on for a time. Crashes before that don't count against the key any more
// that came much sooner in the response.
func (e *Evidence) Last(key uint64, lasted time.Duration, at time.Time) []Cleared {
	if e.lasting == nil {
		e.lasting = map[uint64]lasting{}
	}
	if old := e.lasting[key]; lasted >= old.lasted {
		e.lasting[key] = lasting{lasted, at}
	}
	return e.clear(key, at, func(s Suspect) bool { return s.isClearedBy(lasted) })
}

// isOutlasted reports whether a response is known that clears a suspect of a crash.
func (e *Evidence) isOutlasted(crashedAt time.Time, s Suspect) bool {
	l := e.lasting[s.Key]
	return !crashedAt.After(l.at) && s.isClearedBy(l.lasted)
}

// clear drops the crashes up to a time that count against a key and are cleared.
func (e *Evidence) clear(key uint64, at time.Time, isCleared func(Suspect) bool) []Cleared {
	crashes := 0
	for _, c := range e.crashes {
		if s, suspected := c.suspects[key]; suspected && !c.at.After(at) && isCleared(s) {
			delete(c.suspects, key)
			crashes++
		}
	}
	e.changed = e.changed || crashes > 0
	if crashes < minClearedCrashes {
		return nil
	}
	return []Cleared{{key, crashes, at}}
}

// completionsKey identifies the reports of one observer on one scope.
type completionsKey struct{ observer, scope string }

// Count replaces what an observer has reported of the completed requests of a scope. It says how often a
// key occurs in all traffic, where an Observation tells only of the processes that saw a crash.
func (e *Evidence) Count(observer string, c Completions) {
	if e.completions == nil {
		e.completions = map[completionsKey]Completions{}
	}
	e.completions[completionsKey{observer, c.Scope}] = c
}

// completed returns how many completed requests of a scope all observers report, and how many of them had
// a key.
func (e *Evidence) completed(scope string, key uint64) (total, withKey int) {
	for id, c := range e.completions {
		if id.scope == scope {
			total += c.Total
			withKey += c.ByKey[key]
		}
	}
	return total, withKey
}

// Watched returns the keys of which completed requests must be reported, sorted.
func (e *Evidence) Watched() []uint64 {
	keys := make([]uint64, 0, len(e.watchedSince))
	for key := range e.watchedSince {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Verdict is what is held of a key.
type Verdict uint8

const (
	// VerdictNone is a key of which nothing is held.
	VerdictNone Verdict = iota
	// VerdictSuspected is a key that may crash endpoints. Its crashes count for it alone as long as that is not known.
	VerdictSuspected
	// VerdictConfirmed is a key that crashes endpoints. Its crashes count for nothing else.
	VerdictConfirmed
)

// Verdict returns what is held of the key from now on.
func (b Finding) Verdict() Verdict {
	switch {
	case b.Crashes < minCrashes:
		return VerdictNone
	case b.Chance < maxChance:
		return VerdictConfirmed
	case b.Expected < maxExpected:
		return VerdictSuspected
	default:
		return VerdictNone
	}
}

// Evaluate drops old crashes, updates the watched keys and returns those that are suspected or confirmed from now on. known
// returns what is held of a key already.
func (e *Evidence) Evaluate(now time.Time, known func(key uint64) Verdict) []Finding {
	if !e.changed && !e.waiting {
		return nil
	}
	e.changed, e.waiting = false, false
	e.expire(now)
	e.crashes = unexplained(e.crashes, func(key uint64) bool { return known(key) == VerdictConfirmed })
	open := unexplained(e.crashes, func(key uint64) bool { return known(key) == VerdictSuspected })
	var confirmed []Finding
	e.strongest = Finding{Chance: 1}
	for {
		candidates := e.candidates(open)
		e.watch(candidates, now)
		best := Finding{Chance: 1}
		for _, b := range candidates {
			if b.Crashes >= minCrashes && b.isStrongerThan(e.strongest) {
				e.strongest = b
			}
			switch {
			case b.Verdict() == VerdictNone || !b.isStrongerThan(best):
			case !e.isProven(b.Key, now):
				e.waiting = true
			default:
				best = b
			}
		}
		if best.Crashes == 0 {
			return confirmed
		}
		confirmed = append(confirmed, best)
		e.strongest = Finding{Chance: 1}
		isBest := func(key uint64) bool { return key == best.Key }
		open = unexplained(open, isBest)
		if best.Verdict() == VerdictConfirmed {
			e.crashes = unexplained(e.crashes, isBest)
		}
	}
}

// isProven reports whether a key has been watched for long enough.
func (e *Evidence) isProven(key uint64, now time.Time) bool {
	since, watched := e.watchedSince[key]
	return watched && now.Sub(since) >= proofTime
}

// isStrongerThan orders findings. Of two equally strong ones that of a part explains the crashes of further
// requests as well, and no request with the part has completed.
func (b Finding) isStrongerThan(other Finding) bool {
	if b.Chance != other.Chance {
		return b.Chance < other.Chance
	}
	if other.Crashes == 0 || b.Whole != other.Whole {
		return other.Crashes == 0 || !b.Whole
	}
	return b.Key < other.Key
}

// expire drops the crashes that are too old, and what is known of keys that no crash names any more.
func (e *Evidence) expire(now time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c observedCrash) bool { return now.Sub(c.at) > evidenceTime })
	maps.DeleteFunc(e.completions, func(_ completionsKey, c Completions) bool { return now.Sub(c.At) > completionsTime })
	named := map[uint64]bool{}
	for _, c := range e.crashes {
		for key := range c.suspects {
			named[key] = true
		}
	}
	maps.DeleteFunc(e.completedAt, func(key uint64, _ time.Time) bool { return !named[key] })
	maps.DeleteFunc(e.lasting, func(key uint64, _ lasting) bool { return !named[key] })
}

// unexplained returns the crashes at which no key was present that explains them, in any scope.
func unexplained(crashes []observedCrash, explains func(key uint64) bool) []observedCrash {
	explained := map[CrashID]bool{}
	for _, c := range crashes {
		for key := range c.suspects {
			if explains(key) {
				explained[c.id] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(c observedCrash) bool { return explained[c.id] })
}

// watch updates the watched keys: the candidates.
func (e *Evidence) watch(candidates []Finding, now time.Time) {
	watched := make(map[uint64]time.Time, maxWatched)
	for _, b := range candidates {
		since, known := e.watchedSince[b.Key]
		if !known {
			since = now
		}
		watched[b.Key] = since
	}
	e.watchedSince = watched
}
