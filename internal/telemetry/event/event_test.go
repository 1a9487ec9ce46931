package event

import (
	"fmt"
	"os"
	"regexp"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCatalogueHoldsEveryEvent compares docs/EVENTS.md with the registered events.
func TestCatalogueHoldsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	require.NoError(t, err)
	row := regexp.MustCompile("(?m)^\\| (\\d+) \\| `(\\w+)` \\| (\\w+) \\|")
	var documented, registered []string
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1]+" "+m[2]+" "+m[3])
	}
	for _, e := range All() {
		registered = append(registered, fmt.Sprintf("%d %s %s", e.Number, e.Name, e.Level))
	}
	sort.Strings(documented)
	sort.Strings(registered)
	require.Equal(t, registered, documented)
}
