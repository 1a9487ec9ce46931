package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// exited is the exit code with which a test's exit function panics.
type exited int

// runLine runs a command line and returns its exit code and output.
func runLine(args ...string) (code int, output string) {
	var b bytes.Buffer
	defer func() {
		if stopped, ok := recover().(exited); ok {
			code, output = int(stopped), b.String()
		}
	}()
	code = run(args, &b, &b, func(code int) { panic(exited(code)) })
	return code, b.String()
}

func TestCommandsExitWithTheirCodeAndOutput(t *testing.T) {
	folder := t.TempDir()
	good, bad := filepath.Join(folder, "good.yaml"), filepath.Join(folder, "bad.yaml")
	require.NoError(t, os.WriteFile(good, []byte("services:\n  - name: records\n"), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte("services:\n  - title: records\n"), 0o600))
	vault, out := filepath.Join(folder, "vault"), filepath.Join(folder, "host-3")
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"config", "check", good}, exitOK, "is valid"},
		{[]string{"config", "check", bad}, exitFailure, bad + ":2: services[0].title: unknown key"},
		{[]string{"config", "check", good + ".missing"}, exitUsage, "no such file"},
		{[]string{"config", "check"}, exitUsage, "<file>"},
		{[]string{"conjure"}, exitUsage, "conjure"},
		{[]string{"keys", "init", vault}, exitOK, "created the authority"},
		{[]string{"keys", "init", vault}, exitFailure, "not overwritten"},
		{[]string{"keys", "issue", vault, "agent", "host-3", "-o", out}, exitOK, "egretreach://agent/host-3"},
		{[]string{"keys", "issue", vault, "agent", "host-3", "-o", out}, exitFailure, "not overwritten"},
		{[]string{"keys", "issue", vault, "chef", "host-3", "-o", out}, exitUsage, "chef"},
		{[]string{"keys", "rotate", vault, "--finish"}, exitFailure, "no rotation"},
		{[]string{"keys", "rotate", vault}, exitOK, "both authorities"},
		{[]string{"keys", "rotate", vault, "--finish"}, exitOK, "new authority only"},
		{[]string{"keys", "rotate", "--help"}, exitOK, "Complete each step"},
		{[]string{"routes", "evacuate", "--portal=127.0.0.1:1"}, exitUsage, "<domain>"},
		{[]string{"routes", "evacuate", "--help"}, exitOK, "--cancel"},
		{[]string{"routes", "evacuations"}, exitUsage, "--portal"},
		{[]string{"completion", "fish"}, exitOK, "complete -f -c egretreach"},
	} {
		code, output := runLine(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, output)
		require.Contains(t, output, c.text, "%v", c.args)
	}
}

func TestShellCompletionListsSubcommands(t *testing.T) {
	t.Setenv("COMP_LINE", "egretreach keys ")
	code, output := runLine()
	require.Equal(t, exitOK, code)
	require.ElementsMatch(t, []string{"init", "issue", "rotate"}, strings.Fields(output))
}
