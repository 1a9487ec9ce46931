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

// signoffResult holds the outcomes of the repeated sends of one sign-off, in order, and the IDs
// of the requests with the outcome not_run.
type signoffResult struct {
	body     string
	outcomes []string
	notRun   []string
}

// TestRandomFaultsKeepThePromises injects seeded random faults into a fleet under load: cuts of
// links in one or both directions, dropped flows, engines that crash and services that drop
// connections. Cuts and dropped connections are undone after a while. Each sign-off is sent up to
// ten times until it is complete, through either entry and sometimes twice at the same time. No
// sign-off may run twice, a request with the outcome not_run must not have run, and each complete
// generation must be the one of its own request.
func TestRandomFaultsKeepThePromises(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runFleet(t, func(s *fixture) { s.runRandomFaults(rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

// faultDuration is the time over which faults are injected.
const faultDuration = 30 * time.Second

// runRandomFaults sends requests while it injects faults, and checks the outcomes afterwards.
func (s *fixture) runRandomFaults(rng *rand.Rand) {
	var generations []<-chan response
	var signoffs []<-chan signoffResult
	end := time.Now().Add(faultDuration)
	nextFault := time.Now()
	for i := 0; time.Now().Before(end); i++ {
		if !time.Now().Before(nextFault) {
			s.injectFault(rng)
			nextFault = time.Now().Add(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
		}
		generations = append(generations, s.sendAsync(rng.IntN(2), "POST", "/v1/chat/completions", chatBody))
		signoffs = append(signoffs, s.resendUntilComplete(rng.IntN(2), i))
		if rng.IntN(4) == 0 {
			signoffs = append(signoffs, s.resendUntilComplete(rng.IntN(2), i))
		}
		advance(200 * time.Millisecond)
	}
	want, _, err := engine.Completion([]byte(chatBody))
	require.NoError(s.t, err)
	for _, out := range generations {
		if a := <-out; a.header.Get("Egretreach-Outcome") == "complete" {
			require.Equal(s.t, want, a.content(s.t))
		}
	}
	byBody := map[string][]string{}
	for _, out := range signoffs {
		result := <-out
		byBody[result.body] = append(byBody[result.body], result.outcomes...)
		for _, id := range result.notRun {
			require.Zero(s.t, s.runsOf(id), "request %s ran despite the outcome not_run", id)
		}
	}
	counts := map[string]int{}
	for body, outcomes := range byBody {
		s.checkSignoff(body, outcomes)
		for _, outcome := range outcomes {
			counts[outcome]++
		}
	}
	s.t.Log("outcomes of sign-offs:", counts)
}

// resendUntilComplete sends sign-off n repeatedly, until it is complete or ten times.
func (s *fixture) resendUntilComplete(entry, n int) <-chan signoffResult {
	out := make(chan signoffResult, 1)
	go func() {
		result := signoffResult{body: fmt.Sprintf(`{"badge":%d}`, n)}
		for i := range 10 {
			a := s.send((entry+i)%2, "POST", signoffsPath, result.body,
				"Idempotency-Key", strconv.Itoa(n), "Egretreach-Timeout", "5s")
			outcome := a.header.Get("Egretreach-Outcome")
			result.outcomes = append(result.outcomes, outcome)
			if outcome == "not_run" {
				result.notRun = append(result.notRun, a.header.Get("Egretreach-Request-Id"))
			}
			if outcome == "complete" {
				break
			}
			advance(time.Second)
		}
		out <- result
	}()
	return out
}

// runsOf returns how often the request with an ID has run.
func (s *fixture) runsOf(id string) int {
	return s.Agent("records-1").Service.Counts().ByRequest[id] + s.Agent("records-2").Service.Counts().ByRequest[id]
}

// checkSignoff compares the outcomes that one sign-off got with the number of its runs.
func (s *fixture) checkSignoff(body string, outcomes []string) {
	runs := s.Agent("records-1").Service.Counts().ByBody[body] + s.Agent("records-2").Service.Counts().ByBody[body]
	require.LessOrEqual(s.t, runs, 1, "%s %v", body, outcomes)
	if slices.Contains(outcomes, "complete") {
		require.Equal(s.t, 1, runs, "%s %v", body, outcomes)
	}
	if !slices.Contains(outcomes, "complete") && !slices.Contains(outcomes, "unknown") {
		require.Zero(s.t, runs, "%s %v", body, outcomes)
	}
}

// injectFault injects one fault. Cuts and failures of the service are undone after a while,
// dropped flows stay dropped, and engines restart by themselves.
func (s *fixture) injectFault(rng *rand.Rand) {
	hosts := []host.ID{
		"control-1", "control-2", "control-3", "entry-1", "entry-2",
		"host-1", "host-2", "host-3", "host-4", "host-5", "records-1", "records-2",
	}
	from, to := hosts[rng.IntN(len(hosts))], hosts[rng.IntN(len(hosts))]
	duration := time.Duration(500+rng.IntN(4000)) * time.Millisecond
	switch rng.IntN(6) {
	case 0:
		s.sockets.Network.Cut(s.sockets.IP(from), s.sockets.IP(to))
		time.AfterFunc(duration, func() { s.sockets.Network.Heal(s.sockets.IP(from), s.sockets.IP(to)) })
	case 1:
		s.cutLink(from, to)
		time.AfterFunc(duration, func() { s.healLink(from, to) })
	case 2:
		for _, other := range hosts {
			s.cutLink(from, other)
		}
		time.AfterFunc(duration, func() {
			for _, other := range hosts {
				s.healLink(from, other)
			}
		})
	case 3:
		s.sockets.Network.DropFlows()
	case 4:
		s.Agent(host.ID(fmt.Sprintf("host-%d", 1+rng.IntN(5)))).Engine.Crash()
	case 5:
		records := s.Agent(host.ID(fmt.Sprintf("records-%d", 1+rng.IntN(2)))).Service
		records.SetFailure([]service.Failure{service.FailureDropAfter, service.FailureDropBefore}[rng.IntN(2)])
		time.AfterFunc(duration, func() { records.SetFailure(service.FailureNone) })
	}
}

// healLink undoes cutLink.
func (s *fixture) healLink(a, b host.ID) {
	s.sockets.Network.Heal(s.sockets.IP(a), s.sockets.IP(b))
	s.sockets.Network.Heal(s.sockets.IP(b), s.sockets.IP(a))
}
