package quarantine

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	testGateway host.ID = "gateway"
	otherKey    uint64  = 9
)

// breakerFixture is a Breaker whose proposals are committed at once.
type breakerFixture struct {
	t       *testing.T
	breaker Breaker
	now     time.Time
	crashes int
}

// crash reports a crash that broke off requests with some keys, sent shortly before.
func (f *breakerFixture) crash(keys ...uint64) {
	f.crashes++
	c := message.Crash{Endpoint: fmt.Sprint("endpoint-", f.crashes), Scope: "s", Requests: 1, Completed: 60}
	for _, key := range keys {
		c.Suspects = append(c.Suspects, message.Suspect{Key: key, SentAge: 100 * time.Millisecond})
	}
	f.breaker.Add(testGateway, message.CrashEvidence{Crashes: []message.Crash{c}}, f.now)
}

// complete reports that a request with a key completed just now.
func (f *breakerFixture) complete(key uint64) {
	done := message.Completions{Scope: "s", Total: 60, Watched: []message.CompletedKey{{Key: key, Count: 1}}}
	f.breaker.Add(testGateway, message.CrashEvidence{Completions: []message.Completions{done}}, f.now)
}

// pass lets time pass, in which the leader judges.
func (f *breakerFixture) pass(d time.Duration) []HoldChange {
	var changes []HoldChange
	var holds HoldSet
	for _, h := range f.holds() {
		holds.Apply(holds.Next(), h)
	}
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		changes = append(changes, f.breaker.Evaluate(f.now)...)
		for _, h := range f.breaker.Due(f.now) {
			holds.Apply(holds.Next(), h)
		}
		f.breaker.Sync(holds.List(), f.now)
	}
	return changes
}

// holds returns the holds that are committed.
func (f *breakerFixture) holds() []Hold {
	var holds []Hold
	for key, held := range f.breaker.keys {
		holds = append(holds, Hold{Key: key, Failures: held.failures})
	}
	return holds
}

// doubt makes a key suspected, by crashes that are one after the other.
func (f *breakerFixture) doubt() {
	for range 10 {
		if f.breaker.verdict(badKey) != VerdictNone {
			break
		}
		f.crash(badKey, otherKey)
		f.crash(otherKey)
		f.complete(otherKey)
		f.pass(500 * time.Millisecond)
	}
	require.Equal(f.t, VerdictSuspected, f.breaker.verdict(badKey))
}

// refuse reports that the gateway refuses requests with the key.
func (f *breakerFixture) refuse() {
	f.breaker.Add(testGateway, message.CrashEvidence{Refused: []uint64{badKey}}, f.now)
}

// TestSuspectedKeyIsTriedAtOnce guards against a sound part that is refused for long on thin evidence, and against a bad one that goes on
// crashing endpoints until the evidence is strong.
func TestSuspectedKeyIsTriedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		then func(f *breakerFixture)
		want Verdict
		hold time.Duration
	}{
		"its probe crashes an endpoint": {func(f *breakerFixture) { f.crash(badKey) }, VerdictConfirmed, 2 * firstHold},
		"its probe completes":           {func(f *breakerFixture) { f.complete(badKey) }, VerdictNone, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := &breakerFixture{t: t, now: noonOfEvidence}
			f.doubt()
			f.refuse()
			f.pass(200 * time.Millisecond)
			require.Equal(t, f.breaker.probes[badKey].number, f.breaker.View(testGateway, f.now)[0].Trial)
			f.pass(300 * time.Millisecond)
			c.then(f)
			f.pass(500 * time.Millisecond)
			require.Equal(t, c.want, f.breaker.verdict(badKey))
			if c.want == VerdictConfirmed {
				require.Equal(t, c.hold, holdTime(f.breaker.keys[badKey].failures))
			}
		})
	}
}

