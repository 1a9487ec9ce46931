package document

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// The parser's time and memory grow with the square of the nesting and of the
// keys in one mapping, so that a small bad file could use up a host. These bounds
// are looked at before it.
const (
	maxDepth     = 16
	maxKeys      = 100
	maxInOneLine = 8
)

// mapping is a block mapping that the scan is in: the column of its keys, and how
// many there are so far.
type mapping struct{ column, keys int }

// scan follows the tokens of a file.
type scan struct {
	// flow holds the number of entries of each open "{" or "[".
	flow     []int
	mappings []mapping
	// line is the present line and entries its "-" marks.
	line, entries int
}

// tokenProblems refuses what no file of ours holds: deep nesting, long mappings,
// anchors, aliases, tags, merges, explicit keys and further documents.
func tokenProblems(file string, tokens token.Tokens) []Problem {
	s := scan{}
	previous := &token.Token{Position: &token.Position{}}
	for _, t := range tokens {
		if reason := s.step(t, previous); reason != "" {
			return []Problem{{File: file, Line: t.Position.Line, Reason: reason}}
		}
		previous = t
	}
	return nil
}

func (s *scan) step(t, previous *token.Token) string {
	if t.Position.Line != s.line {
		s.line, s.entries = t.Position.Line, 0
	}
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		s.flow = append(s.flow, 0)
	case token.MappingEndType, token.SequenceEndType:
		s.flow = s.flow[:max(len(s.flow)-1, 0)]
	case token.CollectEntryType:
		return s.flowEntry()
	case token.SequenceEntryType:
		s.entries++
		s.leave(t.Position.Column + 1)
	case token.MappingValueType:
		return s.key(previous.Position.Column)
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType:
		return fmt.Sprintf("%q: anchors, aliases, tags, merges and explicit keys are not accepted", t.Value)
	case token.DocumentHeaderType, token.DocumentEndType, token.DirectiveType:
		return fmt.Sprintf("%q: only one document, without directives, is accepted", t.Value)
	default:
	}
	if len(s.flow) > maxDepth || s.entries > maxInOneLine {
		return "is nested too deeply"
	}
	return ""
}

// leave ends the block mappings whose keys are at column or to its right.
func (s *scan) leave(column int) {
	for len(s.mappings) > 0 && s.mappings[len(s.mappings)-1].column >= column {
		s.mappings = s.mappings[:len(s.mappings)-1]
	}
}

func (s *scan) flowEntry() string {
	if len(s.flow) == 0 {
		return ""
	}
	last := len(s.flow) - 1
	s.flow[last]++
	if s.flow[last] > maxKeys {
		return fmt.Sprintf("has over %d entries in one pair of brackets", maxKeys)
	}
	return ""
}

func (s *scan) key(column int) string {
	if len(s.flow) > 0 {
		return ""
	}
	s.leave(column + 1)
	last := len(s.mappings) - 1
	if last < 0 || s.mappings[last].column < column {
		s.mappings = append(s.mappings, mapping{column: column})
		last++
	}
	s.mappings[last].keys++
	switch {
	case s.mappings[last].keys > maxKeys:
		return fmt.Sprintf("has over %d keys in one mapping", maxKeys)
	case len(s.mappings) > maxDepth:
		return "is nested too deeply"
	default:
		return ""
	}
}
