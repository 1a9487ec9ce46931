package httpserver

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExpiredConnectionIsReadIfDataHasArrived guards against a planned stop of a busy process that closes a connection on which a request has
// arrived in time, since the process comes to read it late.
func TestExpiredConnectionIsReadIfDataHasArrived(t *testing.T) {
	_, caller, c := admitted(t)
	buffer := make([]byte, len(simpleRequest))

	c.expireAt(time.Now().Add(-time.Second))
	_, err := c.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	sendAndAwait(t, caller, c)
	n, err := c.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, simpleRequest, string(buffer[:n]))
}

// TestDeadlineOfNetHTTPDoesNotKeepAnExpiringConnection guards against a planned stop that waits for an idle connection, since net/http removes
// the deadline after it has called the connection idle.
func TestDeadlineOfNetHTTPDoesNotKeepAnExpiringConnection(t *testing.T) {
	_, _, c := admitted(t)
	c.expireAt(time.Now().Add(time.Millisecond))
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	var b [1]byte
	_, err := c.Read(b[:])
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
