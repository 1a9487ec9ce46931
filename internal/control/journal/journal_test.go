package journal

import (
	"fmt"
	"slices"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// model is the expected content of a journal.
type model struct {
	hard     quorum.HardState
	snapshot quorum.Index
	// last is the last index, and terms has the term of each entry.
	last  quorum.Index
	terms map[quorum.Index]quorum.Term
}

func modelOf(m quorum.RecoveredState) model {
	out := model{
		hard: m.Hard, snapshot: m.Snapshot.Index,
		last: m.Snapshot.Index, terms: map[quorum.Index]quorum.Term{},
	}
	for _, e := range m.Entries {
		out.last = e.Index
		out.terms[e.Index] = e.Term
	}
	return out
}

// after returns the model after one write.
func (m model) after(w quorum.Persist) model {
	out := m
	out.terms = map[quorum.Index]quorum.Term{}
	for i, term := range m.terms {
		out.terms[i] = term
	}
	if w.Hard != nil {
		out.hard = *w.Hard
	}
	for _, e := range w.Entries {
		for i := e.Index; i <= out.last; i++ {
			delete(out.terms, i)
		}
		out.terms[e.Index], out.last = e.Term, e.Index
	}
	if w.Snapshot == nil {
		return out
	}
	out.snapshot = w.Snapshot.Index
	for i := range out.terms {
		if i <= out.snapshot || w.Reset {
			delete(out.terms, i)
		}
	}
	if w.Reset || out.last < out.snapshot {
		out.last = out.snapshot
	}
	return out
}

// drawWrite returns a random write that a Raft node could request in the state of m.
func drawWrite(t *rapid.T, m model) quorum.Persist {
	var w quorum.Persist
	hard := m.hard
	hard.Term++
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	if kind < 3 {
		w.Hard = &hard
	}
	switch {
	case kind == 9:
		w.Hard, w.Reset = &hard, true
		w.Snapshot = &quorum.Snapshot{Index: m.last + 5, Term: hard.Term, Data: []byte("reset")}
	case kind == 8 && m.last > m.snapshot:
		index := m.snapshot + 1 + quorum.Index(rapid.IntRange(0, int(m.last-m.snapshot)-1).Draw(t, "at"))
		w.Snapshot = &quorum.Snapshot{Index: index, Term: m.terms[index], Data: []byte("own")}
	default:
		first := m.last + 1
		if back := rapid.IntRange(0, 3).Draw(t, "back"); back < int(m.last-m.snapshot) {
			first -= quorum.Index(back)
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "entries") {
			w.Entries = append(w.Entries, quorum.Entry{
				Index: first + quorum.Index(i), Term: hard.Term, Command: make([]byte, 100),
			})
		}
	}
	return w
}

// TestAcknowledgedWritesSurviveCrashesAndFaults writes at random while file operations fail and
// the host crashes. The journal must then hold all acknowledged writes and possibly some of the
// unacknowledged ones, each of them completely or not at all. Only a snapshot that replaces the
// log may be there without the hard state that is written after it.
func TestAcknowledgedWritesSurviveCrashesAndFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fileSystem := newMemoryFileSystem(rapid.Uint64().Draw(t, "seed"))
		fileSystem.fault = rapid.SampledFrom([]error{syscall.ENOSPC, syscall.EIO}).Draw(t, "fault")
		j, err := Open(fileSystem, "folder")
		require.NoError(t, err)
		kept := modelOf(j.RecoveredState())
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			fileSystem.failAfter = rapid.IntRange(-1, 12).Draw(t, "fail after")
			allowed := []model{kept}
			var writes []quorum.Persist
			for range rapid.IntRange(0, 5).Draw(t, "writes") {
				w := drawWrite(t, allowed[len(allowed)-1])
				before := allowed[len(allowed)-1]
				if w.Reset {
					// The snapshot may be there without the hard state that depends on it.
					allowed = append(allowed, before.after(quorum.Persist{Snapshot: w.Snapshot, Reset: true}))
				}
				allowed = append(allowed, before.after(w))
				writes = append(writes, w)
			}
			if err := j.Write(writes); err == nil {
				kept = allowed[len(allowed)-1]
				allowed = []model{kept}
			} else {
				require.True(t, IsErrDiskFull(err) || IsErrIO(err), "%v", err)
				require.True(t, IsErrFailedBefore(j.Write(nil)))
			}
			fileSystem.crash()
			if rapid.Bool().Draw(t, "fails at open") {
				fileSystem.failAfter = rapid.IntRange(0, 8).Draw(t, "open fails after")
				if failed, err := Open(fileSystem, "folder"); err == nil {
					require.NoError(t, failed.Close())
				}
				fileSystem.crash()
			}
			j, err = Open(fileSystem, "folder")
			require.NoError(t, err)
			kept = modelOf(j.RecoveredState())
			require.Contains(t, allowed, kept)
		}
	})
}

