package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestStaysInItsRegions guards against a request that goes to a region which its route or its team doesn't allow, or to an endpoint
// whose region isn't known, with two and with three regions. x has no known region.
func TestRequestStaysInItsRegions(t *testing.T) {
	two := map[string]string{"a": "north", "b": "north", "c": "south"}
	three := map[string]string{"a": "north", "b": "south", "c": "west"}
	cases := []struct {
		name        string
		regions     map[string]string
		route, team []string
		want        []string
	}{
		{"two, no limit", two, nil, nil, []string{"a", "b", "c", "x"}},
		{"two, empty lists", two, []string{}, []string{}, []string{"a", "b", "c", "x"}},
		{"two, route", two, []string{"south"}, nil, []string{"c"}},
		{"two, team", two, nil, []string{"north"}, []string{"a", "b"}},
		{"two, both", two, []string{"north", "south"}, []string{"south"}, []string{"c"}},
		{"two, both apart", two, []string{"north"}, []string{"south"}, nil},
		{"three, route", three, []string{"north", "west"}, nil, []string{"a", "c"}},
		{"three, both", three, []string{"north", "west"}, []string{"west", "south"}, []string{"c"}},
		{"three, another name", three, []string{"east"}, nil, nil},
		{"three, empty name", three, []string{""}, nil, nil},
		{"no setting, no limit", nil, nil, nil, []string{"a", "b", "c", "x"}},
		{"no setting, route", nil, []string{"north"}, nil, nil},
	}
	for _, c := range cases {
		b := inDomains("a", "b", "c", "x")
		b.Regions = c.regions
		req := Request{Service: "plain", Regions: Regions{Route: c.route, Team: c.team}, ArrivedAt: noon, WaitUntil: noon.Add(time.Second)}
		var got []string
		for len(got) < len(c.want) {
			d, w := b.Submit(req, noon)
			require.Nil(t, w, c.name)
			require.NotEmpty(t, d.Endpoint.ID, c.name)
			got = append(got, d.Endpoint.ID)
			req.Exclude = got
		}
		require.ElementsMatch(t, c.want, got, c.name)
		if len(c.want) == 0 {
			d, w := b.Submit(req, noon)
			require.Nil(t, w, c.name)
			require.Equal(t, reasonRegion, d.Reason, c.name)
			require.Equal(t, 4, d.Availability.Region, c.name)
			continue
		}
		domains := append([]string{}, c.want...)
		req.Exclude = nil
		b.SetEvacuated(domains, noon)
		d, w := b.Submit(req, noon)
		require.Nil(t, w, c.name)
		if len(c.want) < 4 {
			require.Equal(t, reasonBarred, d.Reason, c.name)
		} else {
			require.Equal(t, reasonEvacuated, d.Reason, c.name)
		}
	}
}
