package logging

import (
	"io"
	"testing"
	"time"

	"github.com/egretreach/egretreach/internal/process/settings"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// BenchmarkRequestLine measures how long it takes to log an answered request through an AsyncWriter.
func BenchmarkRequestLine(b *testing.B) {
	output := NewAsyncWriter(io.Discard)
	defer output.Close()
	logger := New(settings.Log{Level: "info", Format: "json"}, output)
	b.ReportAllocs()
	for b.Loop() {
		event.RequestAnswered.On(logger).Str("request", "fa4957217c93da13").Dur("took", 121*time.Millisecond).
			Str("route", "r-pfrbsya").Str("kind", "stream").Str("team", "tiba560").Str("model", "voxa420b89").
			Int("sends", 1).Str("endpoint", "i-04e9064ad8").Dur("first", 120*time.Millisecond).Dur("forecast", 118*time.Millisecond).
			Int("events", 30).Dur("pause", 40*time.Millisecond).Int("status", 200).Msg("")
	}
}
