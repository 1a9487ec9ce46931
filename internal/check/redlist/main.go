// Command redlist reads the output of `go test -json`. It tolerates and prints the failures of the
// tests that KNOWN-RED.txt lists. It exits with 1 on any other failure, and if no test ran to its end.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

// redFile lists the tests that are known to fail.
const redFile = "KNOWN-RED.txt"

// testEvent is one event in the output of `go test -json`.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	ok, err := run(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "redlist:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) (bool, error) {
	known, err := readKnown(redFile)
	if err != nil {
		return false, err
	}
	sum, err := summarise(in, known)
	if err != nil {
		return false, err
	}
	sum.print(out)
	return sum.ok(), nil
}

// readKnown returns the names of the listed tests: the first word of each line that is neither
// empty nor a comment.
func readKnown(path string) (map[string]bool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 0 && !strings.HasPrefix(fields[0], "#") {
			known[fields[0]] = true
		}
	}
	return known, nil
}

type summary struct {
	passed     int
	failed     []string
	passedOver []string
	outputs    map[string]*strings.Builder
}

func summarise(r io.Reader, known map[string]bool) (*summary, error) {
	sum := &summary{outputs: map[string]*strings.Builder{}}
	decoder := json.NewDecoder(bufio.NewReader(r))
	redPackages := map[string]bool{}
	for {
		var e testEvent
		err := decoder.Decode(&e)
		if err == io.EOF {
			return sum, nil
		}
		if err != nil {
			return nil, err
		}
		sum.add(e, known, redPackages)
	}
}

// add counts an event. The failure of a package is tolerated if a listed test failed in it.
func (s *summary) add(e testEvent, known, redPackages map[string]bool) {
	name := e.Package + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		b := s.outputs[name]
		if b == nil {
			b = &strings.Builder{}
			s.outputs[name] = b
		}
		b.WriteString(e.Output)
	case "pass":
		if e.Test != "" {
			s.passed++
		}
		delete(s.outputs, name)
	case "fail", "build-fail":
		top, _, _ := strings.Cut(e.Test, "/")
		switch {
		case e.Test == "" && redPackages[e.Package]:
		case known[top]:
			redPackages[e.Package] = true
			s.passedOver = append(s.passedOver, name)
		default:
			s.failed = append(s.failed, name)
		}
	}
}

// ok reports whether tests ran and only listed ones failed.
func (s *summary) ok() bool { return len(s.failed) == 0 && s.passed+len(s.passedOver) > 0 }

func (s *summary) print(w io.Writer) {
	sort.Strings(s.failed)
	for _, name := range s.failed {
		fmt.Fprintf(w, "FAIL %s\n", name)
		s.printOutput(w, name)
	}
	for _, name := range s.passedOver {
		fmt.Fprintf(w, "KNOWN RED, passed over: %s\n", name)
		s.printOutput(w, name)
	}
	for _, name := range s.failed { // Again, since only the end of a long output may be kept.
		fmt.Fprintf(w, "FAIL %s\n", name)
	}
	fmt.Fprintf(w, "%d passed, %d failed\n", s.passed, len(s.failed))
}

// printOutput prints the output of a failed test. For a failed package, it also prints the output
// of all tests that failed or did not finish, since the package may have crashed.
func (s *summary) printOutput(w io.Writer, name string) {
	if out := s.outputs[name]; out != nil {
		fmt.Fprint(w, out.String())
	}
	if !strings.HasSuffix(name, " ") {
		return
	}
	for other, out := range s.outputs {
		if other != name && strings.HasPrefix(other, name) {
			fmt.Fprint(w, out.String())
		}
	}
}
