package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/standin/disk"
)

// startOnDisk runs a control host on a disk that can be full until stop is called.
func (f *testFleet) startOnDisk(id host.ID, hosts map[host.ID]string, files *disk.FileSystem) (d *Daemon, stop func()) {
	socket := f.socket(identity.Identity{Role: host.RoleControl, Host: id}, f.address(id))
	links := pool.New(socket)
	replicated := ReplicatedLogOptions{ID: id, Hosts: hosts, FileSystem: files, Folder: f.t.TempDir(), Pool: links}
	d, err := NewDaemon(Options{ID: id, Socket: socket, Pool: links, Hosts: hosts, Log: replicated.Open})
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(f.ctx)
	ended := make(chan error, 1)
	f.running.Go(func() {
		ended <- d.Run(ctx)
		_ = socket.Close()
	})
	return d, func() {
		cancel()
		require.NoError(f.t, <-ended)
	}
}

// proposeAnywhere proposes a command at the leader, whichever it is, until it is committed.
func proposeAnywhere(t *testing.T, daemons map[host.ID]*Daemon, c state.Command) {
	t.Helper()
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, d := range daemons {
			if s := d.current(); s != nil && s.leader.Load() != nil {
				if _, err := s.propose(t.Context(), c); err == nil {
					return
				}
			}
		}
	}
	require.FailNow(t, "no control host commits a change")
}

// TestControlHostsWhoseDisksFillInTurnGoOn fills the disks of all control hosts for a few seconds each, one after another. It guards against a fleet that
// takes no change any more long after the last disk has room again.
func TestControlHostsWhoseDisksFillInTurnGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		ids := []host.ID{"c1", "c2", "c3"}
		hosts := map[host.ID]string{}
		for _, id := range ids {
			hosts[id] = f.address(id)
		}
		disks, daemons := map[host.ID]*disk.FileSystem{}, map[host.ID]*Daemon{}
		for _, id := range ids {
			disks[id] = &disk.FileSystem{}
			d, stop := f.startOnDisk(id, hosts, disks[id])
			daemons[id] = d
			defer stop()
		}
		change := func(key string) state.Command {
			return state.Claim{Items: []message.ClaimItem{{Team: "team", Key: key, Request: request.ID{1}}}}
		}
		proposeAnywhere(t, daemons, change("before"))
		for _, id := range ids {
			disks[id].SetFull(true)
			proposeAnywhere(t, daemons, change("beside "+string(id)))
			time.Sleep(3 * time.Second)
			require.Nil(t, daemons[id].current(), "the disk of %s is full", id)
			disks[id].SetFull(false)
			time.Sleep(5 * time.Second)
		}
		proposeAnywhere(t, daemons, change("after"))
		time.Sleep(time.Second)
		for _, d := range daemons {
			status := d.current().log.Status()
			if !status.Leading {
				continue
			}
			require.Len(t, status.Match, len(ids))
			for id, match := range status.Match {
				require.Equal(t, status.Match[ids[0]], match, "%s has not caught up", id)
			}
		}
	})
}
