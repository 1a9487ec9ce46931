package document

import (
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxBytes is the maximum size of a file.
const MaxBytes = 1 << 20

// Document is a decoded file. It collects the problems that further checks report.
type Document struct {
	file     string
	lines    map[string]int
	problems []Problem
}

// Decode decodes the YAML in data into the struct that into points to. Values that the
// file does not set keep their content. It returns ErrInvalid with all problems of the
// file. The file must end with a newline, so that one that was cut off within a line is
// not accepted.
func Decode(file string, data []byte, into any) (*Document, error) {
	if reason := unreadableReason(data); reason != "" {
		return nil, ErrInvalid{Problems: []Problem{{File: file, Reason: reason}}}
	}
	tokens := lexer.Tokenize(string(data))
	if err := newErrInvalid(checkTokens(file, tokens)); err != nil {
		return nil, err
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxError(file, err)
	}
	w := &walker{file: file, lines: map[string]int{}}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return nil, ErrInvalid{Problems: []Problem{{File: file, Reason: "is empty"}}}
	}
	body := tree.Docs[0].Body
	w.walk(body, reflect.TypeOf(into), "", 1)
	if err := newErrInvalid(w.problems); err != nil {
		return nil, err
	}
	if err := yaml.NodeToValue(body, into, yaml.Strict()); err != nil {
		return nil, syntaxError(file, err)
	}
	return &Document{file: file, lines: w.lines}, nil
}

func unreadableReason(data []byte) string {
	switch {
	case len(strings.TrimSpace(string(data))) == 0:
		return "is empty"
	case len(data) > MaxBytes:
		return "is larger than " + Size(MaxBytes).String()
	case !utf8.Valid(data):
		return "is not UTF-8 text"
	case data[len(data)-1] != '\n':
		return "does not end with a newline; it may be only half written"
	default:
		return ""
	}
}

func syntaxError(file string, err error) error {
	p := Problem{File: file, Reason: err.Error()}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		p.Reason = syntax.GetMessage()
		if token := syntax.GetToken(); token != nil {
			p.Line = token.Position.Line
		}
	}
	return ErrInvalid{Problems: []Problem{p}}
}

// Report adds a problem with the value at key.
func (d *Document) Report(key, reason string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: d.Line(key), Key: key, Reason: reason})
}

// Line returns the line of key, or of the nearest key above it that the file has. It
// returns 0 if there is none.
func (d *Document) Line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}

// Has reports whether the file sets key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// KeysUnder returns the keys below prefix that the file sets, without the prefix.
func (d *Document) KeysUnder(prefix string) []string {
	var keys []string
	for key := range d.lines {
		if rest, ok := strings.CutPrefix(key, prefix+"."); ok {
			keys = append(keys, rest)
		}
	}
	return keys
}

// Err returns an ErrInvalid with all reported problems, or nil if there are none.
func (d *Document) Err() error { return newErrInvalid(d.problems) }
