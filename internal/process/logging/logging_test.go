package logging

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

func TestLoggerAppliesFormatAndLevel(t *testing.T) {
	for _, c := range []struct {
		settings settings.Log
		lines    int
		json     bool
	}{
		{settings.Log{}, 2, true},
		{settings.Log{Level: "warn", Format: "json"}, 1, true},
		{settings.Log{Level: "info", Format: "console"}, 2, false},
	} {
		var b bytes.Buffer
		logger := New(c.settings, &b)
		event.ProcessStarted.On(logger).Str("role", "entry").Msg("")
		event.LinkLost.On(logger).Str("peer", "host-3").Msg("")
		lines := bytes.Split(bytes.TrimSpace(b.Bytes()), []byte("\n"))
		require.Len(t, lines, c.lines, b.String())
		require.Equal(t, c.json, json.Valid(lines[0]), b.String())
	}
}
