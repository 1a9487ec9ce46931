package journal

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// memoryFileSystem is a file system in memory that can lose unsynced data in a crash and return
// errors on demand.
type memoryFileSystem struct {
	random *rand.Rand
	// names has the files of the folder as they are seen now, and durable those as of the last
	// SyncFolder, which a crash may fall back to.
	names   map[string]*memoryFile
	durable map[string]*memoryFile
	locked  bool
	// failAfter is the number of operations that still succeed before one returns fault; -1 means
	// that none fails.
	failAfter int
	fault     error
	// faultOperation, if set, limits the fault to operations of that name.
	faultOperation string
}

type memoryFile struct {
	fileSystem *memoryFileSystem
	data       []byte
	synced     int
}

func newMemoryFileSystem(seed uint64) *memoryFileSystem {
	return &memoryFileSystem{
		random: rand.New(rand.NewPCG(seed, 1)), failAfter: -1,
		names: map[string]*memoryFile{}, durable: map[string]*memoryFile{},
	}
}

func (m *memoryFileSystem) fail(operation string) error {
	if m.failAfter < 0 || (m.faultOperation != "" && m.faultOperation != operation) {
		return nil
	}
	m.failAfter--
	if m.failAfter < 0 {
		return m.fault
	}
	return nil
}

// crash loses a random part of the data that was not synced and, for each name independently, the
// changes since the last SyncFolder. A file may end in zeros instead of its last data. It also
// releases the lock.
func (m *memoryFileSystem) crash() {
	m.locked, m.failAfter = false, -1
	for _, name := range m.changedNames() {
		if m.random.IntN(2) == 0 {
			continue
		}
		delete(m.names, name)
		if f := m.durable[name]; f != nil {
			m.names[name] = f
		}
	}
	m.durable = maps.Clone(m.names)
	for _, name := range m.sortedNames() {
		f := m.names[name]
		if f.synced == len(f.data) {
			continue
		}
		kept := f.synced + m.random.IntN(len(f.data)-f.synced+1)
		f.data = slices.Clone(f.data[:kept])
		if m.random.IntN(4) == 0 {
			f.data = append(f.data, make([]byte, 2*sectorBytes)...)
		}
		f.synced = len(f.data)
	}
}

// changedNames returns, sorted, the names that were created, replaced or removed since the last
// SyncFolder.
func (m *memoryFileSystem) changedNames() []string {
	var changed []string
	for name, f := range m.names {
		if m.durable[name] != f {
			changed = append(changed, name)
		}
	}
	for name := range m.durable {
		if m.names[name] == nil {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

func (m *memoryFileSystem) sortedNames() []string {
	var names []string
	for name := range m.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (m *memoryFileSystem) MkdirAll(string) error { return m.fail("mkdir") }

func (m *memoryFileSystem) List(string) ([]string, error) {
	var names []string
	for _, name := range m.sortedNames() {
		names = append(names, filepath.Base(name))
	}
	return names, m.fail("list")
}

func (m *memoryFileSystem) ReadFile(name string) ([]byte, error) {
	f := m.names[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.data), m.fail("read")
}

func (m *memoryFileSystem) Create(name string) (File, error) {
	if err := m.fail("create"); err != nil {
		return nil, err
	}
	f := &memoryFile{fileSystem: m}
	m.names[name] = f
	return f, nil
}

func (m *memoryFileSystem) Rename(from, to string) error {
	if err := m.fail("rename"); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memoryFileSystem) Remove(name string) error {
	if err := m.fail("remove"); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memoryFileSystem) SyncFolder(string) error {
	if err := m.fail("sync folder"); err != nil {
		return err
	}
	m.durable = map[string]*memoryFile{}
	for name, f := range m.names {
		m.durable[name] = f
	}
	return nil
}

func (m *memoryFileSystem) Lock(name string) (io.Closer, error) {
	if m.locked {
		return nil, ErrLocked{File: name}
	}
	m.locked = true
	return m, nil
}

// Close releases the lock.
func (m *memoryFileSystem) Close() error {
	m.locked = false
	return nil
}

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.fileSystem.fail("write"); err != nil {
		n := f.fileSystem.random.IntN(len(p) + 1)
		f.data = append(f.data, p[:n]...)
		return n, err
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if err := f.fileSystem.fail("sync"); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }

// newestSegment returns the name of the segment with the highest sequence.
func (m *memoryFileSystem) newestSegment() string {
	var last string
	for _, name := range m.sortedNames() {
		if strings.Contains(name, "segment") {
			last = name
		}
	}
	return last
}

// TestOnlyTheJournalsOwnLeftoversAreRemoved opens a journal in a folder with temporary files of
// the journal, left behind by a crash, and one of another file that is being replaced at that
// moment. Open must remove the journal's own files only.
func TestOnlyTheJournalsOwnLeftoversAreRemoved(t *testing.T) {
	folder := t.TempDir()
	other := filepath.Join(folder, "founders"+temporarySuffix)
	segment := filepath.Join(folder, fmt.Sprintf(segmentFormat, 7)+temporarySuffix)
	snapshot := filepath.Join(folder, fmt.Sprintf(snapshotFormat, 7)+temporarySuffix)
	for _, name := range []string{other, segment, snapshot} {
		require.NoError(t, os.WriteFile(name, []byte("half"), 0o600))
	}
	j, err := Open(OSFileSystem{}, folder)
	require.NoError(t, err)
	require.NoError(t, j.Close())
	require.FileExists(t, other)
	require.NoFileExists(t, segment)
	require.NoFileExists(t, snapshot)
}
