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
	resendRuns = 10100 * time.Millisecond
	pollEvery  = 300 * time.Millisecond
)

// TestWaitingResendBeatsPolling compares a resend that waits at the agent, which
// remembers who asked and delivers on arrival, with one that asks each 300 ms.
func TestWaitingResendBeatsPolling(t *testing.T) {
	inFleet(t, func(s *scene) {
		waitAsks, waitDelay := s.resend(true)
		pollAsks, pollDelay := s.resend(false)
		t.Logf("run of %s: waiting %d asks, %s after the answer; polling %d asks, %s after it",
			resendRuns, waitAsks, waitDelay, pollAsks, pollDelay)
		require.Less(t, waitAsks, pollAsks)
		require.Less(t, waitDelay, pollDelay)
	})
}

// resend lets a sign-off hang for resendRuns and asks the agents what became of it.
// It returns the questions asked and how long after the answer the asker had it.
func (s *scene) resend(wait bool) (asks int, delay time.Duration) {
	key := map[bool]string{true: "waiting", false: "polling"}[wait]
	for _, id := range []host.ID{"records-1", "records-2"} {
		s.Agent(id).Service.SetFailure(service.FailureHang)
	}
	first := s.later(0, http.MethodPost, signoffs, key, "Idempotency-Key", key)
	var answered time.Time
	time.AfterFunc(resendRuns, func() {
		answered = time.Now()
		s.Agent("records-1").Service.ReleaseHanging()
		s.Agent("records-2").Service.ReleaseHanging()
	})
	pass(time.Second)
	busy := host.ID("records-1")
	if s.Agent(busy).Service.Counts().ByBody[key] == 0 {
		busy = "records-2"
	}
	asks = s.askUntilDone(busy, key, wait)
	delay = time.Since(answered)
	require.Equal(s.t, "complete", (<-first).header.Get("Egretreach-Outcome"))
	return asks, delay
}

func (s *scene) askUntilDone(busy host.ID, key string, wait bool) int {
	link, err := s.link(host.RoleEntry, host.ID("asker-"+key))
	require.NoError(s.t, err)
	defer func() { _ = link.Close() }()
	links := pool.New(link)
	question := &message.Ask{
		Ref: s.runningRef(busy, key), Incarnation: s.Agent(busy).Incarnation(), Wait: wait, AtMostOnce: true,
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
		pass(pollEvery)
	}
}

// runningRef returns the attempt under which the service runs a body.
func (s *scene) runningRef(busy host.ID, key string) message.Ref {
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
