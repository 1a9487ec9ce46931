package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/engine"
	"github.com/egretreach/egretreach/internal/standin/service"
)

// slowRead is how long an entry reads nothing of an answer, as its caller reads nothing.
const slowRead = 10 * time.Second

// TestShutdownWaitsUntilGenerationIsReceived guards against a planned stop that closes the link of an entry which has not yet read all of a
// generation that is complete for the agent.
func TestShutdownWaitsUntilGenerationIsReceived(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		r := f.replica("r-1", 1, 1)
		d := generationDispatch(agent, r, "a report", 100)
		stream := f.open(agent, d)
		for agent.server.InProgress() == 0 {
			sleep(10 * time.Millisecond)
		}
		stopped := make(chan error, 1)
		go func() { stopped <- agent.server.Shutdown(f.ctx) }()
		sleep(slowRead)
		require.Zero(t, agent.server.InProgress(), "the generation is not complete")
		got := f.collect(stream, d)
		require.Equal(t, request.OutcomeComplete, got.end.Outcome, got.end.Reason)
		require.NoError(t, <-stopped)
	})
}

// TestShutdownWaitsUntilAskIsAnswered guards against a planned stop that closes the link of an entry which has not yet read the state of an
// attempt that it has asked for.
func TestShutdownWaitsUntilAskIsAnswered(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		agent.service.SetFailure(service.FailureHang)
		d := signoffDispatch(agent, "badge")
		first := f.open(agent, d)
		sleep(time.Second)
		first.Cancel()
		ask := f.open(agent, &message.Ask{Ref: d.Ref, Incarnation: d.Incarnation, AtMostOnce: true, Wait: true})
		sleep(time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- agent.server.Shutdown(f.ctx) }()
		sleep(time.Second)
		agent.service.ReleaseHanging()
		sleep(slowRead)
		m, err := ask.Receive()
		require.NoError(t, err)
		require.Equal(t, message.AskComplete, m.(*message.AskResult).State)
		ask.Close()
		require.NoError(t, <-stopped)
	})
}

// TestShutdownWaitsUntilRefusalIsReceived guards against a planned stop that closes the link of an entry which has not yet read a refusal,
// the proof that the attempt did not run.
func TestShutdownWaitsUntilRefusalIsReceived(t *testing.T) {
	withFixture(t, func(f *fixture) {
		agent := f.agent(1, engine.Options{})
		f.replica("r-1", 1, 1)
		stopped := make(chan error, 1)
		go func() { stopped <- agent.server.Shutdown(f.ctx) }()
		sleep(time.Second)
		d := signoffDispatch(agent, "badge")
		stream := f.open(agent, d)
		sleep(slowRead)
		require.NotNil(t, f.collect(stream, d).refused)
		require.NoError(t, <-stopped)
	})
}
