package config

import (
	"fmt"
	"sort"

	"github.com/egretreach/egretreach/internal/fleet/document"
	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Problem is one error in a configuration.
type Problem = document.Problem

// ErrInvalid is returned for an invalid configuration, with all its problems.
type ErrInvalid = document.ErrInvalid

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool { return document.IsErrInvalid(err) }

// Parse parses and checks a fleet configuration. It returns ErrInvalid if there are
// problems, which mention the file by name.
func Parse(name string, data []byte) (*Fleet, error) {
	fleet := &Fleet{Defaults: DefaultValues()}
	doc, err := document.Decode(name, data, fleet)
	if err != nil {
		return nil, err
	}
	fleet.applyDefaults(doc)
	for i := range fleet.Exceptions {
		keys := leafPaths(doc.KeysUnder(fmt.Sprintf("exceptions[%d].values", i)))
		fleet.Exceptions[i].Values = fleet.Exceptions[i].Values.withKeys(keys)
	}
	c := checker{doc: doc, fleet: fleet}
	c.check()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	fleet.tokens = newTokenIndex(fleet.Teams)
	return fleet, nil
}

// applyDefaults sets the values that the file omits and that do not default to zero.
func (f *Fleet) applyDefaults(doc *document.Document) {
	if len(f.Classes) == 0 {
		f.Classes = defaultClasses()
	}
	for i := range f.Teams {
		if !doc.Has(fmt.Sprintf("teams[%d].weight", i)) {
			f.Teams[i].Weight = 1
		}
	}
	for i := range f.Deployments {
		if f.Deployments[i].Role == "" {
			f.Deployments[i].Role = RoleMixed
		}
	}
}

func defaultClasses() []Class {
	return []Class{
		{Name: team.ClassInteractive, Priority: 10, Deadline: defaultInteractiveDeadline},
		{Name: team.ClassBatch, Priority: 1, Deadline: defaultBatchDeadline},
	}
}

// leafPaths sorts paths and returns those that have no other path below them.
func leafPaths(paths []string) []string {
	sort.Strings(paths)
	var kept []string
	for i, path := range paths {
		if i+1 < len(paths) && isBelow(paths[i+1], path) {
			continue
		}
		kept = append(kept, path)
	}
	return kept
}

func isBelow(path, above string) bool {
	return len(path) > len(above) && path[:len(above)] == above && (path[len(above)] == '.' || path[len(above)] == '[')
}
