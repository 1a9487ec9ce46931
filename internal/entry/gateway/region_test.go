package gateway

// The tests of this file run in virtual time: withFixture uses testing/synctest.

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/routes"
)

// allow brings a configuration into force in which all routes and the team allow some regions.
func (f *fixture) allow(route, team []string) {
	table := testTable()
	table.Version = f.g.table.Load().Version + 1
	for i := range table.Routes {
		table.Routes[i].Regions = route
	}
	table.Teams[0].Regions = team
	f.g.opts.Dialect.ParseTable = func([]byte) (*routes.Table, error) { return table.WithIndex(), nil }
	f.g.table.Store(table.WithIndex())
}

// TestRequestsStayInTheRegionsOfRouteAndTeam guards against a request, a retry, a standby or a resumed stream that leaves the regions which
// its route and its team allow, and against one that waits although no endpoint may get it.
func TestRequestsStayInTheRegionsOfRouteAndTeam(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "south", "c": "west"}
	for _, c := range []struct {
		name        string
		route, team []string
	}{{"route", []string{"north", "west"}, nil}, {"team", nil, []string{"north", "west"}}, {"both", []string{"north"}, []string{"north", "south"}}} {
		with := func(test func(f *fixture)) {
			withFixture(t, func(f *fixture) {
				f.g.balancer.Regions = regions
				f.moveEndpoint("p1", "b")
				f.moveEndpoint("h1", "b")
				f.allow(c.route, c.team)
				forEach(append(f.plains, f.heads...), func(e *fakeEndpoint) { e.respondWith(http.StatusOK, "whole") })
				test(f)
				require.Empty(t, f.plains[1].received, c.name)
				require.Empty(t, f.heads[1].received, c.name)
			})
		}
		with(func(f *fixture) { // A retry after a refused connection.
			f.plains[0].refuses.Store(true)
			require.Equal(t, http.StatusServiceUnavailable, f.send(http.MethodPost, "/safe/x", "").status, c.name)
		})
		with(func(f *fixture) { // A retry after a server error.
			f.plains[0].respondWith(http.StatusInternalServerError, "")
			require.Equal(t, http.StatusInternalServerError, f.send(http.MethodPost, "/safe/x", "").status, c.name)
		})
		with(func(f *fixture) { // A standby.
			f.plains[0].script = func(conn net.Conn, r *http.Request, _ string) {
				f.plains[0].recordRun(r)
				time.Sleep(2 * time.Second)
				_ = conn.Close()
			}
			f.send(http.MethodPost, "/safe/x", "")
			require.Equal(t, 1, f.runCount(), c.name)
		})
		with(func(f *fixture) { // A stream that would be resumed.
			f.heads[0].streamEvents(3, 50*time.Millisecond, closeInsideEvent)
			require.Error(t, f.send(http.MethodPost, "/stream/x", "").err, c.name)
		})
		with(func(f *fixture) { // No endpoint is left.
			f.moveEndpoint("p0", "b")
			response := f.send(http.MethodPost, "/safe/x", "")
			require.Equal(t, http.StatusServiceUnavailable, response.status, c.name)
			require.Contains(t, response.body, "regions", c.name)
			require.Zero(t, response.took, c.name)
		})
	}
}
