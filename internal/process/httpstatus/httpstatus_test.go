package httpstatus

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// ExampleCheckFinal shows the codes that a server may end a response with.
func ExampleCheckFinal() {
	fmt.Println(CheckFinal(204), CheckFinal(599))
	fmt.Println(CheckFinal(0))
	// Output:
	// <nil> <nil>
	// invalid status code 0
}

// TestCodesAreOfOneKindAtMost guards against an invalid code that is taken for a final or an informational response.
func TestCodesAreOfOneKindAtMost(t *testing.T) {
	for status := -99; status <= 1000; status++ {
		final, informational := status >= 200 && status <= 599, status >= 100 && status <= 199 && status != 101
		require.Equal(t, !final, IsErrInvalid(CheckFinal(status)), status)
		require.Equal(t, informational, IsInformational(status), status)
	}
}
