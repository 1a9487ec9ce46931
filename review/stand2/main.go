package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	status := exitNotRun
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "memory":
		status = memoryCase(f, trouble)
	case "group":
		status = groupCase(f, trouble)
	case "unframed":
		status = unframedCase(f, trouble)
	case "recover":
		status = recoverCase(f, trouble)
	}
	f.stopAll()
	os.Exit(status)
}
