package placement

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/replica"
)

var update = flag.Bool("update", false, "write the golden files")

// deployment returns a deployment of replicas of size hosts. A second of downtime of
// one replica costs 8, a second of a stranded accelerator 1.
func deployment(name string, replicas, size, priority int) Deployment {
	return Deployment{
		Spec:            replica.Spec{Deployment: name, Model: name, Version: "1"},
		Replicas:        replicas,
		HostsPerReplica: size,
		Priority:        priority,
		DowntimeCost:    8,
		StrandedCost:    1,
		LoadCost:        LoadCost{BytesPerHost: 100e9, LocalLoadTime: 30 * time.Second},
	}
}

// TestScenariosMatchGoldenFiles runs each script of faults and compares the whole log
// of events and decisions with a golden file.
func TestScenariosMatchGoldenFiles(t *testing.T) {
	one := []Deployment{deployment("drafts", 3, 4, 1)}
	crossing, extra, small := deployment("drafts", 3, 4, 1), deployment("lookups", 1, 2, 1), deployment("lookups", 2, 2, 1)
	crossing.CrossFabric = true
	extra.MaxReplicas = 6
	tests := []struct {
		name        string
		perFabric   int
		deployments []Deployment
		script      string
		warm        bool
	}{
		{"member_fails_spare_exists", 5, one, "10m fail a0", true},
		{"member_fails_no_spare", 4, one, "10m lose a0; 40m back a0", false},
		{"member_returns_within_a_minute", 5, one, "10m lose a0; 620s back a0; 20m cut b0; 1220s back b0", false},
		{"member_flaps", 5, one, "10m lose a0; 11m back a0; 15m lose a0; 16m back a0; 20m lose a0; 21m back a0; 24m lose a0; 25m back a0", false},
		{"straggler", 5, one, "10m slow a1; 30m normal a1", true},
		{"second_loss_after_repair", 6, one, "10m fail a0; 625s fail a1; 20m lose a2; 21m back a2; 50m back a0 a1", true},
		{"short_domain_outage", 8, one, "10m cut a0 a1 a2 a3 a4 a5 a6 a7; 11m back a0 a1 a2 a3 a4 a5 a6 a7", false},
		{"long_domain_outage", 8, one, "10m cut a0 a1 a2 a3 a4 a5 a6 a7; 20m back a0 a1 a2 a3 a4 a5 a6 a7", false},
		{"planned_stop", 8, one, "10m stop a0", false},
		{"planned_stop_one_spare", 5, one, "10m stop a0", true},
		{"rolling_stop_of_a_domain", 8, one, "10m roll a0 a1 a2 a3", false},
		{"store_saturated", 10, []Deployment{deployment("drafts", 6, 4, 1)}, "20m fail a0 a1 b0 b1 c0 c1; 1h back a0 a1 b0 b1 c0 c1", false},
		{"two_deployments_compete", 5, []Deployment{deployment("drafts", 3, 4, 2), deployment("lookups", 1, 1, 1)}, "10m fail a0; 12m fail b0; 13m fail b1", false},
		{"remnants", 8, []Deployment{deployment("drafts", 6, 4, 1)}, "20m fail a0; 21m fail a4; 30m fail b0", false},
		{"cross_fabric_as_last_resort", 5, []Deployment{crossing}, "10m fail a0 a1; 40m back a0 a1", true},
		{"rollout_preempts_extra_replicas", 8, []Deployment{deployment("drafts", 3, 4, 2), extra}, "30m version 2", true},
		{"extra_replicas_preempted", 6, []Deployment{deployment("drafts", 3, 4, 2), extra}, "30m fail b0", true},
		{"compaction", 10, []Deployment{deployment("drafts", 5, 4, 2), small}, "40m fail c0; 50m stop b1", true},
		{"version_rollout", 8, one, "10m version 2", false},
		{"evacuation", 8, one, "10m evacuate a0 a1 a2 a3 a4 a5 a6 a7; 30m withdraw a0 a1 a2 a3 a4 a5 a6 a7", false},
		{"evacuation_without_spares", 4, one, "10m evacuate a0 a1 a2 a3; 30m withdraw a0 a1 a2 a3", false},
		{"adapter_rollout", 4, one, "10m adapters badges", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, test.perFabric, test.deployments...)
			sim.fleet.Policy.ColdSpares = !test.warm
			sim.script(test.script)
			sim.run(10 * time.Minute)
			sim.down, sim.stranded, sim.slow = 0, 0, 0
			sim.run(90 * time.Minute)
			sim.logf("group downtime %.0f s, stranded %.0f accelerator s, slow %.0f s", sim.down, sim.stranded, sim.slow)
			requireGolden(t, test.name, strings.Join(sim.log, "\n")+"\n")
		})
	}
}

// requireGolden compares a log with its golden file.
func requireGolden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", fmt.Sprint(name, ".golden"))
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
