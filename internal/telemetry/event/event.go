// Package event defines the log events of the daemons. docs/EVENTS.md lists them, and a test compares
// that list with the registered events.
package event

import (
	"fmt"

	"github.com/phuslu/log"
)

// Event is a kind of log line with a fixed name and level.
type Event struct {
	// Number identifies the event and is never reused: 100-199 are events of control, 200-299 of
	// the agent, 300-399 of the entry and 400-499 of links and the process.
	Number int
	Name   string
	Level  log.Level
}

// registered holds all events by their numbers.
var registered = map[int]Event{}

// register adds an event to registered and returns it. It panics if the number is in use.
func register(number int, name string, level log.Level) Event {
	if other, taken := registered[number]; taken {
		panic(fmt.Sprintf("event number %d is used for both %s and %s", number, other.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level}
	registered[number] = e
	return e
}

// On starts a log line of the event. It returns nil for a nil logger, so that nothing is logged.
func (e Event) On(logger *log.Logger) *log.Entry {
	if logger == nil {
		return nil
	}
	return logger.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// All returns every event in arbitrary order.
func All() []Event {
	all := make([]Event, 0, len(registered))
	for _, e := range registered {
		all = append(all, e)
	}
	return all
}
