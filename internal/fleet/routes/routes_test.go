package routes

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sampleTable() Table {
	one, two := 1, 2
	return Table{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "h", Prefix: "/", Kind: KindSafe, Timeout: time.Second, Targets: []Target{{"s", 1}}},
			{Name: "deep", Host: "h", Prefix: "/a/b/", Kind: KindUnsafe, Timeout: time.Second, Targets: []Target{{"s", 3}, {"u", 1}}},
			{Name: "mid", Host: "h", Prefix: "/a/", Kind: KindStream, Resumable: true, Timeout: time.Second, Targets: []Target{{"s", 1}}},
		},
		Services: []Service{{Name: "s"}, {Name: "u"}},
		Teams:    []Team{{Name: "t", Keys: []string{"k1", "k2"}, Priority: &one}, {Name: "v", Keys: []string{"k3"}, Priority: &two}},
	}
}

func ExampleTable_Match() {
	table := sampleTable().WithIndex()
	for _, path := range []string{"/a/b/c", "/a/x", "/ab"} {
		route, _ := table.Match("h", path)
		fmt.Println(path, route.Name)
	}
	_, ok := table.Match("elsewhere", "/a/")
	fmt.Println(ok)
	// Output:
	// /a/b/c deep
	// /a/x mid
	// /ab all
	// false
}

func TestKeysAndServicesAreFound(t *testing.T) {
	table := sampleTable().WithIndex()
	team, ok := table.Team("k2")
	require.True(t, ok)
	require.Equal(t, "t", team.Name)
	_, ok = table.Team("")
	require.False(t, ok)
	_, ok = table.Service("u")
	require.True(t, ok)
	_, ok = table.Service("w")
	require.False(t, ok)
}

func TestPickFollowsTheWeights(t *testing.T) {
	route := sampleTable().Routes[1]
	counts := map[string]int{}
	for i := range 400 {
		counts[route.Pick(float64(i)/400)]++
	}
	require.Equal(t, map[string]int{"s": 300, "u": 100}, counts)
}

func TestRetryableByKind(t *testing.T) {
	require.True(t, Route{Kind: KindSafe}.Retryable())
	require.False(t, Route{Kind: KindUnsafe, Resumable: true}.Retryable())
	require.False(t, Route{Kind: KindStream}.Retryable())
	require.True(t, Route{Kind: KindStream, Resumable: true}.Retryable())
}

func TestCheckRejectsInvalidTables(t *testing.T) {
	require.NoError(t, sampleTable().Check())
	for name, corrupt := range map[string]func(*Table){
		"unknown service":      func(t *Table) { t.Routes[0].Targets[0].Service = "w" },
		"same host and prefix": func(t *Table) { t.Routes[2].Prefix = "/" },
		"weights":              func(t *Table) { t.Routes[0].Targets[0].Weight = 0 },
		"negative weight":      func(t *Table) { t.Routes[1].Targets[1].Weight = -1 },
		"no targets":           func(t *Table) { t.Routes[0].Targets = nil },
		"timeout":              func(t *Table) { t.Routes[0].Timeout = 0 },
		"kind":                 func(t *Table) { t.Routes[0].Kind = 0 },
		"two teams one key":    func(t *Table) { t.Teams[1].Keys = []string{"k1"} },
	} {
		t.Run(name, func(t *testing.T) {
			table := sampleTable()
			corrupt(&table)
			require.True(t, IsErrInvalid(table.Check()))
		})
	}
}
