// Command review-3 runs the cases of the third review that can't be put as a day of the bench. It starts the processes of egretreach on
// loopback addresses, with stand-ins for the platform, its servers and its clients, and judges only what these have seen.
//
// Usage: review-3 CASE FOLDER. FOLDER receives record.txt. With TROUBLE=0 in the environment the disruption is left out. The exit status
// is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule is broken")

// cases are the cases by their names on the command line.
var cases = map[string]func(r *record, trouble bool) error{
	"twice-moved":            twiceMoved,
	"stale-address":          staleAddress,
	"restart-at-first-start": restartAtFirstStart,
	"loss-at-first-start":    lossAtFirstStart,
	"other-writer":           otherWriter,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		return exitFailed
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.add("result", "the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.add("result", "%v", err)
		return exitBroken
	default:
		r.add("result", "the case couldn't run: %v", err)
		return exitFailed
	}
}
