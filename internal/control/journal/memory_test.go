package journal

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// measuredFileSystem records the largest heap at the time of an operation.
type measuredFileSystem struct {
	FileSystem
	peak int
}

func (m *measuredFileSystem) measure() {
	runtime.GC()
	m.peak = max(m.peak, heapBytes())
}

func heapBytes() int {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc) //nolint:gosec // Far below the largest int.
}

func (m *measuredFileSystem) ReadFile(name string) ([]byte, error) {
	m.measure()
	return m.FileSystem.ReadFile(name)
}

func (m *measuredFileSystem) Create(name string) (File, error) {
	f, err := m.FileSystem.Create(name)
	return &measuredFile{File: f, system: m}, err
}

type measuredFile struct {
	File
	system *measuredFileSystem
}

func (f *measuredFile) Write(p []byte) (int, error) {
	f.system.measure()
	return f.File.Write(p)
}

const (
	largeEntryBytes = 1 << 20
	largeEntries    = 3 * segmentBytes / largeEntryBytes
	// openingBytes is what a start may need besides the entries that it returns: a segment file, a record of it and its copy.
	openingBytes = segmentBytes + 8*largeEntryBytes
)

// writeLargeEntries writes entries, and a snapshot of the first covered ones.
func writeLargeEntries(t *testing.T, folder string, covered quorum.Index) {
	j, err := Open(OSFileSystem{}, folder)
	require.NoError(t, err)
	hard := quorum.HardState{Term: 1, Generation: 1}
	for i := range quorum.Index(largeEntries) {
		require.NoError(t, j.Write([]quorum.Persist{{Hard: &hard, Entries: []quorum.Entry{{Index: i + 1, Term: 1, Command: make([]byte, largeEntryBytes)}}}}))
	}
	if covered > 0 {
		require.NoError(t, j.Write([]quorum.Persist{{Snapshot: &quorum.Snapshot{Index: covered, Term: 1}}}))
	}
	require.NoError(t, j.Close())
}

// TestOpenNeedsLittleMoreMemoryThanItsEntries guards against a host that runs out of memory while it reads its journal back, or that keeps
// the memory of that for good.
func TestOpenNeedsLittleMoreMemoryThanItsEntries(t *testing.T) {
	for name, covered := range map[string]quorum.Index{"no snapshot": 0, "a snapshot in a segment": largeEntries - 4} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			writeLargeEntries(t, folder, covered)
			runtime.GC()
			before := heapBytes()
			measured := &measuredFileSystem{FileSystem: OSFileSystem{}}
			j, err := Open(measured, folder)
			require.NoError(t, err)
			returned := (largeEntries - int(covered)) * largeEntryBytes
			require.Len(t, j.RecoveredState().Entries, largeEntries-int(covered))
			require.LessOrEqual(t, measured.peak-before, returned+openingBytes, "peak of the start")
			j.DropRecoveredState()
			runtime.GC()
			require.LessOrEqual(t, heapBytes()-before, 4*largeEntryBytes, "after the start")
			require.NoError(t, j.Close())
		})
	}
}

// TestWritesOfOneSyncShareLittleMemory guards against a host that keeps a copy of all writes that waited for its disk.
func TestWritesOfOneSyncShareLittleMemory(t *testing.T) {
	measured := &measuredFileSystem{FileSystem: OSFileSystem{}}
	j, err := Open(measured, t.TempDir())
	require.NoError(t, err)
	defer func() { require.NoError(t, j.Close()) }()
	writes := make([]quorum.Persist, largeEntries)
	for i := range writes {
		writes[i].Entries = []quorum.Entry{{Index: quorum.Index(i) + 1, Term: 1, Command: make([]byte, largeEntryBytes)}}
	}
	runtime.GC()
	before := heapBytes()
	require.NoError(t, j.Write(writes))
	require.LessOrEqual(t, measured.peak-before, 8*largeEntryBytes)
	runtime.GC()
	require.LessOrEqual(t, heapBytes()-before, 4*largeEntryBytes, "after the writes")
	runtime.KeepAlive(writes)
}
