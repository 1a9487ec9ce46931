package placement_test

import (
	"fmt"
	"time"

	"github.com/egretreach/egretreach/internal/control/placement"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
)

func ExampleDecide() {
	spec := replica.Spec{Deployment: "drafts", Model: "m", Version: "1"}
	now := time.Unix(1000, 0)
	serving := replica.Replica{ID: "r1", Spec: spec, Hosts: []host.ID{"a0", "a1"}, State: replica.StateServing}
	fleet := placement.Fleet{
		Now: now,
		Hosts: []placement.Host{
			{ID: "a0", Replica: "r1", Alive: true},
			{ID: "a1", Replica: "r1", AliveChangedAt: now.Add(-5 * time.Minute)},
			{ID: "a2", Alive: true},
		},
		Replicas:    []placement.Replica{{Replica: serving}},
		Deployments: []placement.Deployment{{Spec: spec, Replicas: 1, HostsPerReplica: 2}},
	}
	for _, d := range placement.Decide(fleet) {
		if swap, ok := d.(placement.Swap); ok {
			fmt.Println(swap.Old, swap.Hosts, swap.Reason)
		}
	}
	// Output: [r1] [a0 a2] member_lost
}
