package server

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// TestStopWaitsUntilResponsesAreSent guards against a planned stop that closes a connection whose
// response has been made but not sent.
func TestStopWaitsUntilResponsesAreSent(t *testing.T) {
	var response *http.Response
	var responseErr, runErr error
	synctest.Test(t, func(t *testing.T) {
		credentials, err := identity.NewForPrivateNetwork(identity.Identity{Role: host.RoleEntry, Host: "entry-1"}, time.Now())
		require.NoError(t, err)
		var network memnet.Network
		socket, err := network.Listen("10.0.0.1:7000")
		require.NoError(t, err)
		link := transport.New(socket, credentials, transport.Options{})
		s, err := New(Options{Host: "entry-1", FailureDomain: "a", ControlAddresses: []string{"10.0.0.2:7000"}, Link: link})
		require.NoError(t, err)
		listener := memnet.NewListener("entry")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx, listener) }()
		c, err := listener.Dial(t.Context(), "", "")
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			s.Shutdown(ctx)
			cancel()
		}()
		time.Sleep(100 * time.Millisecond)
		response, responseErr = http.ReadResponse(bufio.NewReader(c), nil)
		_ = c.Close()
		<-stopped
		runErr = <-ended
		_ = link.Close()
	})
	require.NoError(t, responseErr)
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	require.NoError(t, runErr)
}
