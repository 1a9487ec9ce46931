// Package journal stores a control host's replicated log in files in one folder. Write returns
// only after its data is synced.
//
// Segment files consist of appended records with checksums. A snapshot is written to a temporary
// file, which is synced and renamed, and the folder is synced; then the segments that it covers
// are removed. Open reads everything back and writes it into a new segment, so that no data
// depends on pages that an earlier, failed sync may have dropped.
package journal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

const (
	lockName        = "lock"
	segmentFormat   = "segment_%020d"
	snapshotFormat  = "snapshot_%020d"
	temporarySuffix = ".new"
	// segmentBytes is the size at which Write starts a new segment.
	segmentBytes = 16 << 20
)

// Journal is an open journal. It is not safe for concurrent use. Create it with Open.
type Journal struct {
	fileSystem FileSystem
	folder     string
	lock       io.Closer
	recovered  quorum.RecoveredState
	report     OpenReport

	hard        quorum.HardState
	segments    []segment
	activeFile  File
	activeBytes int
	buf         []byte
	// unsynced is true if the current segment has data that may not be on disk.
	unsynced bool
	failure  error
}

// segment is a segment file. lastIndex is the highest index of its entries.
type segment struct {
	sequence  uint64
	lastIndex quorum.Index
}

// OpenReport describes what Open found.
type OpenReport struct {
	// Created is true if the folder held no journal.
	Created bool
	// TornBytes is the size of an incomplete write at the end of the journal, which was dropped.
	TornBytes int
	Segments  int
	Entries   int
}

// Open opens the journal in folder and creates one if there is none. It returns ErrLocked if
// another process has it open, ErrCorrupt if it is damaged, and ErrDiskFull or ErrIO if the file
// system fails.
func Open(fileSystem FileSystem, folder string) (*Journal, error) {
	if err := fileSystem.MkdirAll(folder); err != nil {
		return nil, classifyError("make folder", folder, err)
	}
	lock, err := fileSystem.Lock(filepath.Join(folder, lockName))
	if err != nil {
		if IsErrLocked(err) {
			return nil, err
		}
		return nil, classifyError("lock", folder, err)
	}
	j := &Journal{fileSystem: fileSystem, folder: folder, lock: lock}
	if err := j.open(); err != nil {
		if j.activeFile != nil {
			_ = j.activeFile.Close()
		}
		_ = lock.Close()
		return nil, err
	}
	return j, nil
}

// RecoveredState returns the state that the journal held when it was opened. After
// DropRecoveredState it returns an empty state.
func (j *Journal) RecoveredState() quorum.RecoveredState { return j.recovered }

// DropRecoveredState frees the memory of the state that RecoveredState returns.
func (j *Journal) DropRecoveredState() { j.recovered = quorum.RecoveredState{} }

// OpenReport returns what Open found.
func (j *Journal) OpenReport() OpenReport { return j.report }

// Close closes the journal and releases its lock.
func (j *Journal) Close() error {
	err := classifyError("close", j.folder, j.activeFile.Close())
	if lockErr := j.lock.Close(); err == nil {
		err = classifyError("unlock", j.folder, lockErr)
	}
	return err
}

func (j *Journal) open() error {
	found, err := j.scanFolder()
	if err != nil {
		return err
	}
	snapshot, err := j.readSnapshot(found.snapshots)
	if err != nil {
		return err
	}
	r, err := j.readSegments(found.segments, snapshot.Index)
	if err != nil {
		return err
	}
	if j.recovered, err = r.recoveredState(snapshot); err != nil {
		return ErrCorrupt{File: j.folder, Reason: err.Error()}
	}
	j.report = OpenReport{TornBytes: r.tornBytes, Segments: len(found.segments), Entries: len(j.recovered.Entries)}
	if err := j.ensureGeneration(found); err != nil {
		return err
	}
	return j.rewrite(found)
}

