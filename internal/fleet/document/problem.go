// Package document decodes YAML files strictly and reports all problems of a file, each
// with its file, line and key.
package document

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Problem is one error in a file.
type Problem struct {
	File string
	// Line starts at 1; 0 means the whole file.
	Line int
	// Key is the path of the value, such as "deployments[1].replicas".
	Key    string
	Reason string
}

// String returns "FILE:LINE: KEY: REASON".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// maxProblems bounds the problems that are listed for one file.
const maxProblems = 100

// ErrInvalid is returned for an invalid file. The problems are in the order of their
// lines, up to maxProblems and the number of the others.
type ErrInvalid struct{ Problems []Problem }

func (e ErrInvalid) Error() string { return strings.Join(e.Lines(), "\n") }

// Lines returns one line of text for each problem.
func (e ErrInvalid) Lines() []string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return lines
}

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool {
	var e ErrInvalid
	return errors.As(err, &e)
}

// newErrInvalid returns an ErrInvalid with the problems sorted by line, or nil if there
// are none.
func newErrInvalid(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	if rest := len(problems) - maxProblems; rest > 0 {
		last := problems[maxProblems]
		problems = append(problems[:maxProblems:maxProblems], Problem{
			File: last.File, Line: last.Line, Reason: fmt.Sprintf("%d further problems from here on", rest),
		})
	}
	return ErrInvalid{Problems: problems}
}
