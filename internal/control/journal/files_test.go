package journal

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// memoryFiles is a disk in memory that forgets what was not synced, and fails on
// demand.
type memoryFiles struct {
	random *rand.Rand
	// names is the folder as it looks, and durable as it is after a crash.
	names   map[string]*memoryFile
	durable map[string]*memoryFile
	locked  bool
	// failAfter counts down the operations until fault strikes; -1 is never.
	failAfter int
	fault     error
	// faultOn limits the fault to one operation, if set.
	faultOn string
}

type memoryFile struct {
	files  *memoryFiles
	data   []byte
	synced int
}

func newMemoryFiles(seed uint64) *memoryFiles {
	return &memoryFiles{
		random: rand.New(rand.NewPCG(seed, 1)), failAfter: -1,
		names: map[string]*memoryFile{}, durable: map[string]*memoryFile{},
	}
}

func (m *memoryFiles) fail(operation string) error {
	if m.failAfter < 0 || (m.faultOn != "" && m.faultOn != operation) {
		return nil
	}
	m.failAfter--
	if m.failAfter < 0 {
		return m.fault
	}
	return nil
}

// crash forgets what was not synced, or only a part of it.
func (m *memoryFiles) crash() {
	m.locked, m.failAfter = false, -1
	if m.random.IntN(2) == 0 {
		m.names = map[string]*memoryFile{}
		for name, f := range m.durable {
			m.names[name] = f
		}
	}
	for _, name := range m.sorted() {
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

func (m *memoryFiles) sorted() []string {
	var names []string
	for name := range m.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (m *memoryFiles) MkdirAll(string) error { return m.fail("mkdir") }

func (m *memoryFiles) List(string) ([]string, error) {
	var names []string
	for _, name := range m.sorted() {
		names = append(names, filepath.Base(name))
	}
	return names, m.fail("list")
}

func (m *memoryFiles) ReadFile(name string) ([]byte, error) {
	f := m.names[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return slices.Clone(f.data), m.fail("read")
}

func (m *memoryFiles) Create(name string) (File, error) {
	if err := m.fail("create"); err != nil {
		return nil, err
	}
	f := &memoryFile{files: m}
	m.names[name] = f
	return f, nil
}

func (m *memoryFiles) Rename(from, to string) error {
	if err := m.fail("rename"); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memoryFiles) Remove(name string) error {
	if err := m.fail("remove"); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memoryFiles) SyncFolder(string) error {
	if err := m.fail("sync folder"); err != nil {
		return err
	}
	m.durable = map[string]*memoryFile{}
	for name, f := range m.names {
		m.durable[name] = f
	}
	return nil
}

func (m *memoryFiles) Lock(name string) (io.Closer, error) {
	if m.locked {
		return nil, ErrLocked{File: name}
	}
	m.locked = true
	return m, nil
}

// Close releases the lock.
func (m *memoryFiles) Close() error {
	m.locked = false
	return nil
}

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.files.fail("write"); err != nil {
		n := f.files.random.IntN(len(p) + 1)
		f.data = append(f.data, p[:n]...)
		return n, err
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if err := f.files.fail("sync"); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }

// last returns the name of the newest segment.
func (m *memoryFiles) last() string {
	var last string
	for _, name := range m.sorted() {
		if strings.Contains(name, "segment") {
			last = name
		}
	}
	return last
}

// TestOnlyTheJournalsOwnLeftoversAreRemoved opens a journal in a folder where another record is
// being replaced at that moment, beside what a crash left of the journal's own files.
func TestOnlyTheJournalsOwnLeftoversAreRemoved(t *testing.T) {
	folder := t.TempDir()
	other := filepath.Join(folder, "founders"+asideSuffix)
	segment := filepath.Join(folder, fmt.Sprintf(segmentFormat, 7)+asideSuffix)
	snapshot := filepath.Join(folder, fmt.Sprintf(snapshotFormat, 7)+asideSuffix)
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
