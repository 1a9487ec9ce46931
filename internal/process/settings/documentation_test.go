package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/document"
)

// rows returns the first columns of the documentation's table row for every setting in v: its key,
// default and bounds.
func rows(v reflect.Value, key string) []string {
	if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
		return rows(reflect.Zero(v.Type().Elem()), key+"[]")
	}
	if v.Kind() != reflect.Struct || v.Type() == reflect.TypeFor[config.Overrides]() {
		return nil
	}
	var all []string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := document.FieldName(f)
		if name == "" {
			continue
		}
		path := strings.TrimPrefix(key+"."+name, ".")
		inner := rows(v.Field(i), path)
		if inner == nil {
			inner = []string{fmt.Sprintf("| `%s` | %s | %s |", path, formatDefault(v.Field(i)), bounds(f))}
		}
		all = append(all, inner...)
	}
	return all
}

// formatDefault returns a default as the documentation shows it. A zero value is shown as "".
func formatDefault(v reflect.Value) string {
	if d, ok := v.Interface().(time.Duration); ok && d != 0 {
		return strings.ReplaceAll(strings.ReplaceAll(d.String(), "m0s", "m"), "h0m", "h")
	}
	if v.IsZero() {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

// bounds describes the validate tag of a field in words.
func bounds(f reflect.StructField) string {
	tag, _, _ := strings.Cut(f.Tag.Get("validate"), ",dive")
	var words []string
	for _, rule := range strings.Split(tag, ",") {
		name, param, _ := strings.Cut(rule, "=")
		if size, err := document.ParseSize(param + "B"); err == nil && f.Type == reflect.TypeFor[document.Size]() {
			param = size.String()
		}
		switch name {
		case "required":
			words = append(words, "required")
		case "gt":
			words = append(words, "above "+param)
		case "min":
			words = append(words, "from "+param)
		case "max":
			words = append(words, "to "+param)
		case "oneof":
			words = append(words, strings.Join(strings.Fields(param), ", "))
		}
	}
	return strings.Join(words, " ")
}

// TestDocumentationListsEverySetting checks that docs/CONFIGURATION.md has a row for every setting,
// with the default and bounds of the code.
func TestDocumentationListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	require.NoError(t, err)
	for _, v := range []any{
		config.Fleet{Defaults: config.DefaultValues()}, DefaultEntry(), DefaultControl(), DefaultAgent(), DefaultPortal(), DefaultGateway(),
	} {
		for _, row := range rows(reflect.ValueOf(v), "") {
			require.Contains(t, string(page), row)
		}
	}
}