// TestPowerLossAfterSnapshotLeavesNoGapBetweenSegments takes a snapshot that covers several
// segments and then loses power, so that each removal is durable or not, independently of the
// others. The journal must open with the snapshot. It guards against a host that can never open its
// journal again.
func TestPowerLossAfterSnapshotLeavesNoGapBetweenSegments(t *testing.T) {
	for seed := range uint64(64) {
		fileSystem := newMemoryFileSystem(seed)
		j := mustOpen(t, fileSystem)
		hard := quorum.HardState{Term: 1, Generation: 1}
		for i := range quorum.Index(4) {
			require.NoError(t, j.Write([]quorum.Persist{{Hard: &hard, Entries: []quorum.Entry{{Index: 2*i + 1, Term: 1}, {Index: 2*i + 2, Term: 1}}}}))
			require.NoError(t, j.Write([]quorum.Persist{{Snapshot: &quorum.Snapshot{Index: 2*i + 1, Term: 1}}}))
		}
		require.NoError(t, j.Write([]quorum.Persist{{Snapshot: &quorum.Snapshot{Index: 8, Term: 1}}}))
		fileSystem.crash()
		j, err := Open(fileSystem, "folder")
		require.NoError(t, err, "seed %d", seed)
		require.Equal(t, quorum.Index(8), j.RecoveredState().Snapshot.Index)
	}
}

// newFilledFileSystem returns a file system with a closed journal that has a few writes and a
// snapshot.
func newFilledFileSystem(t *testing.T) *memoryFileSystem {
	fileSystem := newMemoryFileSystem(1)
	j, err := Open(fileSystem, "folder")
	require.NoError(t, err)
	m := modelOf(j.RecoveredState())
	for i := range 6 {
		hard := m.hard
		hard.Term++
		w := quorum.Persist{Hard: &hard, Entries: []quorum.Entry{{Index: m.last + 1, Term: hard.Term, Command: make([]byte, 40)}}}
		if i == 3 {
			w.Snapshot = &quorum.Snapshot{Index: m.last, Term: m.terms[m.last], Data: make([]byte, 40)}
		}
		require.NoError(t, j.Write([]quorum.Persist{w}))
		m = m.after(w)
	}
	require.NoError(t, j.Close())
	return fileSystem
}

// TestFlippedBitIsReportedAsCorrupt flips each bit of each file in turn. Open must return
// ErrCorrupt every time.
func TestFlippedBitIsReportedAsCorrupt(t *testing.T) {
	fileSystem := newFilledFileSystem(t)
	for _, name := range fileSystem.sortedNames() {
		data := fileSystem.names[name].data
		for bit := range 8 * len(data) {
			data[bit/8] ^= 1 << (bit % 8)
			_, err := Open(fileSystem, "folder")
			require.True(t, IsErrCorrupt(err), "bit %d of %s: %v", bit, name, err)
			data[bit/8] ^= 1 << (bit % 8)
		}
	}
	_, err := Open(fileSystem, "folder")
	require.NoError(t, err)
}

// TestTornTailIsDroppedAndReported cuts the newest segment at each position after its first two
// records, with and without zeros after the cut. The complete writes before the cut must stay,
// and Open must report how many bytes it dropped.
func TestTornTailIsDroppedAndReported(t *testing.T) {
	fileSystem := newFilledFileSystem(t)
	whole := fileSystem.names[fileSystem.newestSegment()].data
	bounds := []int{0}
	for end := 0; end < len(whole); bounds = append(bounds, end) {
		rec, err := decodeRecord(whole[end:])
		require.NoError(t, err)
		end += rec.size
	}
	opening, writes := 2, len(bounds)-3
	require.Equal(t, 2, writes)
	for _, zeros := range []int{0, 2 * sectorBytes} {
		for cut := bounds[opening]; cut < len(whole); cut++ {
			fileSystem := newFilledFileSystem(t)
			fileSystem.names[fileSystem.newestSegment()].data = slices.Concat(whole[:cut], make([]byte, zeros))
			kept := 0
			for bounds[opening+kept+1] <= cut {
				kept++
			}
			j := mustOpen(t, fileSystem)
			require.Equal(t, quorum.Index(4+kept), modelOf(j.RecoveredState()).last)
			require.Equal(t, cut+zeros-bounds[opening+kept], j.OpenReport().TornBytes)
		}
	}
}

