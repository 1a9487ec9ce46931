package document

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

// SchemaProvider is implemented by a type that decodes its YAML itself. The YAML is
// checked against the type of Schema instead.
type SchemaProvider interface {
	// Schema returns a value of the type against which the YAML is checked.
	Schema() any
}

var (
	durationType         = reflect.TypeFor[time.Duration]()
	bytesUnmarshalerType = reflect.TypeFor[yaml.BytesUnmarshaler]()
	schemaProviderType   = reflect.TypeFor[SchemaProvider]()
)

// walker checks a syntax tree against the Go type that it is decoded into. One pass finds
// all problems, whereas the decoder stops at the first.
type walker struct {
	file     string
	lines    map[string]int
	problems []Problem
}

func (w *walker) report(line int, key, reason string) {
	w.problems = append(w.problems, Problem{File: w.file, Line: line, Key: key, Reason: reason})
}

func (w *walker) walk(node ast.Node, t reflect.Type, key string, line int) {
	w.lines[key] = line
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Implements(schemaProviderType) {
		t = reflect.TypeOf(reflect.Zero(t).Interface().(SchemaProvider).Schema())
	}
	switch n := node.(type) {
	case *ast.NullNode:
		w.report(line, key, "has no value")
	case *ast.MappingValueNode:
		w.walkMapping([]*ast.MappingValueNode{n}, t, key, line)
	case *ast.MappingNode:
		w.walkMapping(n.Values, t, key, line)
	case *ast.SequenceNode:
		w.walkSequence(n, t, key, line)
	default:
		w.walkScalar(node, t, key, line)
	}
}

func (w *walker) walkMapping(values []*ast.MappingValueNode, t reflect.Type, key string, line int) {
	if isScalar(t) || (t.Kind() != reflect.Struct && t.Kind() != reflect.Map) {
		w.report(line, key, "must be "+describe(t)+", not a mapping")
		return
	}
	seen := map[string]bool{}
	for _, v := range values {
		name := keyName(v.Key)
		keyLine := v.Key.GetToken().Position.Line
		path := join(key, name)
		if seen[name] {
			w.report(keyLine, path, "is given twice")
			continue
		}
		seen[name] = true
		inner, known := memberType(t, name)
		if !known {
			w.report(keyLine, path, "unknown key")
			continue
		}
		w.walk(v.Value, inner, path, keyLine)
	}
}

func (w *walker) walkSequence(n *ast.SequenceNode, t reflect.Type, key string, line int) {
	if isScalar(t) || t.Kind() != reflect.Slice {
		w.report(line, key, "must be "+describe(t)+", not a list")
		return
	}
	for i, v := range n.Values {
		w.walk(v, t.Elem(), fmt.Sprintf("%s[%d]", key, i), firstLine(v, line))
	}
}

func (w *walker) walkScalar(node ast.Node, t reflect.Type, key string, line int) {
	if !isScalar(t) {
		w.report(line, key, "must be "+describe(t))
		return
	}
	err := decodeScalar(node, t)
	if err != nil {
		w.report(line, key, err.Error())
	}
}

func decodeScalar(node ast.Node, t reflect.Type) error {
	err := yaml.NodeToValue(node, reflect.New(t).Interface())
	if err == nil {
		return nil
	}
	if reflect.PointerTo(t).Implements(bytesUnmarshalerType) {
		var syntax yaml.Error
		if errors.As(err, &syntax) {
			return errors.New(syntax.GetMessage())
		}
		return err
	}
	return errors.Errorf("%q is not %s", node.String(), describe(t))
}

func isScalar(t reflect.Type) bool {
	if t == durationType || reflect.PointerTo(t).Implements(bytesUnmarshalerType) {
		return true
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Slice, reflect.Map:
		return false
	default:
		return true
	}
}

func describe(t reflect.Type) string {
	if t == durationType {
		return "a duration with its unit, such as 300ms, 3s or 2m"
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "a mapping"
	case reflect.Slice:
		return "a list"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a text"
	}
}

// memberType returns the type of the value under name in a struct or map.
func memberType(t reflect.Type, name string) (reflect.Type, bool) {
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	for i := range t.NumField() {
		if FieldName(t.Field(i)) == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// FieldName returns the YAML key of a struct field, or "" if the field has none.
func FieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func keyName(key ast.MapKeyNode) string {
	if k, ok := key.(*ast.StringNode); ok {
		return k.Value
	}
	return key.String()
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// firstLine returns the line on which node starts, or fallback if it is unknown.
func firstLine(node ast.Node, fallback int) int {
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key.GetToken().Position.Line
	}
	if m, ok := node.(*ast.MappingValueNode); ok {
		return m.Key.GetToken().Position.Line
	}
	if token := node.GetToken(); token != nil && token.Position != nil {
		return token.Position.Line
	}
	return fallback
}
