package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
)

// addPatientRoute puts a configuration in force with a second route to the models, which is less urgent.
func (f *fixture) addPatientRoute() {
	f.g.balancer.Ranked = true
	f.g.opts.Dialect.ParseTable = func(document []byte) (*routes.Table, error) {
		table := testTable()
		table.Version = uint64(len(document))
		patient := table.Routes[2]
		patient.Name, patient.Prefix, patient.Priority, patient.Objective = "patient", "/patient/", 2, 1500*time.Millisecond
		table.Routes = append(table.Routes, patient)
		return table.WithIndex(), nil
	}
	f.g.applyUpdate(&message.Picture{Version: 4, Document: []byte("rank")})
}

// TestLateStreamIsServed guards against the refusal of a stream that can be placed before its caller's timeout, where routes differ in
// priority and ServeLate is set, and against a change of the behaviour where one of both conditions is missing: both heads are full
// until long after the objective.
func TestLateStreamIsServed(t *testing.T) {
	for _, c := range []struct{ ranked, serveLate bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
		withFixture(t, func(f *fixture) {
			f.g.balancer.ServeLate = c.serveLate
			if c.ranked {
				f.addPatientRoute()
			}
			forEach(f.heads, func(e *fakeEndpoint) { e.streamEvents(3, 10*time.Millisecond, endStream) })
			f.reportLoad(100, "h0", "h1")
			go f.keepFull(800*time.Millisecond, "h0", "h1")
			got := f.send("POST", "/stream/", "x")
			synctest.Wait()
			if c.ranked && c.serveLate {
				require.Equal(t, eventTexts(3), got.body)
				require.Greater(t, got.took, 700*time.Millisecond)
			} else {
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.Less(t, got.took, 200*time.Millisecond)
			}
			time.Sleep(time.Second)
		})
	}
}

// TestRefusalExplainsItself guards against refusals that all have the same Retry-After or that the log doesn't explain: twelve callers of
// full heads get different usable times, and the log has the inputs.
func TestRefusalExplainsItself(t *testing.T) {
	withFixture(t, func(f *fixture) {
		f.addPatientRoute()
		f.g.balancer.ServeLate = true
		var logged lockedBuffer
		f.g.opts.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
		f.reportLoad(100, "h0", "h1")
		go f.keepFull(2*time.Second, "h0", "h1")
		results := make(chan callerResponse, 12)
		for range 12 {
			go func() { results <- f.send("POST", "/patient/", "x") }()
		}
		times := map[string]bool{}
		for range 12 {
			got := <-results
			require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
			after := got.header.Get("Retry-After")
			seconds, err := strconv.ParseFloat(after, 64)
			require.NoError(t, err)
			require.LessOrEqual(t, seconds, 1.0, "a third of the route's timeout")
			times[after] = true
		}
		synctest.Wait()
		require.Greater(t, len(times), 3)
		require.Contains(t, logged.take(), `"per_second":0,"ahead":4,"waiting":4,"usable":1000,"promised":false,"returned":false,"late":false`)
		time.Sleep(2 * time.Second)
	})
}
