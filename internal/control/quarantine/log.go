package quarantine

import (
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// FormatKey formats the key of requests as all logs have it.
func FormatKey(key uint64) string { return strconv.FormatUint(key, 16) }

// Log logs a decision about a held key.
func (c HoldChange) Log(logger *log.Logger) {
	key := FormatKey(c.Key)
	switch cause := c.Cause.(type) {
	case Candidate:
		cause.log(event.BlameWeighed.On(logger)).Msg("")
	case Opened:
		cause.log(event.RequestHeldBack.On(logger)).Int("strikes", cause.Failures).Dur("for", cause.For).Msg("")
	case ProbeFailed:
		event.RequestHeldBack.On(logger).Str("key", key).Int("strikes", cause.Failures).Dur("for", cause.For).Msg("")
	case ProbeStarted:
		event.HoldTrial.On(logger).Str("key", key).Str("gateway", string(cause.Gateway)).Uint64("trial", cause.Number).Msg("")
	case Released:
		event.HoldEnded.On(logger).Str("key", key).Str("reason", cause.Reason).Msg("")
	}
}

// log adds the key and what speaks against it to a log entry.
func (b Finding) log(entry *log.Entry) *log.Entry {
	return entry.Str("key", FormatKey(b.Key)).Str("scope", b.Scope).Bool("whole", b.Whole).Int("crashes", b.Crashes).Int("others", b.Others).Bool("late", b.Late).
		Float64("chance", b.Chance).Float64("expected", b.Expected).Int("completed", b.Completed).Int("completed_with_key", b.WithKey)
}

// Log logs what a gateway's report has changed.
func (a Added) Log(logger *log.Logger, gateway host.ID, now time.Time) {
	for _, c := range a.Crashes {
		logCrash(logger, gateway, c)
	}
	for _, c := range a.Cleared {
		event.CrashesCleared.On(logger).Str("key", FormatKey(c.Key)).Int("crashes", c.Crashes).Str("gateway", string(gateway)).
			Dur("age", now.Sub(c.At)).Msg("")
	}
}

// logCrash logs a crash that a gateway has reported.
func logCrash(logger *log.Logger, gateway host.ID, c message.Crash) {
	event.CrashCounted.On(logger).Str("endpoint", c.Endpoint).Int64("started", c.StartedMs).Str("gateway", string(gateway)).
		Str("scope", c.Scope).Dur("age", c.Age).Int("requests", c.Requests).Int("suspects", len(c.Suspects)).Int("completed", c.Completed).Msg("")
}
