package document

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// Limits that are checked before the parser runs. Its time and memory grow with the
// square of the nesting depth and of the keys in one mapping, so that a small hostile
// file could exhaust a host.
const (
	maxDepth             = 16
	maxKeys              = 100
	maxEntryMarksPerLine = 8
)

// mapping is an open block mapping: the column of its keys and their number so far.
type mapping struct{ column, keys int }

// tokenScan is the state of a scan over the tokens of a file.
type tokenScan struct {
	// openBrackets holds the number of commas after each open "{" or "[".
	openBrackets []int
	mappings     []mapping
	// line is the current line and entryMarks the number of its "-" marks.
	line, entryMarks int
}

// checkTokens returns the first problem in the tokens of a file. It refuses features that
// our files do not need: deep nesting, long mappings, anchors, aliases, tags, merges,
// explicit keys and further documents.
func checkTokens(file string, tokens token.Tokens) []Problem {
	s := tokenScan{}
	previous := &token.Token{Position: &token.Position{}}
	for _, t := range tokens {
		if reason := s.step(t, previous); reason != "" {
			return []Problem{{File: file, Line: t.Position.Line, Reason: reason}}
		}
		previous = t
	}
	return nil
}

// step processes token t and returns the reason to refuse the file, or "". previous is
// the token before t.
func (s *tokenScan) step(t, previous *token.Token) string {
	if t.Position.Line != s.line {
		s.line, s.entryMarks = t.Position.Line, 0
	}
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		s.openBrackets = append(s.openBrackets, 0)
	case token.MappingEndType, token.SequenceEndType:
		s.openBrackets = s.openBrackets[:max(len(s.openBrackets)-1, 0)]
	case token.CollectEntryType:
		return s.addFlowEntry()
	case token.SequenceEntryType:
		s.entryMarks++
		s.closeMappings(t.Position.Column + 1)
	case token.MappingValueType:
		return s.addKey(previous.Position.Column)
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType:
		return fmt.Sprintf("%q: anchors, aliases, tags, merges and explicit keys are not accepted", t.Value)
	case token.DocumentHeaderType, token.DocumentEndType, token.DirectiveType:
		return fmt.Sprintf("%q: only one document, without directives, is accepted", t.Value)
	default:
	}
	if len(s.openBrackets) > maxDepth || s.entryMarks > maxEntryMarksPerLine {
		return "is nested too deeply"
	}
	return ""
}

// closeMappings closes the block mappings whose keys are at column or to its right.
func (s *tokenScan) closeMappings(column int) {
	for len(s.mappings) > 0 && s.mappings[len(s.mappings)-1].column >= column {
		s.mappings = s.mappings[:len(s.mappings)-1]
	}
}

func (s *tokenScan) addFlowEntry() string {
	if len(s.openBrackets) == 0 {
		return ""
	}
	last := len(s.openBrackets) - 1
	s.openBrackets[last]++
	if s.openBrackets[last] > maxKeys {
		return fmt.Sprintf("has over %d entries in one pair of brackets", maxKeys)
	}
	return ""
}

func (s *tokenScan) addKey(column int) string {
	if len(s.openBrackets) > 0 {
		return ""
	}
	s.closeMappings(column + 1)
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
