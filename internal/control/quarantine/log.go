package quarantine

import (
	"strconv"

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
	case Blamed:
		event.RequestHeldBack.On(logger).Str("key", key).Str("scope", cause.Scope).Bool("whole", cause.Whole).Int("crashes", cause.Crashes).
			Int("others", cause.Others).Float64("chance", cause.Chance).Int("strikes", 1).Dur("for", cause.For).Msg("")
	case TrialFailed:
		event.RequestHeldBack.On(logger).Str("key", key).Int("strikes", cause.Strikes).Dur("for", cause.For).Msg("")
	case TrialStarted:
		event.HoldTrial.On(logger).Str("key", key).Str("gateway", string(cause.Gateway)).Uint64("trial", cause.Number).Msg("")
	case Released:
		event.HoldEnded.On(logger).Str("key", key).Str("reason", cause.Reason).Msg("")
	}
}

// LogCrash logs a crash that a gateway has reported.
func LogCrash(logger *log.Logger, gateway host.ID, c message.Crash) {
	event.CrashCounted.On(logger).Str("endpoint", c.Endpoint).Int64("started", c.StartedMs).Str("gateway", string(gateway)).
		Str("scope", c.Scope).Dur("age", c.Age).Int("requests", c.Requests).Int("suspects", len(c.Suspects)).Int("completed", c.Completed).Msg("")
}
