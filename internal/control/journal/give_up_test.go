package journal_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/standin/disk"
)

// TestJournalWithoutAVoteKeepsItsLog guards against a log that is lost with the vote of its host, and against a disk that votes on under the
// generation that another disk has replaced.
func TestJournalWithoutAVoteKeepsItsLog(t *testing.T) {
	var fileSystem disk.FileSystem
	folder := t.TempDir()
	j, err := journal.Open(&fileSystem, folder)
	require.NoError(t, err)
	hard := j.RecoveredState().Hard
	hard.Term, hard.Vote, hard.Admitted = 3, "c2", true
	entries := []quorum.Entry{{Index: 1, Term: 1, Command: []byte("one")}, {Index: 2, Term: 3, Command: []byte("two")}}
	require.NoError(t, j.Write([]quorum.Persist{{Hard: &hard, Entries: entries}}))
	require.True(t, journal.IsErrLocked(journal.GiveUpVote(&fileSystem, folder)))
	require.NoError(t, j.Close())

	require.NoError(t, journal.GiveUpVote(&fileSystem, folder))
	j, err = journal.Open(&fileSystem, folder)
	require.NoError(t, err)
	recovered := j.RecoveredState()
	require.NoError(t, j.Close())
	require.Equal(t, entries, recovered.Entries)
	require.Equal(t, hard.WithoutVote(), recovered.Hard)
	require.False(t, recovered.Hard.Admitted)
	require.NotEqual(t, hard.Generation, recovered.Hard.Generation)
}

// TestCorruptJournalWithoutAVoteIsRemoved guards against a host that never gets another vote since its journal can't be read.
func TestCorruptJournalWithoutAVoteIsRemoved(t *testing.T) {
	var fileSystem disk.FileSystem
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "segment_00000000000000000001"), []byte("no record of a journal"), 0o600))
	_, err := journal.Open(&fileSystem, folder)
	require.True(t, journal.IsErrCorrupt(err))
	require.NoError(t, journal.GiveUpVote(&fileSystem, folder))
	j, err := journal.Open(&fileSystem, folder)
	require.NoError(t, err)
	require.True(t, j.OpenReport().Created)
	require.NoError(t, j.Close())
}
