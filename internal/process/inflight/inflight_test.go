package inflight

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWaitEndsWithTheLastRequest guards against a planned stop that ends before a request that began
// while it waited.
func TestWaitEndsWithTheLastRequest(t *testing.T) {
	var r Requests
	r.Begin()
	idle := r.WhenIdle()
	r.Begin()
	r.End()
	require.Equal(t, 1, r.Count())
	select {
	case <-idle:
		t.Fatal("a request is still being served")
	default:
	}
	r.End()
	<-idle
	<-r.WhenIdle()
}

func ExampleRequests() {
	var r Requests
	fmt.Println(r.Begin(), r.Count())
	r.Refuse()
	fmt.Println(r.Begin(), r.Count())
	r.End()
	r.End()
	<-r.WhenIdle()
	fmt.Println(r.Count())
	// Output:
	// true 1
	// false 2
	// 0
}
