// Package logging builds a daemon's logger from its settings.
package logging

import (
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/process/settings"
)

const (
	formatConsole = "console"
	timeFormat    = "2006-01-02T15:04:05.000Z07:00"
)

// New returns a logger that writes to w: one JSON object per line, or aligned text for a console if the
// settings' format is "console". Zero settings select JSON and level info.
func New(s settings.Log, w io.Writer) *log.Logger {
	level := log.InfoLevel
	if s.Level != "" {
		level = log.ParseLevel(s.Level)
	}
	logger := &log.Logger{
		Level:        level,
		TimeFormat:   timeFormat,
		TimeLocation: time.UTC,
		Writer:       &log.IOWriter{Writer: w},
	}
	if s.Format == formatConsole {
		logger.Writer = &log.ConsoleWriter{Writer: w, QuoteString: true, EndWithMessage: true}
	}
	return logger
}
