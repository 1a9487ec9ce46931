// Package event numbers the log events of the daemons. docs/EVENTS.md is their
// catalogue, and a test holds the two together.
package event

import (
	"fmt"

	"github.com/phuslu/log"
)

// Event is one kind of log line. Numbers are never given again: 100-199 control,
// 200-299 agent, 300-399 entry, 400-499 links and process.
type Event struct {
	Number int
	Name   string
	Level  log.Level
}

var catalogue = map[int]Event{}

func register(number int, name string, level log.Level) Event {
	if old, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event %d is both %s and %s", number, old.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level}
	catalogue[number] = e
	return e
}

// On starts a log line of this event. A nil logger logs nothing.
func (e Event) On(logger *log.Logger) *log.Entry {
	if logger == nil {
		return nil
	}
	return logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// All returns every event, in no order.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	return all
}
