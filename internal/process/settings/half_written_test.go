package settings

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHalfWrittenFileIsRefused guards against a settings file that is read while it is being written
// and ends the process by a panic, or takes effect with a part of a value.
func TestHalfWrittenFileIsRefused(t *testing.T) {
	data, err := os.ReadFile("../../../examples/gateway.yaml")
	require.NoError(t, err)
	whole, err := ParseGateway("gateway.yaml", data)
	require.NoError(t, err)
	for n := range data {
		part, err := ParseGateway("gateway.yaml", data[:n])
		if err != nil {
			require.True(t, IsErrInvalid(err), "%d bytes: %v", n, err)
			continue
		}
		require.Equal(t, whole.API, part.API, "%d bytes: %s", n, data[:n])
		require.Equal(t, whole.Seeds, part.Seeds, "%d bytes: %s", n, data[:n])
	}
}
