package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const regionsYAML = `regions:
  hall-1: north
  hall-2: south
models:
  - name: drafter
    versions:
      - name: "1"
        weights: 1MiB
deployments:
  - name: drafting
    model: drafter
    version: "1"
    hosts_per_replica: 1
    allowed_regions: [north]
teams:
  - name: troops
    allowed_regions: [south]
  - name: anyone
services:
  - name: records
    allowed_regions: [north, south]
`

// TestRegionsOfTeamAndDeploymentBothApply guards against an endpoint that only one of two lists of regions allows, and
// against one whose region is not known.
func TestRegionsOfTeamAndDeploymentBothApply(t *testing.T) {
	f, err := Parse("fleet.yaml", []byte(regionsYAML))
	require.NoError(t, err)
	require.True(t, f.DeploymentAllows("drafting", "hall-1"))
	require.False(t, f.DeploymentAllows("drafting", "hall-2"))
	require.False(t, f.DeploymentAllows("drafting", "hall-3"))
	require.False(t, f.DeploymentAllows("drafting", ""))
	require.True(t, f.ServiceAllows("records", "hall-2"))
	require.False(t, f.ServiceAllows("records", "hall-3"))
	troops, _ := f.Team("troops")
	anyone, _ := f.Team("anyone")
	require.False(t, troops.Allows(f, "hall-1"))
	require.True(t, troops.Allows(f, "hall-2"))
	require.True(t, anyone.Allows(f, "hall-3"))
}

// TestUnknownRegionsAndHalfWarmUpsAreRefused guards against a misspelt region, which would leave no endpoint, and against a
// warm-up that would limit nothing or everything.
func TestUnknownRegionsAndHalfWarmUpsAreRefused(t *testing.T) {
	_, err := Parse("fleet.yaml", []byte("regions:\n  hall-1: north\nservices:\n  - name: records\n    allowed_regions: [nroth]\n"))
	require.ErrorContains(t, err, `no failure domain is in region "nroth"`)
	_, err = Parse("fleet.yaml", []byte("services:\n  - name: records\n    warm_up: {time: 3s}\n"))
	require.ErrorContains(t, err, "services[0].warm_up: needs both time and requests_per_second")
	_, err = Parse("fleet.yaml", []byte("teams:\n  - name: troops\n    allowed_regions: [north]\n"))
	require.ErrorContains(t, err, `teams[0].allowed_regions[0]`)
}