func mustOpen(t *testing.T, fileSystem FileSystem) *Journal {
	j, err := Open(fileSystem, "folder")
	require.NoError(t, err)
	return j
}

// TestFailedWriteIsTypedAndBlocksFurtherWrites checks that a failing operation is reported with
// its error type and that the journal refuses all writes until it is opened again.
func TestFailedWriteIsTypedAndBlocksFurtherWrites(t *testing.T) {
	for _, c := range []struct {
		operation string
		fault     error
		is        func(error) bool
	}{
		{"write", syscall.ENOSPC, IsErrDiskFull},
		{"write", syscall.EIO, IsErrIO},
		{"sync", syscall.EIO, IsErrIO},
		{"sync", syscall.EDQUOT, IsErrDiskFull},
	} {
		t.Run(fmt.Sprintf("%s %v", c.operation, c.fault), func(t *testing.T) {
			fileSystem := newMemoryFileSystem(1)
			j := mustOpen(t, fileSystem)
			fileSystem.failAfter, fileSystem.fault, fileSystem.faultOperation = 0, c.fault, c.operation
			w := []quorum.Persist{{Entries: []quorum.Entry{{Index: 1, Term: 1}}}}
			err := j.Write(w)
			require.True(t, c.is(err), "%v", err)
			again := j.Write(w)
			require.True(t, IsErrFailedBefore(again) && errors.Is(again, err), "%v", again)
			fileSystem.crash()
			require.NoError(t, mustOpen(t, fileSystem).Write(w))
		})
	}
}

// TestSecondOpenOfFolderIsRefused checks on a real disk that the journal of a folder cannot be
// opened twice at the same time. After it is closed, it must open with the same generation and
// entries.
func TestSecondOpenOfFolderIsRefused(t *testing.T) {
	folder := t.TempDir()
	j, err := Open(OSFileSystem{}, folder)
	require.NoError(t, err)
	require.True(t, j.OpenReport().Created)
	_, err = Open(OSFileSystem{}, folder)
	require.True(t, IsErrLocked(err), "%v", err)
	require.NoError(t, j.Write([]quorum.Persist{{Entries: []quorum.Entry{{Index: 1, Term: 1}}}}))
	require.NoError(t, j.Close())
	again, err := Open(OSFileSystem{}, folder)
	require.NoError(t, err)
	require.False(t, again.OpenReport().Created)
	require.Equal(t, j.RecoveredState().Hard, again.RecoveredState().Hard)
	require.Len(t, again.RecoveredState().Entries, 1)
	require.NoError(t, again.Close())
}

// FuzzDecodeRecord decodes arbitrary bytes. A record that is accepted must encode to the same
// bytes again.
func FuzzDecodeRecord(f *testing.F) {
	valid, err := appendRecord(nil, recordWrite, writeBody{Entries: []quorum.Entry{{Index: 1, Term: 1, Command: []byte("x")}}})
	require.NoError(f, err)
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(make([]byte, headerBytes))
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec, err := decodeRecord(raw)
		if err != nil {
			return
		}
		require.LessOrEqual(t, rec.size, len(raw))
		again := appendFramed(nil, rec.kind, rec.body)
		require.Equal(t, raw[:rec.size], again)
		r := replay{firstIndex: 1}
		_ = r.addRecord(rec, 1, false)
	})
}

// BenchmarkWrite measures synced writes on the local disk, by the number of entries per sync.
func BenchmarkWrite(b *testing.B) {
	for _, size := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			j, err := Open(OSFileSystem{}, b.TempDir())
			require.NoError(b, err)
			next := quorum.Index(1)
			for b.Loop() {
				w := quorum.Persist{}
				for range size {
					w.Entries = append(w.Entries, quorum.Entry{Index: next, Term: 1, Command: make([]byte, 256)})
					next++
				}
				require.NoError(b, j.Write([]quorum.Persist{w}))
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
			require.NoError(b, j.Close())
		})
	}
}
