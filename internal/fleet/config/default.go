package config

import (
	_ "embed"
)

//go:embed default.yaml
var defaultYAML []byte

// DefaultYAML returns the configuration of `egretreach dev` as YAML.
func DefaultYAML() []byte { return append([]byte(nil), defaultYAML...) }

// Default returns the configuration of `egretreach dev`.
func Default() *Fleet {
	fleet, err := Parse("default.yaml", defaultYAML)
	if err != nil {
		panic(err) // The file is embedded in the program, and a test parses it.
	}
	return fleet
}
