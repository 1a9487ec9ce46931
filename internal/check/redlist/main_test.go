package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestListedFailureIsPrintedAndTolerated guards against a listed failure whose output is lost, and against a failure of another test
// that is tolerated beside it.
func TestListedFailureIsPrintedAndTolerated(t *testing.T) {
	const events = `
{"Action":"output","Package":"p","Test":"TestListed","Output":"why it failed\n"}
{"Action":"fail","Package":"p","Test":"TestListed"}
{"Action":"pass","Package":"p","Test":"TestSound"}
{"Action":"fail","Package":"p"}
{"Action":"output","Package":"q","Test":"TestOther","Output":"another reason\n"}
{"Action":"fail","Package":"q","Test":"TestOther"}
{"Action":"fail","Package":"q"}
`
	sum, err := summarise(strings.NewReader(events), map[string]bool{"TestListed": true})
	require.NoError(t, err)
	require.Equal(t, []string{"p TestListed"}, sum.passedOver)
	require.Equal(t, []string{"q TestOther", "q "}, sum.failed)
	var out strings.Builder
	sum.print(&out)
	require.Contains(t, out.String(), "KNOWN RED, passed over: p TestListed\nwhy it failed\n")
	require.True(t, strings.HasSuffix(out.String(), "FAIL q \nFAIL q TestOther\n1 passed, 2 failed\n"), out.String())
}

// TestOnlyTestsThatRanAreOK guards against a process that runs no test and counts as sound.
func TestOnlyTestsThatRanAreOK(t *testing.T) {
	listed := map[string]bool{"TestListed": true}
	for events, ok := range map[string]bool{
		"":                                false,
		`{"Action":"pass","Package":"p"}`: false,
		`{"Action":"pass","Package":"p","Test":"TestSound"}`:                                 true,
		`{"Action":"fail","Package":"p","Test":"TestListed"}{"Action":"fail","Package":"p"}`: true,
		`{"Action":"fail","Package":"p"}`:                                                    false,
	} {
		sum, err := summarise(strings.NewReader(events), listed)
		require.NoError(t, err)
		require.Equal(t, ok, sum.ok(), events)
	}
}
