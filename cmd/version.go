package cmd

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version of the module and the Go version that built it.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return nil
	}
	fmt.Println("egretreach", info.Main.Version, info.GoVersion)
	return nil
}
