package cmd

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The page of a gateway and its text, which the gateway's own test writes.
const (
	explainedPage = "../internal/entry/gateway/testdata/explain.json"
	explainedText = "../internal/entry/gateway/testdata/explain.txt"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(data)
}

// TestExplainCommandPrintsThePage runs whole sessions against the page of a gateway. It guards against a caller's key or a token in the URL,
// flags that don't reach the gateway, output that differs from the page, and a refusal that ends as if it were done.
func TestExplainCommandPrintsThePage(t *testing.T) {
	page := readFile(t, explainedPage)
	var asked url.Values
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.Query()
		if r.URL.Path != "/explain" || r.Header.Get("Authorization") != "Bearer operators-only-token" || r.Header.Get("Egretreach-Caller-Key") != "secret" {
			http.Error(w, "unknown token", http.StatusUnauthorized)
			return
		}
		_, _ = w.Write([]byte(page))
	}))
	defer gateway.Close()
	t.Setenv("EGRETREACH_EXPLAIN_TOKEN", "operators-only-token")
	t.Setenv("EGRETREACH_CALLER_KEY", "secret")
	line := []string{
		"routes", "explain", "--gateway=" + strings.TrimPrefix(gateway.URL, "http://"), "--method=POST", "--host=h", "--path=/safe/x?y",
		"--model=m", "--prompt-tokens=9", "--output-tokens=8", "--parts=a,b,",
	}
	code, output := runLine(line...)
	require.Equal(t, exitOK, code, output)
	require.Equal(t, readFile(t, explainedText), output)
	require.Equal(t, url.Values{
		"method": {"POST"}, "host": {"h"}, "path": {"/safe/x?y"}, "model": {"m"}, "prompt_tokens": {"9"}, "output_tokens": {"8"}, "parts": {"a,b,"},
	}, asked)
	code, output = runLine(append(line, "--output=json")...)
	require.Equal(t, exitOK, code, output)
	require.JSONEq(t, page, output)
	code, output = runLine(append(line, "--token=other")...)
	require.Equal(t, exitFailure, code)
	require.Contains(t, output, "401 Unauthorized: unknown token")
}

// TestExplainHelp compares the command's help with a file, so that a change of its flags is seen.
func TestExplainHelp(t *testing.T) {
	t.Setenv("COLUMNS", "100")
	code, output := runLine("routes", "explain", "--help")
	require.Equal(t, exitOK, code)
	if os.Getenv("EGRETREACH_GOLDEN") != "" {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile("testdata/routes_explain_help.txt", []byte(output), 0o644))
	}
	require.Equal(t, readFile(t, "testdata/routes_explain_help.txt"), output)
	code, output = runLine("routes", "explain", "--path=/x")
	require.Equal(t, exitUsage, code)
	require.Contains(t, output, "--gateway")
}
