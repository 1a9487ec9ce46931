package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/standin/service"
)

const (
	// runTime is the time that the sign-off takes to run.
	runTime      = 10100 * time.Millisecond
	pollInterval = 300 * time.Millisecond
)

// TestWaitingResendBeatsPolling compares a resend that waits at the agent, which responds as soon
// as the answer is there, with one that asks every 300 ms. Waiting must take fewer asks and
// less time.
func TestWaitingResendBeatsPolling(t *testing.T) {
	runFleet(t, func(s *fixture) {
		waitAsks, waitDelay := s.measureResend(true)
		pollAsks, pollDelay := s.measureResend(false)
		t.Logf("run of %s: waiting %d asks, %s after the answer; polling %d asks, %s after it",
			runTime, waitAsks, waitDelay, pollAsks, pollDelay)
		require.Less(t, waitAsks, pollAsks)
		require.Less(t, waitDelay, pollDelay)
	})
}

// measureResend runs a sign-off that takes runTime, and asks its agent for the answer. It returns
// the number of asks and the time from the end of the run until the asker had the answer.
func (s *fixture) measureResend(wait bool) (asks int, delay time.Duration) {
	key := map[bool]string{true: "waiting", false: "polling"}[wait]
	for _, id := range []host.ID{"records-1", "records-2"} {
		s.Agent(id).Service.SetFailure(service.FailureHang)
	}
	first := s.sendAsync(0, http.MethodPost, signoffsPath, key, "Idempotency-Key", key)
	var answered time.Time
	time.AfterFunc(runTime, func() {
		answered = time.Now()
		s.Agent("records-1").Service.ReleaseHanging()
		s.Agent("records-2").Service.ReleaseHanging()
	})
	advance(time.Second)
	busy := host.ID("records-1")
	if s.Agent(busy).Service.Counts().ByBody[key] == 0 {
		busy = "records-2"
	}
	asks = s.askUntilDone(busy, key, wait)
	delay = time.Since(answered)
	require.Equal(s.t, "complete", (<-first).header.Get("Egretreach-Outcome"))
	return asks, delay
}

func (s *fixture) askUntilDone(busy host.ID, key string, wait bool) int {
	link, err := s.newLink(host.RoleEntry, host.ID("asker-"+key))
	require.NoError(s.t, err)
	defer func() { _ = link.Close() }()
	links := pool.New(link)
	question := &message.Ask{
		Ref: s.runningAttempt(busy, key), Incarnation: s.Agent(busy).Incarnation(), Wait: wait, AtMostOnce: true,
	}
	for asks := 1; ; asks++ {
		stream, err := links.Open(s.ctx, s.Agent(busy).Announce().Info.Address)
		require.NoError(s.t, err)
		require.NoError(s.t, stream.Send(question))
		answer, err := stream.Receive()
		require.NoError(s.t, err)
		stream.Close()
		if answer.(*message.AskResult).State == message.AskComplete {
			return asks
		}
		advance(pollInterval)
	}
}

// runningAttempt returns the attempt of the sign-off that the service runs at present.
func (s *fixture) runningAttempt(busy host.ID, key string) message.Ref {
	for id := range s.Agent(busy).Service.Counts().ByRequest {
		parsed, err := request.ParseID(id)
		require.NoError(s.t, err)
		answer, err := s.Call(s.ctx, &message.RequestQuery{Request: parsed})
		require.NoError(s.t, err)
		if answer.(*message.RequestResult).State == message.ClaimRunning {
			return message.Ref{Request: parsed, Attempt: 1}
		}
	}
	s.t.Fatalf("no attempt of %s runs", key)
	return message.Ref{}
}
