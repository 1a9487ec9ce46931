package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

const completeAgent = `host: {id: host-3, failure_domain: b, fabric_domain: rack-2}
link: {address: 127.0.2.3:7000}
keys: {folder: keys}
control: ["127.0.1.1:7000"]
endpoints:
  - {kind: engine, url: "http://127.0.0.1:8000", fences: true, accelerators: 8}
`

func TestParseAgentAppliesDefaultsAndResolvesPaths(t *testing.T) {
	s, err := ParseAgent("/etc/egretreach/agent.yaml", []byte(completeAgent))
	require.NoError(t, err)
	require.Equal(t, "/etc/egretreach/keys", s.Keys.Folder)
	require.Equal(t, time.Minute, s.Keys.CheckInterval)
	require.Equal(t, Log{Level: "info", Format: "json"}, s.Log)
	require.Equal(t,
		host.Endpoint{Name: "host-3", Kind: host.KindEngine, ChecksFence: true, Accelerators: 8},
		s.Endpoints[0].Announced())
}

// TestTruncatedFileIsRefused truncates a valid file at every byte. No prefix may be accepted as
// settings.
func TestTruncatedFileIsRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "agent.yaml")
	for length := range len(completeAgent) {
		require.NoError(t, os.WriteFile(file, []byte(completeAgent[:length]), 0o600))
		_, err := LoadAgent(file)
		require.True(t, IsErrInvalid(err), "cut at %d: %v", length, err)
		require.ErrorContains(t, err, file)
	}
	_, err := LoadAgent(file + ".missing")
	require.True(t, IsErrInvalid(err))
}

func TestEachInvalidSettingIsReportedWithItsKey(t *testing.T) {
	parseEntry := func(text string) error { _, err := ParseEntry("e", []byte(text)); return err }
	parseControl := func(text string) error { _, err := ParseControl("c", []byte(text)); return err }
	parseAgent := func(text string) error { _, err := ParseAgent("a", []byte(text)); return err }
	for _, c := range []struct {
		parse func(string) error
		text  string
		wants []string
	}{
		{parseEntry, "api: {address: localhost:80}\n", []string{"e:1: api.address: \"localhost:80\" is not an IP"}},
		{parseEntry, "api: {max_header: 32}\nlog: {level: info}\n", []string{"e:1: api.max_header: \"32\" is not a size"}},
		{
			parseEntry, "link: {address: \"0.0.0.0:7000\"}\nlog: {level: loud}\ncontrol: [127.0.0.1:1, 127.0.0.1:1]\n",
			[]string{"host.id: is missing", "e:1: link.address: must be the address", "e:2: log.level: must be one of", "e:3: control[1]: is given twice"},
		},
		{
			parseControl, "host: {id: c1, failure_domain: a}\nlink: {address: 127.0.1.1:7}\nmembers:\n  - {host: c1, address: 127.0.1.1:8}\n  - {host: c1, address: 127.0.1.1:8}\n",
			[]string{"data_folder: is missing", "c:4: members[0].address: is not link.address", "c:5: members[1].host: is given twice", "c:3: members: must be an odd number"},
		},
		{
			parseControl, "host: {id: c1, failure_domain: a}\nmembers: [{host: c2, address: 127.0.1.1:8}]\n",
			[]string{"c:2: members: does not name this host"},
		},
		{
			parseAgent, "host: {id: h, failure_domain: a}\nendpoints:\n  - {kind: engine, url: \"http://engine:1\"}\n",
			[]string{"a:3: endpoints[0].url: \"http://engine:1\" is not a URL"},
		},
		{
			parseAgent, "host: {id: h, failure_domain: a}\nendpoints:\n  - {kind: engine}\n  - {kind: engine, accelerators: 1}\n  - {kind: service}\n  - {kind: oven}\n",
			[]string{
				"a:1: host.fabric_domain: is missing", "a:3: endpoints[0].accelerators: is missing", "endpoints[0].url: is missing",
				"a:4: endpoints[1].kind: is a second engine", "a:5: endpoints[2].name: is missing", "a:6: endpoints[3].kind: must be one of",
			},
		},
	} {
		err := c.parse(c.text)
		require.True(t, IsErrInvalid(err), c.text)
		for _, want := range c.wants {
			require.ErrorContains(t, err, want)
		}
	}
}

// TestStopIsReducedToTheGrace guards against a planned stop that is still going on when its process is
// killed, and against a grace that lengthens a stop.
func TestStopIsReducedToTheGrace(t *testing.T) {
	set := Stop{ShutdownDelay: 2 * time.Second, DrainTimeout: 4 * time.Second}
	for grace, want := range map[time.Duration]Stop{
		0:                {ShutdownDelay: 2 * time.Second, DrainTimeout: 4 * time.Second},
		30 * time.Second: {ShutdownDelay: 2 * time.Second, DrainTimeout: 4 * time.Second},
		5 * time.Second:  {ShutdownDelay: 5 * time.Second / 3, DrainTimeout: 5*time.Second*9/10 - 5*time.Second/3},
		time.Second:      {ShutdownDelay: time.Second / 3, DrainTimeout: time.Second*9/10 - time.Second/3},
	} {
		set.Grace, want.Grace = grace, grace
		got := set.withinGrace()
		require.InDelta(t, want.ShutdownDelay, got.ShutdownDelay, 1, grace.String())
		require.InDelta(t, want.DrainTimeout, got.DrainTimeout, 2, grace.String())
		require.Equal(t, grace, got.Grace)
	}
}

// TestShortExplainTokenIsRefused guards against a token that can be guessed, and against a page that is on by default.
func TestShortExplainTokenIsRefused(t *testing.T) {
	data, err := os.ReadFile("../../../examples/gateway.yaml")
	require.NoError(t, err)
	require.Empty(t, DefaultGateway().Explain.Token)
	with := func(token string) error {
		_, err := ParseGateway("gateway.yaml", []byte(strings.Replace(string(data), `token: ""`, "token: "+token, 1)))
		return err
	}
	require.NoError(t, with("0123456789abcdef-"))
	require.ErrorContains(t, with("short"), "explain.token")
	require.ErrorContains(t, with(strings.Repeat("x", 257)), "explain.token")
}
