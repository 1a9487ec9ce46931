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

// TestLedgerFindsBrokenPromises breaks each promise about requests that may not repeat.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		play func(l *ledger)
		says string
	}{
		"runs twice":             {func(l *ledger) { l.sent("u"); l.RequestStarted("u", "a"); l.RequestStarted("u", "b") }, "at most once"},
		"refused though it ran":  {func(l *ledger) { l.sent("u"); l.RequestStarted("u", "a"); l.refused("u", "no room") }, "though it had run"},
		"refused and runs later": {func(l *ledger) { l.sent("u"); l.refused("u", "no room"); l.RequestStarted("u", "a") }, "ran later"},
		"safe ones may repeat":   {func(l *ledger) { l.RequestStarted("s", "a"); l.RequestStarted("s", "b"); l.refused("s", "no room") }, ""},
	} {
		l := newLedger()
		c.play(l)
		if c.says == "" {
			require.Empty(t, l.broken, name)
			continue
		}
		require.Len(t, l.broken, 1, name)
		require.Contains(t, l.broken[0], c.says, name)
	}
}

// TestCallerJudgesAnswers gives a caller answers that are whole, short, another's and unsigned.
func TestCallerJudgesAnswers(t *testing.T) {
	whole := wanted("stream", "r1")
	for name, c := range map[string]struct {
		id, signature, body string
		err                 error
		whole               bool
		says                string
	}{
		"whole":                 {"r1", "be1", whole, nil, true, ""},
		"broken off":            {"r1", "be1", whole[:40], io.ErrUnexpectedEOF, false, ""},
		"short, looks whole":    {"r1", "be1", whole[:40], nil, false, "looks whole"},
		"an event is missing":   {"r1", "be1", standin.StreamEvent("r1", 2), io.ErrUnexpectedEOF, false, "other bytes"},
		"another's":             {"r2", "be1", whole, nil, false, "not its own"},
		"unsigned":              {"r1", "", whole, nil, false, "not its own"},
		"signed by a bystander": {"r1", "be9", whole, nil, false, "ran on"},
	} {
		w := &world{ledger: newLedger()}
		w.ledger.RequestStarted("r1", "be1")
		names := platform.Dialect().Headers
		answer := &http.Response{Header: http.Header{}}
		answer.Header.Set(names.RequestID, c.id)
		answer.Header.Set(names.Signature, c.signature)
		caller := &caller{world: w, gateway: &process{}}
		require.Equal(t, c.whole, caller.judge("stream", "r1", time.Now(), answer, c.body, c.err), name)
		require.Equal(t, c.says == "", len(w.ledger.broken) == 0, "%s: %v", name, w.ledger.broken)
		require.Contains(t, strings.Join(w.ledger.broken, "\n"), c.says, name)
	}
}

// TestCallerExpectsAnswersOfProcessesLeftAlone loses an answer of a process that nothing was
// done to, and one of a process that was just killed.
func TestCallerExpectsAnswersOfProcessesLeftAlone(t *testing.T) {
	began := time.Now()
	for name, c := range map[string]struct {
		disturbed time.Time
		broken    int
	}{
		"left alone":  {began.Add(-time.Hour), 1},
		"just killed": {began, 0},
	} {
		w := &world{ledger: newLedger()}
		g := newRunning(c.disturbed)
		(&caller{world: w, gateway: g}).broke("r1", began, io.EOF)
		require.Len(t, w.ledger.broken, c.broken, name)
	}
}

// newRunning is a process that runs and was last disturbed at a moment.
func newRunning(disturbed time.Time) *process {
	return &process{command: &exec.Cmd{}, disturbed: disturbed}
}

// TestProxyModes passes bytes on, and resets connections when told to.
func TestProxyModes(t *testing.T) {
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
	p.lead(echo.Addr().String())
	c, err := net.Dial("tcp", p.address())
	require.NoError(t, err)
	_, err = c.Write([]byte("hello"))
	require.NoError(t, err)
	got := make([]byte, 5)
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, "hello", string(got))
	require.True(t, p.calm(time.Now()))
	p.set(modeReset)
	_, err = c.Read(got)
	require.Error(t, err)
	require.False(t, p.calm(time.Now()))
}

func TestKeptSeeds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "seeds.txt")
	require.NoError(t, os.WriteFile(file, []byte("# comment\n7 a stream looked whole\n\n21 a stop cut a stream off\n"), 0o600))
	seeds, err := keptSeeds(file)
	require.NoError(t, err)
	require.Equal(t, []uint64{7, 21}, seeds)
}
