package bootstrap

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/voter"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/standin/disk"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

// TestDecisionIsSavedBeforeItIsTold lets a host decide the set while its disk is full. It guards against hosts that begin with a set of which
// the host that decided it knows nothing after a restart: it could decide another one.
func TestDecisionIsSavedBeforeItIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const self = "10.0.0.1:7340"
		var network memnet.Network
		socket := newSocket(t, &network, self)
		var fileSystem disk.FileSystem
		fileSystem.SetFull(true)
		d := New(Options{
			Self: message.Founder{Host: "a", Address: self}, Seeds: []string{self}, FirstStart: true,
			Store: Store{Files: &fileSystem, Folder: t.TempDir()}, Pool: pool.New(socket), Voters: &voter.Directory{},
		})
		_, err := d.Run(t.Context())
		require.True(t, journal.IsErrDiskFull(err), "%v", err)
		require.Empty(t, d.Answer(&message.FounderQuery{}).Decided)
		fileSystem.SetFull(false)
		id, err := d.Run(t.Context())
		require.NoError(t, err)
		require.Equal(t, host.ID("a"), id)
		require.Len(t, d.Answer(&message.FounderQuery{}).Decided, 1)
		_ = socket.Close()
	})
}
