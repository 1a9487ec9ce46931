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

// handshake runs a TLS handshake and returns the error of either side.
func handshake(client, server *Credentials) error {
	clientConn, serverConn := net.Pipe()
	defer func() { _ = clientConn.Close() }()
	serverErr := make(chan error, 1)
	go func() {
		defer func() { _ = serverConn.Close() }()
		accepted := tls.Server(serverConn, server.Server())
		err := accepted.Handshake()
		if err == nil {
			_, err = accepted.Write([]byte{1})
		}
		serverErr <- err
	}()
	dialed := tls.Client(clientConn, client.Client())
	if err := dialed.Handshake(); err != nil {
		return err
	}
	if _, err := dialed.Read(make([]byte, 1)); err != nil {
		return err
	}
	return <-serverErr
}

// TestHandshakeSucceedsAfterEachRotationStep rotates the authority of two processes, one
// file at a time. After every step each must be able to open a link to the other.
func TestHandshakeSucceedsAfterEachRotationStep(t *testing.T) {
	folder := t.TempDir()
	vault := Vault{Folder: filepath.Join(folder, "vault")}
	now := time.Now()
	require.NoError(t, vault.Init(now))
	folders := map[Identity]string{agent: filepath.Join(folder, "agent"), entry: filepath.Join(folder, "entry")}
	running := map[Identity]*Credentials{}
	for id, keysFolder := range folders {
		require.NoError(t, vault.Issue(id, keysFolder, false, now, DefaultLeafValidity))
		opened, err := Open(keysFolder, id)
		require.NoError(t, err)
		running[id] = opened
	}
	requireHandshakes := func(step string) {
		for id, keysFolder := range folders {
			require.NoError(t, running[id].reload(keysFolder), step)
			require.NoError(t, handshake(running[agent], running[entry]), step)
			require.NoError(t, handshake(running[entry], running[agent]), step)
		}
	}
	copyBundle := func(keysFolder string) {
		bundle, err := os.ReadFile(vault.path(AuthoritiesFile))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(keysFolder, AuthoritiesFile), bundle, publicMode))
	}
	requireHandshakes("issued")
	old := running[agent].Client()

	require.NoError(t, vault.Rotate(now))
	require.True(t, IsErrKeys(vault.Rotate(now)), "a second rotation before the first has ended")
	for _, keysFolder := range folders {
		copyBundle(keysFolder)
		requireHandshakes("bundle of both authorities")
	}
	for id, keysFolder := range folders {
		require.True(t, IsErrKeys(vault.Issue(id, keysFolder, false, now, DefaultLeafValidity)), "overwritten")
		require.NoError(t, vault.Issue(id, keysFolder, true, now, DefaultLeafValidity))
		requireHandshakes("new certificate")
	}
	require.NoError(t, vault.Finish())
	require.True(t, IsErrKeys(vault.Finish()))
	for _, keysFolder := range folders {
		copyBundle(keysFolder)
		requireHandshakes("bundle of the new authority")
	}
	stale := &Credentials{}
	stale.current.Store(&loadedKeys{self: agent, pair: old.Certificates[0], pool: running[agent].current.Load().pool})
	require.Error(t, handshake(stale, running[entry]), "the old authority is still trusted")
}

func TestUnusableKeysFolderIsRefused(t *testing.T) {
	folder := t.TempDir()
	vault := Vault{Folder: filepath.Join(folder, "vault")}
	require.NoError(t, vault.Init(time.Now()))
	require.True(t, IsErrKeys(vault.Init(time.Now())))
	keysFolder := filepath.Join(folder, "agent")
	require.NoError(t, vault.Issue(agent, keysFolder, false, time.Now(), DefaultLeafValidity))
	_, err := Open(keysFolder, entry)
	require.ErrorContains(t, err, "is for egretreach://agent/host-3")
	for _, key := range []string{vault.path(authorityKeyFile), filepath.Join(keysFolder, KeyFile)} {
		info, err := os.Stat(key)
		require.NoError(t, err)
		require.Equal(t, privateMode, info.Mode().Perm())
	}
	require.NoError(t, os.Chmod(filepath.Join(keysFolder, KeyFile), 0o640))
	_, err = Open(keysFolder, agent)
	require.ErrorContains(t, err, "lets others read")
	require.NoError(t, os.Remove(filepath.Join(keysFolder, KeyFile)))
	_, err = Open(keysFolder, agent)
	require.True(t, IsErrKeys(err))
}

// TestWatcherReloadsValidKeysAndKeepsOldOnesOtherwise changes the files in virtual time.
func TestWatcherReloadsValidKeysAndKeepsOldOnesOtherwise(t *testing.T) {
	folder := t.TempDir()
	vault := Vault{Folder: filepath.Join(folder, "vault")}
	keysFolder := filepath.Join(folder, "agent")
	require.NoError(t, vault.Init(time.Now()))
	require.NoError(t, vault.Issue(agent, keysFolder, false, time.Now(), time.Hour))
	credentials, err := Open(keysFolder, agent)
	require.NoError(t, err)
	first := credentials.NotAfter()

	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		reload := make(chan os.Signal, 1)
		watcher := Watcher{
			Credentials: credentials, Folder: keysFolder, Interval: time.Minute, Reload: reload,
			Logger: &log.Logger{Writer: &log.IOWriter{Writer: &logged}},
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go watcher.Run(ctx)
		synctest.Wait()

		require.NoError(t, vault.Issue(entry, keysFolder, true, time.Now(), 2*time.Hour))
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, first, credentials.NotAfter(), "the certificate of another host was loaded")
		require.Contains(t, logged.String(), `"name":"keys_refused"`)

		require.NoError(t, vault.Issue(agent, keysFolder, true, time.Now(), 3*time.Hour))
		time.Sleep(time.Minute)
		synctest.Wait()
		second := credentials.NotAfter()
		require.NotEqual(t, first, second)
		require.Contains(t, logged.String(), `"name":"keys_reloaded"`)

		require.NoError(t, vault.Issue(agent, keysFolder, true, time.Now(), 4*time.Hour))
		reload <- os.Interrupt
		synctest.Wait()
		require.NotEqual(t, second, credentials.NotAfter())
	})
}
