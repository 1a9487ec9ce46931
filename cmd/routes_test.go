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

func TestRoutesCheckReportsInvalidFile(t *testing.T) {
	code, output := runLine("routes", "check", sampleTable)
	require.Equal(t, exitOK, code, output)
	require.Contains(t, output, "version 7")
	code, output = runLine("routes", "check", "cmd_test.go")
	require.Equal(t, exitFailure, code)
	require.Contains(t, output, "read configuration")
}