// readSegments replays the segments, starting with the latest one that voids those before it. It drops the commands of the entries that
// the snapshot at index covered contains. One file at a time is in memory.
func (j *Journal) readSegments(sequences []uint64, covered quorum.Index) (replay, error) {
	start, err := j.firstSegment(sequences)
	if err != nil {
		return replay{}, err
	}
	r := replay{covered: covered}
	for i := start; i < len(sequences); i++ {
		name := j.segmentName(sequences[i])
		if i > start && sequences[i] != sequences[i-1]+1 {
			return r, ErrCorrupt{File: name, Reason: "the segment before this one is missing"}
		}
		raw, err := j.fileSystem.ReadFile(name)
		if err != nil {
			return r, classifyError("read", name, err)
		}
		if err := r.addSegment(name, sequences[i], raw, i == len(sequences)-1); err != nil {
			return r, err
		}
	}
	return r, nil
}

// firstSegment returns the position of the latest segment that voids those before it, or 0.
func (j *Journal) firstSegment(sequences []uint64) (int, error) {
	for i, sequence := range slices.Backward(sequences) {
		name := j.segmentName(sequence)
		raw, err := j.fileSystem.ReadFile(name)
		if err != nil {
			return 0, classifyError("read", name, err)
		}
		if resetsLog(raw) {
			return i, nil
		}
	}
	return 0, nil
}

// ensureGeneration sets a random generation if the journal is new. A journal that has files but
// no generation is corrupt.
func (j *Journal) ensureGeneration(found folderFiles) error {
	if j.recovered.Hard.Generation != 0 {
		return nil
	}
	if len(found.segments) > 0 || len(found.snapshots) > 0 {
		return ErrCorrupt{File: j.folder, Reason: "the hard state is missing"}
	}
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return errors.Wrap(err, "generate a random generation")
	}
	j.recovered.Hard.Generation = quorum.Generation(binary.BigEndian.Uint64(raw[:]) | 1)
	j.report.Created = true
	return nil
}

// rewrite writes the recovered state into a new segment and removes the old segments and
// snapshots.
func (j *Journal) rewrite(found folderFiles) error {
	j.hard = j.recovered.Hard
	sequence := uint64(1)
	if n := len(found.segments); n > 0 {
		sequence = found.segments[n-1] + 1
	}
	if err := j.startSegment(sequence, &j.recovered.Snapshot.Index, j.recovered.Entries); err != nil {
		return err
	}
	for _, old := range found.segments {
		if err := j.removeFile(j.segmentName(old)); err != nil {
			return err
		}
	}
	for _, index := range found.snapshots {
		if quorum.Index(index) == j.recovered.Snapshot.Index {
			continue
		}
		if err := j.removeFile(j.snapshotName(quorum.Index(index))); err != nil {
			return err
		}
	}
	return nil
}

// folderFiles lists the sequences of the segments and the indexes of the snapshots in a folder.
type folderFiles struct {
	segments  []uint64
	snapshots []uint64
}

// scanFolder lists the segments and snapshots in the folder and removes the journal's temporary
// files.
func (j *Journal) scanFolder() (folderFiles, error) {
	var found folderFiles
	names, err := j.fileSystem.List(j.folder)
	if err != nil {
		return found, classifyError("list", j.folder, err)
	}
	for _, name := range names {
		var number uint64
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			if !isJournalFile(strings.TrimSuffix(name, temporarySuffix)) {
				continue // Another file in this folder may be in the middle of a replacement through it.
			}
			if err := j.removeFile(filepath.Join(j.folder, name)); err != nil {
				return found, err
			}
		case parseName(name, segmentFormat, &number):
			found.segments = append(found.segments, number)
		case parseName(name, snapshotFormat, &number):
			found.snapshots = append(found.snapshots, number)
		}
	}
	slices.Sort(found.segments)
	slices.Sort(found.snapshots)
	return found, nil
}

// isJournalFile reports whether name is that of a segment or a snapshot.
func isJournalFile(name string) bool {
	var number uint64
	return parseName(name, segmentFormat, &number) || parseName(name, snapshotFormat, &number)
}

func parseName(name, format string, number *uint64) bool {
	_, err := fmt.Sscanf(name, format, number)
	return err == nil && fmt.Sprintf(format, *number) == name
}

func (j *Journal) segmentName(sequence uint64) string {
	return filepath.Join(j.folder, fmt.Sprintf(segmentFormat, sequence))
}

func (j *Journal) snapshotName(index quorum.Index) string {
	return filepath.Join(j.folder, fmt.Sprintf(snapshotFormat, uint64(index)))
}

func (j *Journal) removeFile(name string) error {
	return classifyError("remove", name, j.fileSystem.Remove(name))
}
