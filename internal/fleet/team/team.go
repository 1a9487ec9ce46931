// Package team names the teams whose requests are served, and their request classes.
package team

// ID names a team of callers.
type ID string

// Class is a request class such as "interactive" or "batch".
type Class string

// The classes every fleet has.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)
