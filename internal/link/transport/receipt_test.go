package transport

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// slowRead is how long the caller of a test leaves its answer unread.
const slowRead = 10 * time.Second

// answeredCall is a call whose answer has been sent and not yet read.
type answeredCall struct {
	network memnet.Network
	server  *Socket
	stream  *Stream
	// stop ends Serve.
	stop  context.CancelFunc
	lines bytes.Buffer
}

// withAnsweredCall runs test in virtual time.
func withAnsweredCall(t *testing.T, test func(t *testing.T, c *answeredCall)) {
	synctest.Test(t, func(t *testing.T) {
		c := &answeredCall{}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		c.stop = stop
		authority := newAuthority(t)
		open := func(address string, role host.Role) *Socket {
			packetConn, err := c.network.Listen(address)
			require.NoError(t, err)
			logger := &log.Logger{Writer: &log.IOWriter{Writer: &c.lines}}
			return New(packetConn, issue(t, authority, role, time.Hour), Options{Logger: logger})
		}
		c.server = open(serverAddress, host.RoleControl)
		defer func() { _ = c.server.Close() }()
		client := open("10.0.0.2:7000", host.RoleEntry)
		defer func() { _ = client.Close() }()
		go func() {
			_ = c.server.Serve(ctx, func(_ context.Context, s *Stream) {
				if _, err := s.Receive(); err == nil {
					_ = s.Answer(&message.Ack{})
				}
			})
		}()
		conn, err := client.Dial(t.Context(), serverAddress)
		require.NoError(t, err)
		c.stream, err = conn.Open(t.Context())
		require.NoError(t, err)
		require.NoError(t, c.stream.Send(&message.Ask{}))
		synctest.Wait()
		test(t, c)
	})
}

// TestDrainWaitsUntilAnswerIsReceived guards against a planned stop that closes the link of a caller which has not yet read its answer.
func TestDrainWaitsUntilAnswerIsReceived(t *testing.T) {
	withAnsweredCall(t, func(t *testing.T, c *answeredCall) {
		drained := make(chan error, 1)
		go func() {
			drained <- c.server.Drain(t.Context())
			c.stop()
		}()
		time.Sleep(slowRead)
		answer, err := c.stream.Receive()
		require.NoError(t, err)
		require.Equal(t, &message.Ack{}, answer)
		c.stream.Close()
		require.NoError(t, <-drained)
		synctest.Wait()
		require.Empty(t, c.lines.String())
	})
}

// TestDrainEndsWhenCallerGivesUp guards against a planned stop that waits for a caller which does not want its answer any more.
func TestDrainEndsWhenCallerGivesUp(t *testing.T) {
	withAnsweredCall(t, func(t *testing.T, c *answeredCall) {
		c.stream.Cancel()
		synctest.Wait()
		require.NoError(t, c.server.Drain(t.Context()))
	})
}

// TestDrainEndsWhenCallerIsLost guards against a planned stop that waits for a caller whose process or network has failed, and against an
// answer that is lost without a line in the log.
func TestDrainEndsWhenCallerIsLost(t *testing.T) {
	withAnsweredCall(t, func(t *testing.T, c *answeredCall) {
		c.network.Cut("10.0.0.1", "10.0.0.2")
		c.network.Cut("10.0.0.2", "10.0.0.1")
		require.NoError(t, c.server.Drain(t.Context()))
		synctest.Wait()
		require.Contains(t, c.lines.String(), `"name":"answers_unreceived","peer":"egretreach://entry/host-1","answers":1,"error":"timeout: no recent network activity"`)
	})
}

// TestAnswerThatAStopCutsIsLogged guards against a planned stop without an end, and against one that cuts answers of which no log line tells.
func TestAnswerThatAStopCutsIsLogged(t *testing.T) {
	withAnsweredCall(t, func(t *testing.T, c *answeredCall) {
		ctx, cancel := context.WithTimeout(t.Context(), slowRead)
		defer cancel()
		err := c.server.Drain(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 1, UnreceivedAnswers(err))
		c.stop()
		synctest.Wait()
		require.Contains(t, c.lines.String(), `"name":"answers_unreceived","peer":"egretreach://entry/host-1","answers":1,`)
		_, err = c.stream.Receive()
		require.Error(t, err, "the answer was not cut")
	})
}
