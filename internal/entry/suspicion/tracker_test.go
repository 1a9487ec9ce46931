package suspicion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/view"
)

func TestBodyHashIgnoresNotationAndIgnoredFields(t *testing.T) {
	const path = "/v1/chat/completions"
	base := BodyHash("POST", path, []byte(`{"model":"m","n":1,"messages":[{"role":"user","content":"a"}]}`))
	same := []string{
		` { "n" : 1.0, "messages":[{"content":"\u0061","role":"user"}], "model":"m" } `,
		`{"model":"m","n":1e0,"stream":true,"user":"x","metadata":{"k":1},"messages":[{"role":"user","content":"a"}]}`,
	}
	for _, body := range same {
		require.Equal(t, base, BodyHash("POST", path, []byte(body)), body)
	}
	other := []string{
		`{"model":"m","n":2,"messages":[{"role":"user","content":"a"}]}`,
		`{"model":"m","n":1,"messages":[{"role":"user","content":"a","user":"x"}]}`,
		`{"model":"m","n":1,"messages":[{"role":"user","content":"a"}]}{}`,
		`not json`,
		``,
	}
	for _, body := range other {
		require.NotEqual(t, base, BodyHash("POST", path, []byte(body)), body)
	}
	require.NotEqual(t, base, BodyHash("PUT", path, []byte(same[0])))
}

func TestTrackerVerdicts(t *testing.T) {
	now := time.UnixMilli(1000)
	tracker := New()
	require.Equal(t, Allowed{}, tracker.Check(now, 7))
	tracker.Crashed(now, 7, "a", 1)
	tracker.Crashed(now, 7, "a", 1)
	require.Equal(t, Suspect{}, tracker.Check(now, 7), "two attempts that end by one crash count once")
	tracker.Crashed(now, 7, "b", 1)
	require.Equal(t, Quarantined{RetryAfter: LocalTTL}, tracker.Check(now, 7))
	require.False(t, tracker.Completed(7))
	require.IsType(t, Quarantined{}, tracker.Check(now, 7), "a late completion must not clear it")
	require.Equal(t, Allowed{}, tracker.Check(now.Add(LocalTTL), 7))

	tracker.SetView(now, []view.Quarantine{{BodyHash: 8, ExpiresUnixMs: 3000}, {BodyHash: 9, Suspect: true, ExpiresUnixMs: 9000}})
	require.Equal(t, Quarantined{RetryAfter: 2 * time.Second}, tracker.Check(now, 8))
	require.Equal(t, Suspect{}, tracker.Check(time.UnixMilli(3000), 8), "it is a suspect once the quarantine has ended")
	require.True(t, tracker.Completed(9))
	require.Equal(t, Allowed{}, tracker.Check(now, 9))
}

func TestRevokedReturnsBodiesThatMayNotRunAsDispatched(t *testing.T) {
	now := time.UnixMilli(1000)
	tracker := New()
	tracker.Begin(7, "a", false)
	tracker.Begin(7, "a", false)
	tracker.Begin(8, "c", false)
	tracker.End(7, "a", false)
	tracker.Crashed(now, 7, "b", 1)
	require.Equal(t, []uint64{7}, tracker.Revoked(now))
	tracker.End(7, "a", false)
	tracker.Begin(7, "a", true)
	require.Empty(t, tracker.Revoked(now))
	tracker.Crashed(now, 7, "c", 1)
	require.Equal(t, []uint64{7}, tracker.Revoked(now), "quarantined")
	tracker.End(7, "a", true)
	require.Empty(t, tracker.Revoked(now))
}
