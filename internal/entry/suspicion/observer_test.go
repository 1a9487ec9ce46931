package suspicion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

var observerStart = time.Unix(3_000_000, 0)

func keysOf(parts ...string) KeySet {
	return Identity{Scopes: []string{"s/m"}, Body: []byte("x"), Parts: parts}.Keys()
}

func inScope(scope string, keys ...Key) KeySet { return KeySet{{scope, keys}} }

// TestTrialLetsOneRequestThrough guards against a trial by which more than one request with a held part
// reaches an endpoint, and against a request with two held parts that is accepted for a trial of only
// one of them.
func TestTrialLetsOneRequestThrough(t *testing.T) {
	var o Observer
	a, b := keysOf("a").All(), keysOf("a", "b").All()
	held := func(aTrial uint64) []message.HeldKey {
		return []message.HeldKey{{Key: a[1].Hash, Trial: aTrial}, {Key: b[2].Hash}}
	}
	o.SetHolds(message.Holds{Held: held(0)})
	_, refused := o.Refuse(a)
	require.True(t, refused)
	o.SetHolds(message.Holds{Held: held(7)})
	_, refused = o.Refuse(b)
	require.True(t, refused, "its other part is held")
	for _, want := range []bool{false, true, true} {
		_, refused = o.Refuse(a)
		require.Equal(t, want, refused)
		o.SetHolds(message.Holds{Held: held(7)})
	}
	o.SetHolds(message.Holds{Held: held(8)})
	_, refused = o.Refuse(a)
	require.False(t, refused, "a new trial")
	_, refused = o.Refuse(keysOf("c").All())
	require.False(t, refused)
	require.Len(t, o.Report(observerStart).Refused, 2)
}

// TestCrashIsReportedOnceToEachControlHost guards against crashes that are not reported to a new leader,
// and against requests at the same endpoint that count as several crashes.
func TestCrashIsReportedOnceToEachControlHost(t *testing.T) {
	var o Observer
	now := observerStart
	o.Completed(keysOf("a"), now)
	endpoint := roster.Incarnation{ID: "e", StartedMs: 1}
	o.Crashed(endpoint, Broken{Keys: keysOf("a"), SentAt: now}, now)
	o.Crashed(endpoint, Broken{Keys: keysOf("b"), SentAt: now}, now)
	require.True(t, o.HasEnded(endpoint))
	report := func(after time.Duration) []message.Crash { return o.Report(now.Add(after)).Crashes }
	require.Empty(t, report(0), "more requests may be interrupted")
	crashes := report(time.Second)
	require.Len(t, crashes, 1)
	require.Equal(t, 2, crashes[0].Requests)
	require.Equal(t, 1, crashes[0].Completed)
	require.Len(t, crashes[0].Suspects, 3, "the requests, which are the same, and the two parts")
	require.Empty(t, report(2*time.Second))
	o.Resubscribed()
	require.Equal(t, 3*time.Second, report(3 * time.Second)[0].Age)
}

// TestObserverIsBounded guards against memory that grows without bound with the crashes, keys and scopes of a gateway.
func TestObserverIsBounded(t *testing.T) {
	var o Observer
	now := observerStart
	for i := range 3 * maxHistoryKeys {
		key := Key{Hash: uint64(i)}
		o.Completed(inScope("s/m", key), now)
		o.Completed(inScope(time.Duration(i).String(), key), now)
		broken := Broken{Keys: inScope("s/m", key), SentAt: now}
		o.Crashed(roster.Incarnation{ID: "e", StartedMs: int64(i / maxSuspects)}, broken, now)
		o.Crashed(roster.Incarnation{ID: "e", StartedMs: 0}, broken, now)
	}
	require.LessOrEqual(t, len(o.crashes), maxCrashes)
	require.LessOrEqual(t, len(o.history), maxScopes)
	require.Len(t, o.history["s/m"].buckets[o.history["s/m"].current%int64(historyBuckets)].keys, maxHistoryKeys)
	for _, c := range o.crashes {
		require.LessOrEqual(t, len(c.suspects), maxSuspects)
	}
}

// TestHistoryForgetsOldRequests guards against a part that is never suspected because of requests completed
// long ago, and against steps of the clock.
func TestHistoryForgetsOldRequests(t *testing.T) {
	var h history
	keys := []Key{{Hash: 1}}
	h.add(keys, observerStart)
	h.add(keys, observerStart.Add(20*time.Second))
	require.Equal(t, completed{2, observerStart.Add(20 * time.Second)}, h.withKey(1, observerStart.Add(30*time.Second)))
	require.Equal(t, 1, h.withKey(1, observerStart.Add(historyTime+10*time.Second)).count)
	require.Zero(t, h.total(observerStart.Add(2*historyTime)))
	h.add(keys, observerStart.Add(24*time.Hour))
	h.add(keys, observerStart)
	require.Equal(t, 1, h.total(observerStart))
}

