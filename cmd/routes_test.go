package cmd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleTable = "../platform/testdata/table.json"

// TestRoutesCommandCallsPortalsInTurn puts and gets a configuration while the first portal is
// unavailable, and checks that no further portal is called after one found the configuration invalid.
func TestRoutesCommandCallsPortalsInTurn(t *testing.T) {
	var stored atomic.Value
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no leader", http.StatusServiceUnavailable)
	}))
	defer unavailable.Close()
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "version 7 is below 9", http.StatusBadRequest)
	}))
	defer refusing.Close()
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			stored.Store(string(body))
			return
		}
		_, _ = io.WriteString(w, stored.Load().(string))
	}))
	defer leader.Close()
	portalFlag := func(s *httptest.Server) string { return "--portal=" + strings.TrimPrefix(s.URL, "http://") }

	code, output := runLine("routes", "put", portalFlag(unavailable), portalFlag(leader), sampleTable)
	require.Equal(t, exitOK, code, output)
	require.Contains(t, output, "version 7 is in force")
	code, output = runLine("routes", "get", portalFlag(unavailable), portalFlag(leader))
	require.Equal(t, exitOK, code, output)
	require.Contains(t, output, `"version":7`)
	code, output = runLine("routes", "put", portalFlag(refusing), portalFlag(leader), sampleTable)
	require.Equal(t, exitFailure, code)
	require.Contains(t, output, "version 7 is below 9")
	code, output = runLine("routes", "get", portalFlag(unavailable))
	require.Equal(t, exitFailure, code)
	require.Contains(t, output, "no leader")
}

// TestEvacuateCommandFollowsThePortals sends evacuations to a portal that doesn't lead and to one that is unavailable first. It guards against a
// command that ends as if it were done although no portal has acknowledged it, and against names that change on their way.
func TestEvacuateCommandFollowsThePortals(t *testing.T) {
	var calls []string
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+r.URL.EscapedPath())
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"evacuated":["a","z/1 x"],"revision":9}`)
			return
		}
		if strings.HasSuffix(r.URL.Path, "bad") {
			http.Error(w, "64 failure domains are evacuated already", http.StatusBadRequest)
		}
	}))
	defer leader.Close()
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", leader.URL+r.URL.EscapedPath())
		w.WriteHeader(http.StatusTemporaryRedirect)
	}))
	defer follower.Close()
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no leader", http.StatusServiceUnavailable)
	}))
	defer unavailable.Close()
	portalFlag := func(s *httptest.Server) string { return "--portal=" + strings.TrimPrefix(s.URL, "http://") }
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"evacuate", portalFlag(unavailable), portalFlag(follower), "z/1 x"}, exitOK, "failure domain \"z/1 x\" is evacuated\n"},
		{[]string{"evacuate", portalFlag(follower), "a", "--cancel"}, exitOK, "failure domain \"a\" is not evacuated\n"},
		{[]string{"evacuations", portalFlag(follower)}, exitOK, "a\nz/1 x\n"},
		{[]string{"evacuate", portalFlag(follower), portalFlag(unavailable), "bad"}, exitFailure, "64 failure domains"},
		{[]string{"evacuate", portalFlag(unavailable), "a"}, exitFailure, "no leader"},
	} {
		code, output := runLine(append([]string{"routes"}, c.args...)...)
		require.Equal(t, c.code, code, "%v: %s", c.args, output)
		require.Contains(t, output, c.text, "%v", c.args)
	}
	require.Equal(t, []string{"POST /evacuations/z%2F1%20x", "DELETE /evacuations/a", "GET /evacuations", "POST /evacuations/bad"}, calls)
}

func TestRoutesCheckReportsInvalidFile(t *testing.T) {
	code, output := runLine("routes", "check", sampleTable)
	require.Equal(t, exitOK, code, output)
	require.Contains(t, output, "version 7")
	code, output = runLine("routes", "check", "cmd_test.go")
	require.Equal(t, exitFailure, code)
	require.Contains(t, output, "read configuration")
}
