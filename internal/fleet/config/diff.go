package config

import udiff "github.com/aymanbagabas/go-udiff"

// Diff returns a unified diff from one configuration's text to another's, empty
// if they are equal.
func Diff(before, after []byte) string {
	return udiff.Unified("in force", "offered", string(before), string(after))
}