// TestWatchedKeysAreNamedOnceASecond guards against crashes that are cleared by a request which is not logged, and against a log
// line for each request.
func TestWatchedKeysAreNamedOnceASecond(t *testing.T) {
	var o Observer
	keys := keysOf("a", "b")
	first := keys.All()[1:2]
	require.Empty(t, o.Completed(keys, observerStart), "not watched")
	watch := message.Holds{Watching: &message.Watching{Keys: []uint64{first[0].Hash}}}
	o.SetHolds(watch)
	require.Equal(t, first, o.Completed(keys, observerStart))
	o.SetHolds(watch)
	require.Empty(t, o.Completed(keys, observerStart.Add(namedInterval-1)))
	require.Equal(t, first, o.Completed(keys, observerStart.Add(namedInterval)))
}

// TestCrashNamesHowLongResponsesHadGoneOn guards against a request that is not suspected because its response had already lasted for
// a while, and against a longer response that is reported only after its end.
func TestCrashNamesHowLongResponsesHadGoneOn(t *testing.T) {
	var o Observer
	now := observerStart
	keys := Identity{Scopes: []string{"s/m"}, Parts: []string{"a"}}.PartKeys()
	key := keys.All()[0].Hash
	o.SetHolds(message.Holds{Watching: &message.Watching{Keys: []uint64{key}}})
	for _, lasted := range []time.Duration{5 * time.Second, 3 * time.Second, 0} {
		o.Crashed(roster.Incarnation{ID: lasted.String()}, Broken{Keys: keys, SentAt: now, Lasted: 4 * time.Second}, now)
		o.Crashed(roster.Incarnation{ID: lasted.String()}, Broken{Keys: keys, SentAt: now, Lasted: lasted}, now)
	}
	o.Lasts(keys, 3*time.Second, now)
	o.Lasts(keys, 2*time.Second, now.Add(time.Second))
	report := o.Report(now.Add(2 * time.Second))
	for i, want := range []time.Duration{5 * time.Second, 4 * time.Second, 4 * time.Second} {
		require.Equal(t, want, report.Crashes[i].Suspects[0].Lasted)
		require.Equal(t, i < 2, report.Crashes[i].Suspects[0].Late)
	}
	require.Equal(t, []int{0, 0, 1}, []int{report.Crashes[0].Requests, report.Crashes[1].Requests, report.Crashes[2].Requests})
	require.Equal(t, []int{2, 2, 1}, []int{report.Crashes[0].Ongoing, report.Crashes[1].Ongoing, report.Crashes[2].Ongoing})
	require.Equal(t, []message.CompletedKey{{
		Key: key, Age: report.Completions[0].Watched[0].Age, Lasted: 3 * time.Second, LastedAge: 2 * time.Second,
	}}, report.Completions[0].Watched)
	require.Empty(t, o.Report(now.Add(3 * time.Second)).Completions[0].Watched, "reported once")
}

// TestCrashCountsForEachModelAndForAll guards against a part that is sent to several models and whose crashes are counted separately for
// each, or only for the model of the first interrupted request.
func TestCrashCountsForEachModelAndForAll(t *testing.T) {
	var o Observer
	now := observerStart
	keys := func(model string) KeySet {
		return Identity{Scopes: []string{"s/" + model, "s"}, Parts: []string{"bad", model}}.PartKeys()
	}
	endpoint := roster.Incarnation{ID: "e", StartedMs: 1}
	o.Completed(keys("a"), now)
	o.Completed(keys("b"), now)
	o.Crashed(endpoint, Broken{Keys: keys("a"), SentAt: now}, now)
	o.Crashed(endpoint, Broken{Keys: keys("b"), SentAt: now}, now)
	o.Crashed(endpoint, Broken{Keys: keys("b"), SentAt: now}, now)
	counted := map[string][3]int{}
	for _, c := range o.Report(now.Add(time.Second)).Crashes {
		counted[c.Scope] = [3]int{c.Requests, c.Completed, len(c.Suspects)}
	}
	require.Equal(t, map[string][3]int{"s/a": {1, 1, 2}, "s/b": {2, 1, 2}, "s": {3, 2, 3}}, counted)
}
