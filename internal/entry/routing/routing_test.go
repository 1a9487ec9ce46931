package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

var epoch = time.Unix(1000, 0)

func route(id replica.ID, change ...func(*view.Route)) view.Route {
	r := view.Route{
		Replica: replica.Replica{
			ID: id, State: replica.StateServing,
			Spec: replica.Spec{Deployment: "drafting", Model: "m", Version: "1"},
		},
		Load: view.Load{PrefillRate: 4000, Capacity: 16, Sequence: 1},
	}
	for _, c := range change {
		c(&r)
	}
	return r
}

func newRouter(routes ...view.Route) *Router {
	r := New(rand.New(rand.NewPCG(1, 2)), Policy{})
	r.SetView(epoch, view.View{Routes: routes})
	return r
}

func ExampleRouter() {
	r := newRouter(route("r1"), route("r2", func(v *view.Route) { v.Load.WaitingTokens = 9000 }))
	req := Request{Deployment: "drafting", PromptTokens: 800}
	choice, err := r.Pick(epoch, req)
	if err != nil {
		fmt.Println(err)
		return
	}
	attemptID := r.Dispatched(epoch, req, choice)
	r.FirstToken(epoch.Add(200*time.Millisecond), attemptID)
	r.Finished(epoch.Add(time.Second), attemptID, Result{Complete: true})
	fmt.Println(choice.Route.Replica.ID, choice.PredictedTTFT)
	// Output: r1 200ms
}

func TestPickFiltersReplicasByRequest(t *testing.T) {
	r := newRouter(
		route("plain"),
		route("next", func(v *view.Route) { v.Replica.Spec.Version = "2" }),
		route("adapted", func(v *view.Route) {
			v.Replica.Spec.Version, v.Replica.Spec.Adapters = "3", []string{"safety"}
		}),
		route("decode", func(v *view.Route) { v.Replica.Spec.Version, v.Replica.Spec.Role = "4", "decode" }),
		route("loading", func(v *view.Route) {
			v.Replica.Spec.Deployment, v.Replica.State = "other", replica.StateLoading
		}),
	)
	cases := []struct {
		req   Request
		want  replica.ID
		isErr func(error) bool
	}{
		{Request{Deployment: "drafting", Version: "2"}, "next", nil},
		{Request{Deployment: "m", Version: "2"}, "next", nil},
		{Request{Deployment: "m", Adapter: "safety"}, "adapted", nil},
		{Request{Deployment: "m", Version: "4", Role: "decode"}, "decode", nil},
		{Request{Deployment: "m", Version: "4", Role: "prefill"}, "", IsErrNoModel},
		{Request{Deployment: "none"}, "", IsErrNoModel},
		{Request{Deployment: "other"}, "", IsErrNoReplica},
		{Request{Deployment: "m", Version: "2", Exclude: map[replica.ID]bool{"next": true}}, "", IsErrNoReplica},
	}
	for _, c := range cases {
		choice, err := r.Pick(epoch, c.req)
		if c.isErr != nil {
			require.True(t, c.isErr(err), "%v: %v", c.req, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, c.want, choice.Route.Replica.ID)
	}
}

func TestSuspectsRunOneAtATimeOnOneReplica(t *testing.T) {
	routes := []view.Route{route("a"), route("b"), route("c", func(v *view.Route) { v.Load.WaitingTokens = 50000 })}
	one, two := newRouter(routes...), newRouter(routes...)
	suspect := Request{Deployment: "m", BodyHash: 42, Suspect: true}
	choice, err := one.Pick(epoch, suspect)
	require.NoError(t, err)
	attemptID := one.Dispatched(epoch, suspect, choice)
	_, err = one.Pick(epoch, suspect)
	require.True(t, IsErrSuspectRunning(err))
	elsewhere, err := two.Pick(epoch, suspect)
	require.NoError(t, err)
	require.Equal(t, choice.Route.Replica.ID, elsewhere.Route.Replica.ID, "entries choose the same replica")
	one.Finished(epoch, attemptID, Result{})
	_, err = one.Pick(epoch, suspect)
	require.NoError(t, err)
}

func TestCopiesOfABodyStayOnOneReplicaUntilItCompletes(t *testing.T) {
	r := newRouter(route("a"), route("b"), route("c"))
	req := Request{Deployment: "m", PromptTokens: 4000, BodyHash: 42}
	send := func(req Request) (replica.ID, AttemptID) {
		choice, err := r.Pick(epoch, req)
		require.NoError(t, err)
		return choice.Route.Replica.ID, r.Dispatched(epoch, req, choice)
	}
	first, attemptID := send(req)
	for range 20 {
		again, _ := send(req)
		require.Equal(t, first, again)
	}
	excludingFirst := req
	excludingFirst.Exclude = map[replica.ID]bool{first: true}
	elsewhere, _ := send(excludingFirst)
	require.NotEqual(t, first, elsewhere)
	r.Finished(epoch, attemptID, Result{Complete: true})
	seen := make(map[replica.ID]bool)
	for range 60 {
		id, _ := send(req)
		seen[id] = true
	}
	require.Len(t, seen, 3, "a body that has completed spreads over all replicas")
}

func TestServicesPickAvoidsBusyAndExcludedEndpoints(t *testing.T) {
	s := NewServices(rand.New(rand.NewPCG(1, 2)))
	s.SetView(view.View{Services: []view.Service{{Name: "records", Host: "a"}, {Name: "records", Host: "b"}}})
	first, err := s.Pick("records", nil, Restriction{})
	require.NoError(t, err)
	s.Dispatched(first)
	second, err := s.Pick("records", nil, Restriction{})
	require.NoError(t, err)
	require.NotEqual(t, first, second, "the endpoint with fewer calls in flight")
	_, err = s.Pick("records", map[host.ID]bool{"a": true, "b": true}, Restriction{})
	require.True(t, IsErrNoEndpoint(err))
}
