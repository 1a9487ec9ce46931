package server

import (
	"time"

	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

// holdCommands decides which requests are held back and returns the commands that record it. mu is held.
func (l *leader) holdCommands(now time.Time, committed []quarantine.Hold) []state.Command {
	l.breaker.Sync(committed, now)
	for _, c := range l.breaker.Evaluate(now) {
		c.Log(l.server.opts.Logger)
	}
	var commands []state.Command
	for _, h := range l.breaker.Due(now) {
		commands = append(commands, state.Hold{Hold: h})
	}
	return commands
}

// recordEvidence records an entry's report of requests that crash engines, and returns the requests that it must
// hold back. mu is held.
func (l *leader) recordEvidence(entry host.ID, evidence *message.CrashEvidence, now time.Time) *message.Holds {
	if evidence != nil {
		l.breaker.Add(entry, *evidence, now).Log(l.server.opts.Logger, entry, now)
		l.requestReconcile()
	}
	return &message.Holds{Held: l.breaker.View(entry, now), Watching: &message.Watching{Keys: l.breaker.Watched()}}
}
