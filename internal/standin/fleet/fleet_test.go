package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/standin/engine"
)

// fixture is a complete fleet in virtual time: 3 control hosts, 2 entries, engine hosts (by
// default 5: two replicas of 2 hosts and a spare) and two endpoints of the records service.
type fixture struct {
	*Fleet
	t       *testing.T
	sockets *Memory
	// replicaCount is the number of replicas that the configuration wants.
	replicaCount int
}

// runFleet runs a test on a fixture with 5 engine hosts.
func runFleet(t *testing.T, test func(s *fixture)) {
	t.Helper()
	runFleetWithHosts(t, 5, test)
}

// runFleetWithHosts runs a test on a fixture once both replicas serve.
func runFleetWithHosts(t *testing.T, hosts int, test func(s *fixture)) {
	t.Helper()
	runFleetWithReplicas(t, hosts, defaultReplicas, test)
}

// defaultReplicas is the number of replicas in the default configuration.
const defaultReplicas = 2

// runFleetWithReplicas runs a test on a fixture once all replicas serve.
func runFleetWithReplicas(t *testing.T, hosts, replicas int, test func(s *fixture)) {
	t.Helper()
	runChangedFleet(t, hosts, replicas, func(*Options) {}, test)
}

// runChangedFleet runs a test on a fixture whose options are changed before its start.
func runChangedFleet(t *testing.T, hosts, replicas int, change func(*Options), test func(s *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		memory := &Memory{}
		opts := Options{
			Sockets: memory, ControlCount: 3, EntryCount: 2, DataFolder: t.TempDir(),
			Services: []HostSpec{{ID: "records-1", FailureDomain: "a"}, {ID: "records-2", FailureDomain: "b"}},
			Config:   configWithReplicas(replicas),
		}
		for i := range hosts {
			id := host.ID(fmt.Sprintf("host-%d", i+1))
			opts.Engines = append(opts.Engines, EngineSpec{
				HostSpec: HostSpec{ID: id, FailureDomain: "a", FabricDomain: "rack-1"}, Accelerators: 4,
				Options: engine.Options{LoadTime: 2 * time.Second, CrashMarker: "CRASH", LateCrashMarker: "LATE-END", RestartAfter: 5 * time.Second},
			})
		}
		change(&opts)
		f, err := Start(ctx, opts)
		require.NoError(t, err)
		defer f.Close()
		defer cancel()
		s := &fixture{Fleet: f, t: t, sockets: memory, replicaCount: replicas}
		s.waitFor(30*time.Second, s.allServing)
		test(s)
	})
}

// configWithReplicas returns the default configuration with a number of replicas.
func configWithReplicas(replicas int) []byte {
	return []byte(strings.Replace(string(config.DefaultYAML()), "replicas: 2", fmt.Sprintf("replicas: %d", replicas), 1))
}

// allServing reports whether all replicas serve and both entries are ready.
func (s *fixture) allServing() bool {
	status, err := s.Status(s.ctx)
	if err != nil || s.Entry(0).Ready() != nil || s.Entry(1).Ready() != nil {
		return false
	}
	return len(status.Deployments) == 1 && status.Deployments[0].Serving == s.replicaCount
}

// waitFor waits until ok returns true, and returns the virtual time that it took. It fails the
// test after the bound.
func (s *fixture) waitFor(bound time.Duration, ok func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !ok() {
		require.Less(s.t, time.Since(start), bound)
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

type response struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

// send sends a request with the given pairs of header names and values to an entry.
func (s *fixture) send(entry int, method, path, body string, header ...string) response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer dev-token-cascadia")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.Entry(entry).Handler().ServeHTTP(w, r)
	resp := w.Result()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	return response{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(raw)}
}

const chatBody = `{"model":"drafter","messages":[{"role":"user","content":"Summarise the Camping badge."}],"max_tokens":64}`

// content returns the text of a non-streamed chat completion.
func (a response) content(t *testing.T) string {
	t.Helper()
	var body struct {
		Choices []struct{ Message struct{ Content string } }
	}
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	require.Len(t, body.Choices, 1, a.body)
	return body.Choices[0].Message.Content
}

func TestRequestIsServedFromEndToEnd(t *testing.T) {
	runFleet(t, func(s *fixture) {
		a := s.send(0, "POST", "/v1/chat/completions", chatBody)
		require.Equal(t, http.StatusOK, a.status, a.body)
		want, _, err := engine.Completion([]byte(chatBody))
		require.NoError(t, err)
		require.Equal(t, want, a.content(t))

		first := s.send(0, "POST", "/services/records/signoffs", `{"badge":"camping"}`, "Idempotency-Key", "k1")
		require.Equal(t, "complete", first.header.Get("Egretreach-Outcome"), first.body)
		again := s.send(1, "POST", "/services/records/signoffs", `{"badge":"camping"}`, "Idempotency-Key", "k1")
		require.Equal(t, first.body, again.body)
		require.Equal(t, 1, s.signoffRuns())
		other := s.send(1, "POST", "/services/records/signoffs", `{"badge":"hiking"}`, "Idempotency-Key", "k1")
		require.Equal(t, http.StatusUnprocessableEntity, other.status)
		require.Equal(t, "not_run", other.header.Get("Egretreach-Outcome"))
	})
}

// signoffRuns returns the number of sign-offs that have run at both endpoints.
func (s *fixture) signoffRuns() int {
	return s.Agent("records-1").Service.Counts().Total + s.Agent("records-2").Service.Counts().Total
}

// advance lets virtual time pass.
func advance(d time.Duration) { time.Sleep(d) }
