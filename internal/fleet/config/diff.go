package config

import udiff "github.com/aymanbagabas/go-udiff"

// Diff returns the unified diff between the YAML of two configurations. It is empty if
// they are equal.
func Diff(before, after []byte) string {
	return udiff.Unified("in force", "offered", string(before), string(after))
}
