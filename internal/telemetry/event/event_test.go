package event

import (
	"fmt"
	"os"
	"regexp"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDocumentationListsEveryEvent checks that docs/EVENTS.md lists exactly the registered events, with
// their names and levels.
func TestDocumentationListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	require.NoError(t, err)
	row := regexp.MustCompile("(?m)^\\| (\\d+) \\| `(\\w+)` \\| (\\w+) \\|")
	var documented, defined []string
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1]+" "+m[2]+" "+m[3])
	}
	for _, e := range All() {
		defined = append(defined, fmt.Sprintf("%d %s %s", e.Number, e.Name, e.Level))
	}
	sort.Strings(documented)
	sort.Strings(defined)
	require.Equal(t, defined, documented)
}
