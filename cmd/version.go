package cmd

import (
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the module version and the Go version of the build.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return nil
	}
	fmt.Println("egretreach", info.Main.Version, info.GoVersion)
	return nil
}
