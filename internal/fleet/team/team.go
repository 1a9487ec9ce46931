// Package team defines the identifiers of teams and of request classes.
package team

// ID is the name of a team of callers.
type ID string

// Class is the name of a request class.
type Class string

// The classes of a fleet whose configuration defines none.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)
