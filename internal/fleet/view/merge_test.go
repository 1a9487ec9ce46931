package view_test

import (
	"fmt"

	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

func ExampleView_Merge() {
	route := func(id replica.ID, running int) view.Route {
		return view.Route{Replica: replica.Replica{ID: id}, Load: view.Load{Running: running}}
	}
	whole := view.View{
		Sequence:   1,
		Routes:     []view.Route{route("drafting-1", 3), route("drafting-2", 4), route("drafting-3", 1)},
		Services:   []view.Service{{Name: "records", Host: "host-9"}},
		Quarantine: []view.Quarantine{{BodyHash: 7, Suspect: true}},
	}
	delta := view.View{
		Sequence:   2,
		Routes:     []view.Route{route("drafting-1", 5)},
		Loads:      []view.ReplicaLoad{{Replica: "drafting-3", Load: view.Load{Running: 2}}},
		Quarantine: []view.Quarantine{{BodyHash: 7}, {BodyHash: 8, Suspect: true}},
	}
	merged := whole.Merge(delta, []string{"drafting-2", "records@host-9"})
	for _, r := range merged.Routes {
		fmt.Println(r.Key(), r.Load.Running)
	}
	fmt.Println(len(merged.Services), merged.Quarantine)
	// Output:
	// drafting-1 5
	// drafting-3 2
	// 0 [{7 false 0} {8 true 0}]
}
