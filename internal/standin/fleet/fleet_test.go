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

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/standin/engine"
)

// scene is a whole fleet in virtual time: 2 entries, 5 hosts for two replicas of 2
// and a spare, and two endpoints of the records service.
type scene struct {
	*Fleet
	t      *testing.T
	memory *Memory
}

func inFleet(t *testing.T, test func(s *scene)) {
	t.Helper()
	inFleetOf(t, 5, test)
}

func inFleetOf(t *testing.T, hosts int, test func(s *scene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		memory := &Memory{}
		opts := Options{
			Sockets: memory, ControlCount: 3, EntryCount: 2, DataFolder: t.TempDir(),
			Services: []HostSpec{{ID: "records-1", FailureDomain: "a"}, {ID: "records-2", FailureDomain: "b"}},
		}
		for i := range hosts {
			id := host.ID(fmt.Sprintf("host-%d", i+1))
			opts.Engines = append(opts.Engines, EngineSpec{
				HostSpec: HostSpec{ID: id, FailureDomain: "a", FabricDomain: "rack-1"}, Accelerators: 4,
				Options: engine.Options{LoadTime: 2 * time.Second, CrashMarker: "CRASH", RestartAfter: 5 * time.Second},
			})
		}
		f, err := Start(ctx, opts)
		require.NoError(t, err)
		defer f.Close()
		defer cancel()
		s := &scene{Fleet: f, t: t, memory: memory}
		s.await(30*time.Second, s.whole)
		test(s)
	})
}

// whole reports whether both replicas serve and both entries are ready.
func (s *scene) whole() bool {
	status, err := s.Status(s.ctx)
	if err != nil || s.Entry(0).Ready() != nil || s.Entry(1).Ready() != nil {
		return false
	}
	return len(status.Deployments) == 1 && status.Deployments[0].Serving == 2
}

// await waits in virtual time until ok, and fails after the bound.
func (s *scene) await(bound time.Duration, ok func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !ok() {
		require.Less(s.t, time.Since(start), bound)
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
}

func (s *scene) send(entry int, method, path, body string, header ...string) answer {
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
	return answer{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(raw)}
}

const question = `{"model":"drafter","messages":[{"role":"user","content":"Summarise the Camping badge."}],"max_tokens":64}`

func (a answer) content(t *testing.T) string {
	t.Helper()
	var body struct {
		Choices []struct{ Message struct{ Content string } }
	}
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	require.Len(t, body.Choices, 1, a.body)
	return body.Choices[0].Message.Content
}

func TestRequestIsServedFromEndToEnd(t *testing.T) {
	inFleet(t, func(s *scene) {
		a := s.send(0, "POST", "/v1/chat/completions", question)
		require.Equal(t, http.StatusOK, a.status, a.body)
		want, _, err := engine.Completion([]byte(question))
		require.NoError(t, err)
		require.Equal(t, want, a.content(t))

		first := s.send(0, "POST", "/services/records/signoffs", `{"badge":"camping"}`, "Idempotency-Key", "k1")
		require.Equal(t, "complete", first.header.Get("Egretreach-Outcome"), first.body)
		again := s.send(1, "POST", "/services/records/signoffs", `{"badge":"camping"}`, "Idempotency-Key", "k1")
		require.Equal(t, first.body, again.body)
		require.Equal(t, 1, s.signoffs())
		other := s.send(1, "POST", "/services/records/signoffs", `{"badge":"hiking"}`, "Idempotency-Key", "k1")
		require.Equal(t, http.StatusUnprocessableEntity, other.status)
		require.Equal(t, "not_run", other.header.Get("Egretreach-Outcome"))
	})
}

func (s *scene) signoffs() int {
	return s.Agent("records-1").Service.Counts().Total + s.Agent("records-2").Service.Counts().Total
}

// pass lets virtual time go by.
func pass(d time.Duration) { time.Sleep(d) }
