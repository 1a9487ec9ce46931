package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/clock"
)

// withSilentControl runs test with a fixture that follows a leader which answers no question.
func withSilentControl(t *testing.T, test func(f *fixture)) {
	withFixture(t, func(f *fixture) {
		forEach(f.plains, func(e *fakeEndpoint) { e.respondWith(http.StatusOK, "whole") })
		f.stopAnswers()
		synctest.Wait()
		test(f)
	})
}

// TestDenialNeedsAConfirmation guards against a route or key that was added and is denied by a gateway which has not
// received it yet: a denial requires an answer of control to a question that was asked after the request had arrived.
func TestDenialNeedsAConfirmation(t *testing.T) {
	unknown := map[string][]string{"/none/x": nil, "/safe/x": {"X-Caller-Key", "added"}}
	for path, header := range unknown {
		t.Run("without an answer "+path, func(t *testing.T) {
			withSilentControl(t, func(f *fixture) {
				f.g.nextQuestion(true) // It is unanswered, and answered below for a request that came later.
				time.AfterFunc(50*time.Millisecond, func() { f.g.freshness.Confirm(2) })
				response := f.send(http.MethodPost, path, "", header...)
				require.Equal(t, http.StatusServiceUnavailable, response.status)
				require.Equal(t, "0.5", response.header.Get("Retry-After"))
				require.Equal(t, confirmTimeout, response.took)
			})
		})
		t.Run("cut off "+path, func(t *testing.T) {
			withSilentControl(t, func(f *fixture) {
				f.g.following.Store(false)
				response := f.send(http.MethodPost, path, "", header...)
				require.Equal(t, http.StatusServiceUnavailable, response.status)
				require.Zero(t, response.took, "what can't be confirmed is refused at once")
			})
		})
	}
	withSilentControl(t, func(f *fixture) {
		time.AfterFunc(100*time.Millisecond, func() {
			question := f.g.nextQuestion(true)
			table := testTable()
			table.Version, table.Routes[0].Prefix = 7, "/none/"
			f.g.table.Store(table.WithIndex())
			f.g.freshness.Confirm(question.Number)
		})
		response := f.send(http.MethodPost, "/none/x", "")
		require.Equal(t, http.StatusOK, response.status, "the route was added meanwhile")
		require.Equal(t, 100*time.Millisecond, response.took)
	})
}

// TestFirstConfigurationNeedsAConfirmation guards against a gateway that subscribes to a lagging control host at its
// start, and serves with an older configuration than other gateways already used.
func TestFirstConfigurationNeedsAConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Dialect: testDialect()})
		question := g.nextQuestion(true)
		g.applyUpdate(&message.Picture{Version: 3, Document: []byte("two")})
		require.Error(t, g.Ready())
		g.applyUpdate(&message.Picture{Version: 5, Document: []byte("five5")})
		g.applyUpdate(&message.Picture{Version: 5})
		require.Error(t, g.Ready())
		g.applyUpdate(&message.Picture{Version: 5, Confirmed: question.Number})
		require.NoError(t, g.Ready())
		require.Equal(t, uint64(5), g.table.Load().Version)
	})
}

// TestUnreadableConfigurationConfirmsNothing guards against a gateway that treats its table as the newest although it could not
// decode the newest one.
func TestUnreadableConfigurationConfirmsNothing(t *testing.T) {
	withSilentControl(t, func(f *fixture) {
		question := f.g.nextQuestion(true)
		f.g.applyUpdate(&message.Picture{Version: 9, Document: []byte("bad"), Confirmed: question.Number})
		time.Sleep(2 * defaultConfigAge)
		require.Equal(t, http.StatusServiceUnavailable, f.send(http.MethodPost, "/safe/x", "").status)
	})
}

// TestOutdatedConfigurationServesNothing guards against requests that run with a configuration which may have been replaced
// long ago, at a gateway that can reach control but whose scheduling is delayed.
func TestOutdatedConfigurationServesNothing(t *testing.T) {
	withSilentControl(t, func(f *fixture) {
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/safe/x", "").status)
		time.Sleep(2 * time.Second)
		response := f.send(http.MethodPost, "/safe/x", "")
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Equal(t, confirmTimeout, response.took)

		time.AfterFunc(10*time.Millisecond, func() { f.g.freshness.Confirm(f.g.freshness.Ask(clock.Now())) })
		require.Equal(t, http.StatusOK, f.send(http.MethodPost, "/safe/x", "").status, "confirmed")
	})
}

// TestSuspendedGatewayServesNothingByWhatItHeld guards against requests that run with a configuration which was replaced while the
// host was suspended and its clock stopped.
func TestSuspendedGatewayServesNothingByWhatItHeld(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/none/x"} {
		withSilentControl(t, func(f *fixture) {
			f.g.freshness.Confirm(f.g.freshness.Ask(clock.Now()))
			defer clock.MockSuspension(5 * time.Second)()
			response := f.send(http.MethodPost, path, "")
			require.Equal(t, http.StatusServiceUnavailable, response.status, path)
			require.Zero(t, f.runCount(), path)
		})
	}
	withSilentControl(t, func(f *fixture) {
		defer clock.MockSuspension(5 * time.Second)()
		time.AfterFunc(50*time.Millisecond, func() {
			table := testTable()
			table.Version, table.Routes[0].Targets[0].Service = 2, "llm"
			f.g.table.Store(table.WithIndex())
			f.g.freshness.Confirm(f.g.nextQuestion(true).Number)
		})
		forEach(f.heads, func(e *fakeEndpoint) { e.respondWith(http.StatusOK, "new") })
		require.Equal(t, "new", f.send(http.MethodPost, "/safe/x", "").body, "served as the newer configuration says")
	})
}

// TestOnlyProcessInTimeIsCutOff guards against an overloaded gateway that mistakes its own scheduling delay for a loss of
// control, and continues with its configuration as if it were disconnected.
func TestOnlyProcessInTimeIsCutOff(t *testing.T) {
	const maxAge = time.Second
	cases := []struct {
		name   string
		e      evidence
		serves bool
	}{
		{"confirmed just now", evidence{age: time.Second, following: true}, true},
		{"confirmed just now, late", evidence{age: time.Second, following: true, lateness: time.Second}, true},
		{"outdated", evidence{age: 2 * time.Second, following: true}, false},
		{"cut off", evidence{age: 2 * time.Second}, true},
		{"cut off by its own delay", evidence{age: 2 * time.Second, lateness: time.Second}, false},
	}
	for _, c := range cases {
		require.Equal(t, c.serves, c.e.allowsService(maxAge), c.name)
	}
}
