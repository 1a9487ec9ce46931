package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// record sums up the crashes of one key since its last completed request.
type record struct {
	recordKey
	scope string
	whole bool
	// crashes are those of which each request was sent after the one before. ignored counts the others with the
	// key, and before the crashes of the scope that came before the first one.
	crashes         []*observedCrash
	ignored, before int
}

// recordKey identifies a record. A key has two: of the crashes soon after a response with it had begun, among the requests that were
// broken off as soon, and with late set of all crashes, among all requests that were broken off.
type recordKey struct {
	key  uint64
	late bool
}

// add counts a crash at which the key was present, unless its request was under way already at the crash before.
func (r *record) add(c *observedCrash, s Suspect) {
	if n := len(r.crashes); n > 0 && !s.SentAt.After(r.crashes[n-1].at) {
		r.ignored++
		return
	}
	r.crashes = append(r.crashes, c)
}

// candidates returns the findings on the keys that are most likely to be confirmed, those with the most crashes.
func (e *Evidence) candidates(crashes []observedCrash) []Finding {
	records, seen := recordsOf(crashes)
	suspects := map[string]float64{}
	for _, r := range records {
		suspects[r.scope]++
	}
	records = slices.DeleteFunc(records, func(r *record) bool { return len(r.crashes) < minWatched })
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.key, b.key))
	})
	records = records[:min(len(records), maxWatched)]
	candidates := make([]Finding, 0, len(records))
	for _, r := range records {
		b := Finding{Key: r.key, Scope: r.scope, Whole: r.whole, Late: r.late, Crashes: len(r.crashes), Chance: 1}
		b.Others = seen[r.scope] - r.before - r.ignored - b.Crashes
		if b.Crashes >= minCrashes {
			b.Completed, b.WithKey = e.completed(b.Scope, b.Key)
			b.Chance = b.chance(r.logChance(b.Completed, b.WithKey))
			b.Expected = b.Chance * suspects[r.scope] * float64(r.before+1)
		}
		candidates = append(candidates, b)
	}
	return candidates
}

// recordsOf returns the records of all keys, and the number of crashes in each scope.
func recordsOf(crashes []observedCrash) ([]*record, map[string]int) {
	byKey := map[recordKey]*record{}
	seen := map[string]int{}
	lateKeys := keysPresentLate(crashes)
	for i := range crashes {
		c := &crashes[i]
		for key, s := range c.suspects {
			if !s.Late {
				addTo(byKey, recordKey{key, false}, c, s, seen)
			}
			if lateKeys[key] {
				addTo(byKey, recordKey{key, true}, c, s, seen)
			}
		}
		seen[c.scope]++
	}
	return slices.Collect(maps.Values(byKey)), seen
}

// keysPresentLate returns the keys that were present late at a crash.
func keysPresentLate(crashes []observedCrash) map[uint64]bool {
	keys := map[uint64]bool{}
	for i := range crashes {
		for key, s := range crashes[i].suspects {
			if s.Late {
				keys[key] = true
			}
		}
	}
	return keys
}

// addTo adds a crash to a record.
func addTo(byKey map[recordKey]*record, id recordKey, c *observedCrash, s Suspect, seen map[string]int) {
	r := byKey[id]
	if r == nil {
		r = &record{recordKey: id, scope: c.scope, whole: s.Whole, before: seen[c.scope]}
		byKey[id] = r
	}
	r.add(c, s)
}

// logChance returns the logarithm of the probability that requests with the key were broken off at each of its crashes by
// chance, if all gateways report a number of completed requests, some of them with the key.
func (r *record) logChance(completed, withKey int) float64 {
	sum := 0.0
	for _, c := range r.crashes {
		broken := c.requests
		if r.late {
			broken += c.ongoing
		}
		sum += math.Log(c.chance(c.suspects[r.key], broken, completed, withKey))
	}
	return sum
}

// chance returns the probability that a key is among a number of requests that were broken off by a crash that it has
// nothing to do with, estimated by its share of the completed requests: of those that all gateways report, or of
// those of the ones that saw the crash.
func (c *observedCrash) chance(s Suspect, broken, total, withKey int) float64 {
	total, withKey = max(total, c.completed), max(withKey, s.Completed)
	share := (float64(withKey) + 1) / (float64(total) + 2)
	return 1 - math.Pow(1-min(share, 1), float64(max(broken, 1)))
}

// chance returns the probability of the crashes of a key, of which logChance is the logarithm for these very ones. It
// considers that the key can be present at any of the crashes of the time.
func (b Finding) chance(logChance float64) float64 {
	n, _ := math.Lgamma(float64(b.Crashes+b.Others) + 1)
	k, _ := math.Lgamma(float64(b.Crashes) + 1)
	rest, _ := math.Lgamma(float64(b.Others) + 1)
	return min(1, math.Exp(n-k-rest+logChance))
}