// TestRequestUnderWayEndsADoubt guards against a sound part that waits for a probe although a request with it, sent before, has completed.
func TestRequestUnderWayEndsADoubt(t *testing.T) {
	f := &breakerFixture{t: t, now: noonOfEvidence}
	f.doubt()
	require.Contains(t, f.breaker.Watched(), badKey)
	f.complete(badKey)
	f.pass(500 * time.Millisecond)
	require.Equal(t, VerdictNone, f.breaker.verdict(badKey))
}

// TestLostProbeOfASuspectedKeyIsRepeatedSoon guards against a sound part that is refused for long since its probe was lost.
func TestLostProbeOfASuspectedKeyIsRepeatedSoon(t *testing.T) {
	f := &breakerFixture{t: t, now: noonOfEvidence}
	f.doubt()
	f.refuse()
	f.pass(200 * time.Millisecond)
	first := f.breaker.probes[badKey].number
	f.pass(suspectProbeTimeout)
	f.refuse()
	f.pass(200 * time.Millisecond)
	require.Greater(t, f.breaker.probes[badKey].number, first)
}

// TestDoubtKeepsTheEvidenceAgainstOthers guards against a bad part whose crashes are forgotten since a sound one was suspected for them.
func TestDoubtKeepsTheEvidenceAgainstOthers(t *testing.T) {
	var e Evidence
	for i := range 3 {
		at := noonOfEvidence.Add(time.Duration(i) * time.Second)
		e.Observe(Observation{ID: CrashID{strconv.Itoa(i), 1}, Observer: "g", Scope: "s", At: at, Requests: 1, Completed: 10_000, Suspects: []Suspect{
			{Key: badKey, SentAt: at.Add(-simulatedStart)}, {Key: otherKey, SentAt: at.Add(-simulatedStart)},
		}})
	}
	suspected := func(key uint64) Verdict {
		if key == otherKey {
			return VerdictSuspected
		}
		return VerdictNone
	}
	now := noonOfEvidence.Add(4 * time.Second)
	require.Empty(t, e.Evaluate(now, nothingHeld), "not watched yet")
	now = now.Add(time.Second)
	require.Empty(t, e.Evaluate(now, suspected), "the crashes count for the suspected key alone")
	e.Complete(otherKey, now)
	e.Evaluate(now, nothingHeld)
	confirmed := e.Evaluate(now.Add(time.Second), nothingHeld)
	require.Len(t, confirmed, 1)
	require.Equal(t, badKey, confirmed[0].Key)
}

// TestPartOfSeveralModelsIsHeldOnce guards against a verdict that comes late since the crashes of each model count apart, and against a model that is
// refused requests with a part that crashes only another one.
func TestPartOfSeveralModelsIsHeldOnce(t *testing.T) {
	const wideKey, models = badKey + 100, 3
	f := &breakerFixture{t: t, now: noonOfEvidence}
	crash := func(n int, completed uint64) {
		scopes := map[string]uint64{fmt.Sprint("s/", n%models): badKey + uint64(n%models), "s": wideKey}
		for scope, key := range scopes {
			f.breaker.Add(testGateway, message.CrashEvidence{Crashes: []message.Crash{{
				Endpoint: fmt.Sprint("endpoint-", n), Scope: scope, Requests: 1, Completed: 200,
				Suspects: []message.Suspect{{Key: key, SentAge: 100 * time.Millisecond}},
			}}}, f.now)
		}
		if completed != 0 {
			f.complete(completed)
		}
		f.pass(500 * time.Millisecond)
	}
	for n := range 5 {
		crash(n, 0)
	}
	require.NotEqual(t, VerdictNone, f.breaker.verdict(wideKey), "five crashes, none of a model more than two")
	for n := range models {
		require.Equal(t, VerdictNone, f.breaker.verdict(badKey+uint64(n)))
	}

	f = &breakerFixture{t: t, now: noonOfEvidence}
	for n := range 6 {
		crash(models*n, wideKey) // Requests for the other models complete.
	}
	require.Equal(t, VerdictNone, f.breaker.verdict(wideKey))
	require.NotEqual(t, VerdictNone, f.breaker.verdict(badKey))
}
