package config

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse parses arbitrary files. Parse must not panic, must give a problem for each
// file that it refuses, and must accept only configurations that have values for any
// subject.
func FuzzParse(f *testing.F) {
	f.Add(DefaultYAML())
	for _, name := range []string{"exceptions.yaml", "invalid.yaml", "dangling.yaml"} {
		data, err := os.ReadFile("testdata/" + name)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte("models: &m [*m]\n"))
	f.Add([]byte("defaults: {<<: {ledger: {}}}\n"))
	f.Add([]byte("? [a]\n: b\n"))
	f.Add([]byte("exceptions: [{values: {limits: {concurrency: 0x7}}}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet, err := Parse("fuzz.yaml", data)
		if err != nil {
			require.True(t, IsErrInvalid(err), "%v", err)
			require.NotEmpty(t, err.Error())
			return
		}
		fleet.ExplainFor(Subject{Host: "host-1", Team: "troops", Deployment: "drafting"})
		_, ok := fleet.Authenticate("token")
		require.False(t, ok)
	})
}
