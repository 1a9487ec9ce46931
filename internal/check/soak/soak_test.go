package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/platform"
	"github.com/egretreach/egretreach/platform/standin"
)

// TestRecorderFindsViolations violates each guarantee about unsafe requests.
func TestRecorderFindsViolations(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(r *recorder)
		want string
	}{
		"runs twice":             {func(r *recorder) { r.recordUnsafe("u"); r.RequestStarted("u", "a"); r.RequestStarted("u", "b") }, "at most once"},
		"refused though it ran":  {func(r *recorder) { r.recordUnsafe("u"); r.RequestStarted("u", "a"); r.recordRefusal("u", "no room") }, "though it had run"},
		"refused and runs later": {func(r *recorder) { r.recordUnsafe("u"); r.recordRefusal("u", "no room"); r.RequestStarted("u", "a") }, "ran later"},
		"safe request repeated": {func(r *recorder) {
			r.RequestStarted("s", "a")
			r.RequestStarted("s", "b")
			r.recordRefusal("s", "no room")
		}, ""},
	} {
		r := newRecorder()
		c.act(r)
		if c.want == "" {
			require.Empty(t, r.violations, name)
			continue
		}
		require.Len(t, r.violations, 1, name)
		require.Contains(t, r.violations[0], c.want, name)
	}
}

// TestCallerChecksResponses gives a caller responses that are complete, truncated, unsigned or those
// of another request.
func TestCallerChecksResponses(t *testing.T) {
	body := expectedBody(kindStream, "r1", minStreamEvents)
	for name, c := range map[string]struct {
		id, signature, body string
		err                 error
		complete            bool
		want                string
	}{
		"complete":            {"r1", "be1", body, nil, true, ""},
		"interrupted":         {"r1", "be1", body[:40], io.ErrUnexpectedEOF, false, ""},
		"truncated, no error": {"r1", "be1", body[:40], nil, false, "without an error"},
		"an event is missing": {"r1", "be1", standin.StreamEvent("r1", 2), io.ErrUnexpectedEOF, false, "not part of its response"},
		"another request's":   {"r2", "be1", body, nil, false, "without its request ID"},
		"unsigned":            {"r1", "", body, nil, false, "without its request ID or a signature"},
		"signed by another":   {"r1", "be9", body, nil, false, "ran on"},
	} {
		tb := newQuietTestbed()
		tb.recorder.RequestStarted("r1", "be1")
		names := platform.Dialect().Headers
		resp := &http.Response{Header: http.Header{}}
		resp.Header.Set(names.RequestID, c.id)
		resp.Header.Set(names.Signature, c.signature)
		caller := &caller{testbed: tb, gateway: &process{}}
		now := time.Now()
		sent := &call{exchange: exchange{id: "r1", kind: kindStream, opened: now, began: now, answered: true}, events: minStreamEvents}
		caller.checkSuccess(sent, resp, c.body, c.err)
		require.Equal(t, c.complete, sent.complete, name)
		require.Equal(t, c.want == "", len(tb.recorder.violations) == 0, "%s: %v", name, tb.recorder.violations)
		require.Contains(t, strings.Join(tb.recorder.violations, "\n"), c.want, name)
	}
}

// TestCallerExpectsResponsesFromUndisturbedProcesses checks that a missing response is a violation
// if it is from an undisturbed process, but not if the process was just killed.
func TestCallerExpectsResponsesFromUndisturbedProcesses(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		disturbed  time.Time
		violations int
	}{
		"undisturbed": {start.Add(-time.Hour), 1},
		"just killed": {start, 0},
	} {
		tb := newQuietTestbed()
		g := newRunning(c.disturbed)
		(&caller{testbed: tb, gateway: g}).checkNoResponse(exchange{id: "r1", opened: start, began: start, ended: start}, io.EOF)
		require.Len(t, tb.recorder.violations, c.violations, name)
	}
}

// newQuietTestbed returns a testbed without processes, which logs nothing.
func newQuietTestbed() *testbed {
	return &testbed{recorder: newRecorder(), log: func(string, ...any) {}}
}

// newRunning returns a running process that was last disturbed at a time.
func newRunning(disturbed time.Time) *process {
	return &process{command: &exec.Cmd{}, disturbed: disturbed}
}

// TestProxyForwardsAndResets checks that a proxy forwards bytes, and resets its connections in modeReset.
func TestProxyForwardsAndResets(t *testing.T) {
	ctx := context.Background()
	echo, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := newProxy(ctx, "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = p.listener.Close() }()
	require.NoError(t, p.setTarget(echo.Addr().String()))
	c, err := net.Dial("tcp", p.address)
	require.NoError(t, err)
	_, err = c.Write([]byte("hello"))
	require.NoError(t, err)
	got := make([]byte, 5)
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, "hello", string(got))
	require.True(t, p.undisturbed(time.Now()))
	p.setMode(modeReset)
	_, err = c.Read(got)
	require.Error(t, err)
	require.False(t, p.undisturbed(time.Now()))
}

// TestKeptSeedsReadsFirstNumberOfEachLine reads a file with a comment, causes and an empty line.
func TestKeptSeedsReadsFirstNumberOfEachLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "seeds.txt")
	require.NoError(t, os.WriteFile(file, []byte("# comment\n7 a stream looked complete\n\n21 a stop interrupted a stream\n"), 0o600))
	seeds, err := keptSeeds(file)
	require.NoError(t, err)
	require.Equal(t, []uint64{7, 21}, seeds)
}
