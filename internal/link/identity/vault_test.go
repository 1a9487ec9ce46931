package identity

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

var (
	agent = Identity{Role: host.RoleAgent, Host: "host-3"}
	entry = Identity{Role: host.RoleEntry, Host: "entry-1"}
)

// handshake joins two processes over TLS and returns the error of either side.
func handshake(client, server *Credentials) error {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	failed := make(chan error, 1)
	go func() {
		defer func() { _ = far.Close() }()
		accepted := tls.Server(far, server.Server())
		err := accepted.Handshake()
		if err == nil {
			_, err = accepted.Write([]byte{1})
		}
		failed <- err
	}()
	dialled := tls.Client(near, client.Client())
	if err := dialled.Handshake(); err != nil {
		return err
	}
	if _, err := dialled.Read(make([]byte, 1)); err != nil {
		return err
	}
	return <-failed
}

// TestRotationKeepsEveryLinkPossible walks two processes through a rotation one
// file at a time: they must understand each other after every single step.
func TestRotationKeepsEveryLinkPossible(t *testing.T) {
	folder := t.TempDir()
	vault := Vault{Folder: filepath.Join(folder, "vault")}
	now := time.Now()
	require.NoError(t, vault.Init(now))
	folders := map[Identity]string{agent: filepath.Join(folder, "agent"), entry: filepath.Join(folder, "entry")}
	running := map[Identity]*Credentials{}
	for id, place := range folders {
		require.NoError(t, vault.Issue(id, place, false, now, DefaultLeafValidity))
		opened, err := Open(place, id)
		require.NoError(t, err)
		running[id] = opened
	}
	linked := func(step string) {
		for id, place := range folders {
			require.NoError(t, running[id].reload(place), step)
			require.NoError(t, handshake(running[agent], running[entry]), step)
			require.NoError(t, handshake(running[entry], running[agent]), step)
		}
	}
	copyBundle := func(place string) {
		bundle, err := os.ReadFile(vault.path(AuthoritiesFile))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(place, AuthoritiesFile), bundle, publicMode))
	}
	linked("issued")
	old := running[agent].Client()

	require.NoError(t, vault.Rotate(now))
	require.True(t, IsErrKeys(vault.Rotate(now)), "a second rotation before the first has ended")
	for _, place := range folders {
		copyBundle(place)
		linked("bundle of both")
	}
	for id, place := range folders {
		require.True(t, IsErrKeys(vault.Issue(id, place, false, now, DefaultLeafValidity)), "overwritten")
		require.NoError(t, vault.Issue(id, place, true, now, DefaultLeafValidity))
		linked("new certificate")
	}
	require.NoError(t, vault.Finish())
	require.True(t, IsErrKeys(vault.Finish()))
	for _, place := range folders {
		copyBundle(place)
		linked("bundle of the new")
	}
	stale := &Credentials{}
	stale.current.Store(&loaded{self: agent, pair: old.Certificates[0], pool: running[agent].current.Load().pool})
	require.Error(t, handshake(stale, running[entry]), "the old authority is still trusted")
}

func TestFoldersThatCannotBeUsed(t *testing.T) {
	folder := t.TempDir()
	vault := Vault{Folder: filepath.Join(folder, "vault")}
	require.NoError(t, vault.Init(time.Now()))
	require.True(t, IsErrKeys(vault.Init(time.Now())))
	place := filepath.Join(folder, "agent")
	require.NoError(t, vault.Issue(agent, place, false, time.Now(), DefaultLeafValidity))
	_, err := Open(place, entry)
	require.ErrorContains(t, err, "is for egretreach://agent/host-3")
	for _, key := range []string{vault.path(authorityKeyFile), filepath.Join(place, KeyFile)} {
		info, err := os.Stat(key)
		require.NoError(t, err)
		require.Equal(t, privateMode, info.Mode().Perm())
	}
	require.NoError(t, os.Chmod(filepath.Join(place, KeyFile), 0o640))
	_, err = Open(place, agent)
	require.ErrorContains(t, err, "lets others read")
	require.NoError(t, os.Remove(filepath.Join(place, KeyFile)))
	_, err = Open(place, agent)
	require.True(t, IsErrKeys(err))
}

// TestWatcherTakesGoodFilesAndKeepsTheOldOnesOtherwise runs in virtual time.
func TestWatcherTakesGoodFilesAndKeepsTheOldOnesOtherwise(t *testing.T) {
	folder := t.TempDir()
	vault := Vault{Folder: filepath.Join(folder, "vault")}
	place := filepath.Join(folder, "agent")
	require.NoError(t, vault.Init(time.Now()))
	require.NoError(t, vault.Issue(agent, place, false, time.Now(), time.Hour))
	credentials, err := Open(place, agent)
	require.NoError(t, err)
	first := credentials.NotAfter()

	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		hangup := make(chan os.Signal, 1)
		watcher := Watcher{
			Credentials: credentials, Folder: place, Interval: time.Minute, Reload: hangup,
			Logger: &log.Logger{Writer: &log.IOWriter{Writer: &logged}},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go watcher.Run(ctx)
		synctest.Wait()

		require.NoError(t, vault.Issue(entry, place, true, time.Now(), 2*time.Hour))
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, first, credentials.NotAfter(), "took the certificate of another host")
		require.Contains(t, logged.String(), `"name":"keys_refused"`)

		require.NoError(t, vault.Issue(agent, place, true, time.Now(), 3*time.Hour))
		time.Sleep(time.Minute)
		synctest.Wait()
		second := credentials.NotAfter()
		require.NotEqual(t, first, second)
		require.Contains(t, logged.String(), `"name":"keys_reloaded"`)

		require.NoError(t, vault.Issue(agent, place, true, time.Now(), 4*time.Hour))
		hangup <- os.Interrupt
		synctest.Wait()
		require.NotEqual(t, second, credentials.NotAfter())
	})
}
