package settings

import (
	"os"
	"reflect"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/document"
)

// structKeys adds the path of every key that a struct type defines to keys.
func structKeys(t reflect.Type, path string, keys map[string]bool) {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if _, shaped := reflect.Zero(t).Interface().(document.SchemaProvider); shaped {
		return // An exception may contain any subset of the keys below defaults.
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		if name := document.FieldName(t.Field(i)); name != "" {
			keys[path+"."+name] = true
			structKeys(t.Field(i).Type, path+"."+name, keys)
		}
	}
}

// fileKeys adds the path of every key in the content of a file to keys.
func fileKeys(value any, path string, keys map[string]bool) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			keys[path+"."+name] = true
			fileKeys(inner, path+"."+name, keys)
		}
	case []any:
		for _, inner := range v {
			fileKeys(inner, path, keys)
		}
	}
}

// TestSamplesContainEverySetting checks that each sample in the examples folder is valid and contains
// every key of its settings.
func TestSamplesContainEverySetting(t *testing.T) {
	for name, c := range map[string]struct {
		settings any
		parse    func(file string, data []byte) (any, error)
	}{
		"fleet.yaml":   {config.Fleet{}, func(f string, d []byte) (any, error) { return config.Parse(f, d) }},
		"entry.yaml":   {Entry{}, func(f string, d []byte) (any, error) { return ParseEntry(f, d) }},
		"control.yaml": {Control{}, func(f string, d []byte) (any, error) { return ParseControl(f, d) }},
		"portal.yaml":  {Portal{}, func(f string, d []byte) (any, error) { return ParsePortal(f, d) }},
		"gateway.yaml": {Gateway{}, func(f string, d []byte) (any, error) { return ParseGateway(f, d) }},
		"agent.yaml":   {Agent{}, func(f string, d []byte) (any, error) { return ParseAgent(f, d) }},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("../../../examples/" + name)
			require.NoError(t, err)
			_, err = c.parse(name, data)
			require.NoError(t, err)
			var content any
			require.NoError(t, yaml.Unmarshal(data, &content))
			present, expected := map[string]bool{}, map[string]bool{}
			fileKeys(content, "", present)
			structKeys(reflect.TypeOf(c.settings), "", expected)
			for key := range expected {
				require.True(t, present[key], "the sample lacks %s", key)
			}
		})
	}
}

// TestSamplesContainTheDefaults checks the values that fleet.yaml and entry.yaml present as defaults.
func TestSamplesContainTheDefaults(t *testing.T) {
	data, err := os.ReadFile("../../../examples/fleet.yaml")
	require.NoError(t, err)
	fleet, err := config.Parse("fleet.yaml", data)
	require.NoError(t, err)
	require.Equal(t, config.DefaultValues(), fleet.Defaults)

	entry, err := LoadEntry("../../../examples/entry.yaml")
	require.NoError(t, err)
	api := DefaultEntry().API
	api.Address = entry.API.Address
	require.Equal(t, api, entry.API)
	require.Equal(t, defaultStop(), entry.Stop)
	require.Equal(t, defaultLog(), entry.Log)
}
