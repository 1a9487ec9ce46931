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

// TestRoutesCommandCallsPortalsInTurn puts and reads a configuration where the first portal
// refuses, and does not go on after one that found the configuration wrong.
func TestRoutesCommandCallsPortalsInTurn(t *testing.T) {
	var held atomic.Value
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no leader", http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	wrong := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "version 7 is below 9", http.StatusBadRequest)
	}))
	defer wrong.Close()
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			held.Store(string(body))
			return
		}
		_, _ = io.WriteString(w, held.Load().(string))
	}))
	defer leader.Close()
	at := func(s *httptest.Server) string { return "--portal=" + strings.TrimPrefix(s.URL, "http://") }

	code, output := runLine("routes", "put", at(busy), at(leader), sampleTable)
	require.Equal(t, exitOK, code, output)
	require.Contains(t, output, "version 7 is in force")
	code, output = runLine("routes", "get", at(busy), at(leader))
	require.Equal(t, exitOK, code, output)
	require.Contains(t, output, `"version":7`)
	code, output = runLine("routes", "put", at(wrong), at(leader), sampleTable)
	require.Equal(t, exitFailure, code)
	require.Contains(t, output, "version 7 is below 9")
	code, output = runLine("routes", "get", at(busy))
	require.Equal(t, exitFailure, code)
	require.Contains(t, output, "no leader")
}

func TestRoutesCheckNamesWhatIsWrong(t *testing.T) {
	code, output := runLine("routes", "check", sampleTable)
	require.Equal(t, exitOK, code, output)
	require.Contains(t, output, "version 7")
	code, output = runLine("routes", "check", "cmd_test.go")
	require.Equal(t, exitFailure, code)
	require.Contains(t, output, "read configuration")
}
