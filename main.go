// Egretreach serves large models whose replicas span several hosts.
package main

import (
	"os"

	"github.com/egretreach/egretreach/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
