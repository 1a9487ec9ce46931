package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/standin/service"
)

// told is what the callers of one sign-off were told, in order, and the IDs of the
// requests that were said not to have run.
type told struct {
	body     string
	outcomes []string
	notRun   []string
}

// TestRandomFaultsKeepThePromises lets seeded faults fall on a fleet under load: cuts
// of links in one or both directions, flows that are lost track of, engines that crash
// and services that drop connections, each healed after a while. Each sign-off is sent
// again until it is complete, through either entry and sometimes twice at once. None
// may run twice, what is said not to have run must not have, and each generation that
// is complete is the answer to its own request.
func TestRandomFaultsKeepThePromises(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			inFleet(t, func(s *scene) { s.endure(rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

const enduring = 30 * time.Second

func (s *scene) endure(rng *rand.Rand) {
	var generations []<-chan answer
	var signed []<-chan told
	end := time.Now().Add(enduring)
	nextFault := time.Now()
	for i := 0; time.Now().Before(end); i++ {
		if !time.Now().Before(nextFault) {
			s.fault(rng)
			nextFault = time.Now().Add(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
		}
		generations = append(generations, s.later(rng.IntN(2), "POST", "/v1/chat/completions", question))
		signed = append(signed, s.signOff(rng.IntN(2), i))
		if rng.IntN(4) == 0 {
			signed = append(signed, s.signOff(rng.IntN(2), i))
		}
		pass(200 * time.Millisecond)
	}
	want, _, err := engine.Completion([]byte(question))
	require.NoError(s.t, err)
	for _, out := range generations {
		if a := <-out; a.header.Get("Egretreach-Outcome") == "complete" {
			require.Equal(s.t, want, a.content(s.t))
		}
	}
	byBody := map[string][]string{}
	for _, out := range signed {
		sent := <-out
		byBody[sent.body] = append(byBody[sent.body], sent.outcomes...)
		for _, id := range sent.notRun {
			require.Zero(s.t, s.ranAs(id), "request %s was said not to have run", id)
		}
	}
	counts := map[string]int{}
	for body, outcomes := range byBody {
		s.judge(body, outcomes)
		for _, outcome := range outcomes {
			counts[outcome]++
		}
	}
	s.t.Log("sign-offs were told", counts)
}

// signOff sends one sign-off again and again until it is complete or ten times.
func (s *scene) signOff(entry, n int) <-chan told {
	out := make(chan told, 1)
	go func() {
		sent := told{body: fmt.Sprintf(`{"badge":%d}`, n)}
		for i := range 10 {
			a := s.send((entry+i)%2, "POST", signoffs, sent.body,
				"Idempotency-Key", strconv.Itoa(n), "Egretreach-Timeout", "5s")
			outcome := a.header.Get("Egretreach-Outcome")
			sent.outcomes = append(sent.outcomes, outcome)
			if outcome == "not_run" {
				sent.notRun = append(sent.notRun, a.header.Get("Egretreach-Request-Id"))
			}
			if outcome == "complete" {
				break
			}
			pass(time.Second)
		}
		out <- sent
	}()
	return out
}

// ranAs returns how often the request of an ID ran.
func (s *scene) ranAs(id string) int {
	return s.Agent("records-1").Service.Counts().ByRequest[id] + s.Agent("records-2").Service.Counts().ByRequest[id]
}

// judge holds what the callers of one sign-off were told against how often it ran.
func (s *scene) judge(body string, outcomes []string) {
	ran := s.Agent("records-1").Service.Counts().ByBody[body] + s.Agent("records-2").Service.Counts().ByBody[body]
	require.LessOrEqual(s.t, ran, 1, "%s %v", body, outcomes)
	if slices.Contains(outcomes, "complete") {
		require.Equal(s.t, 1, ran, "%s %v", body, outcomes)
	}
	if !slices.Contains(outcomes, "complete") && !slices.Contains(outcomes, "unknown") {
		require.Zero(s.t, ran, "%s %v", body, outcomes)
	}
}

// fault brings one fault about and heals it after a while.
func (s *scene) fault(rng *rand.Rand) {
	hosts := []host.ID{
		"control-1", "control-2", "control-3", "entry-1", "entry-2",
		"host-1", "host-2", "host-3", "host-4", "host-5", "records-1", "records-2",
	}
	from, to := hosts[rng.IntN(len(hosts))], hosts[rng.IntN(len(hosts))]
	lasts := time.Duration(500+rng.IntN(4000)) * time.Millisecond
	switch rng.IntN(6) {
	case 0:
		s.memory.Network.Cut(s.memory.IP(from), s.memory.IP(to))
		time.AfterFunc(lasts, func() { s.memory.Network.Heal(s.memory.IP(from), s.memory.IP(to)) })
	case 1:
		s.cut(from, to)
		time.AfterFunc(lasts, func() { s.heal(from, to) })
	case 2:
		for _, other := range hosts {
			s.cut(from, other)
		}
		time.AfterFunc(lasts, func() {
			for _, other := range hosts {
				s.heal(from, other)
			}
		})
	case 3:
		s.memory.Network.DropFlows()
	case 4:
		s.Agent(host.ID(fmt.Sprintf("host-%d", 1+rng.IntN(5)))).Engine.Crash()
	case 5:
		records := s.Agent(host.ID(fmt.Sprintf("records-%d", 1+rng.IntN(2)))).Service
		records.SetFailure([]service.Failure{service.FailureDropAfter, service.FailureDropBefore}[rng.IntN(2)])
		time.AfterFunc(lasts, func() { records.SetFailure(service.FailureNone) })
	}
}

func (s *scene) heal(a, b host.ID) {
	s.memory.Network.Heal(s.memory.IP(a), s.memory.IP(b))
	s.memory.Network.Heal(s.memory.IP(b), s.memory.IP(a))
}
