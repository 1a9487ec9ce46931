// Package journal keeps a control host's replicated log in plain files under one
// folder. Nothing that Write took is acknowledged before it is synced.
//
// Segment files hold checksummed records, appended. A snapshot is written aside,
// synced, renamed, and the folder synced; then the segments that it covers are
// removed. Open reads everything back and writes what it kept into a new segment,
// so that nothing rests on pages that an earlier, failed sync may have dropped.
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
	lockName       = "lock"
	segmentFormat  = "segment_%020d"
	snapshotFormat = "snapshot_%020d"
	asideSuffix    = ".new"
	// segmentBytes is the size at which a new segment is begun.
	segmentBytes = 16 << 20
)

// Journal is an open journal. Its methods are for one goroutine. Use Open.
type Journal struct {
	files     FileSystem
	folder    string
	lock      io.Closer
	recovered quorum.RecoveredState
	report    OpenReport

	hard     quorum.HardState
	segments []segment
	active   File
	bytes    int
	buf      []byte
	failed   error
}

// segment is one file; last is the highest entry that it holds.
type segment struct {
	sequence uint64
	last     quorum.Index
}

// OpenReport tells what Open found.
type OpenReport struct {
	// Created says that the folder was empty.
	Created bool
	// TornBytes counts the bytes of a write that was cut off and dropped.
	TornBytes int
	Segments  int
	Entries   int
}

// Open opens the journal in folder, and makes a new one if the folder is empty.
func Open(files FileSystem, folder string) (*Journal, error) {
	if err := files.MkdirAll(folder); err != nil {
		return nil, failure("make folder", folder, err)
	}
	lock, err := files.Lock(filepath.Join(folder, lockName))
	if err != nil {
		if IsErrLocked(err) {
			return nil, err
		}
		return nil, failure("lock", folder, err)
	}
	j := &Journal{files: files, folder: folder, lock: lock}
	if err := j.open(); err != nil {
		if j.active != nil {
			_ = j.active.Close()
		}
		_ = lock.Close()
		return nil, err
	}
	return j, nil
}

// RecoveredState returns what the journal held when it was opened, until Release.
func (j *Journal) RecoveredState() quorum.RecoveredState { return j.recovered }

// DropRecoveredState drops what Memory returns, once it has been taken over.
func (j *Journal) DropRecoveredState() { j.recovered = quorum.RecoveredState{} }

// OpenReport returns what Open found.
func (j *Journal) OpenReport() OpenReport { return j.report }

// Close ends the use of the journal and releases its lock.
func (j *Journal) Close() error {
	err := failure("close", j.folder, j.active.Close())
	if lockErr := j.lock.Close(); err == nil {
		err = failure("unlock", j.folder, lockErr)
	}
	return err
}

func (j *Journal) open() error {
	found, err := j.scan()
	if err != nil {
		return err
	}
	snapshot, err := j.readSnapshot(found.snapshots)
	if err != nil {
		return err
	}
	r, err := j.readSegments(found.segments)
	if err != nil {
		return err
	}
	if j.recovered, err = r.recoveredState(snapshot); err != nil {
		return ErrCorrupt{File: j.folder, Reason: err.Error()}
	}
	j.report = OpenReport{TornBytes: r.torn, Segments: len(found.segments), Entries: len(j.recovered.Entries)}
	if err := j.generation(found); err != nil {
		return err
	}
	return j.renew(found)
}

// readSegments replays the segments from the latest on that voids those before it.
func (j *Journal) readSegments(sequences []uint64) (replay, error) {
	files := make([][]byte, len(sequences))
	start := 0
	for i := len(sequences) - 1; i >= 0 && start == 0; i-- {
		name := j.segmentName(sequences[i])
		raw, err := j.files.ReadFile(name)
		if err != nil {
			return replay{}, failure("read", name, err)
		}
		files[i] = raw
		if restarts(raw) {
			start = i
		}
	}
	var r replay
	for i := start; i < len(sequences); i++ {
		name := j.segmentName(sequences[i])
		if i > start && sequences[i] != sequences[i-1]+1 {
			return r, ErrCorrupt{File: name, Reason: "the segment before it is missing"}
		}
		if err := r.segment(name, sequences[i], files[i], i == len(sequences)-1); err != nil {
			return r, err
		}
	}
	return r, nil
}

// generation draws the identity of a new disk.
func (j *Journal) generation(found scan) error {
	if j.recovered.Hard.Generation != 0 {
		return nil
	}
	if len(found.segments) > 0 || len(found.snapshots) > 0 {
		return ErrCorrupt{File: j.folder, Reason: "the hard state is missing"}
	}
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return errors.Wrap(err, "draw a generation")
	}
	j.recovered.Hard.Generation = quorum.Generation(binary.BigEndian.Uint64(raw[:]) | 1)
	j.report.Created = true
	return nil
}

// renew writes what was kept into a new segment and removes the old files.
func (j *Journal) renew(found scan) error {
	j.hard = j.recovered.Hard
	sequence := uint64(1)
	if n := len(found.segments); n > 0 {
		sequence = found.segments[n-1] + 1
	}
	if err := j.begin(sequence, &j.recovered.Snapshot.Index, j.recovered.Entries); err != nil {
		return err
	}
	for _, old := range found.segments {
		if err := j.remove(j.segmentName(old)); err != nil {
			return err
		}
	}
	for _, index := range found.snapshots {
		if quorum.Index(index) == j.recovered.Snapshot.Index {
			continue
		}
		if err := j.remove(j.snapshotName(quorum.Index(index))); err != nil {
			return err
		}
	}
	return nil
}

// scan is what a folder holds.
type scan struct {
	segments  []uint64
	snapshots []uint64
}

// scan lists the folder and removes what the journal left aside.
func (j *Journal) scan() (scan, error) {
	var found scan
	names, err := j.files.List(j.folder)
	if err != nil {
		return found, failure("list", j.folder, err)
	}
	for _, name := range names {
		var number uint64
		switch {
		case strings.HasSuffix(name, asideSuffix):
			if !ours(strings.TrimSuffix(name, asideSuffix)) {
				continue // Another record of the folder is being replaced.
			}
			if err := j.remove(filepath.Join(j.folder, name)); err != nil {
				return found, err
			}
		case matches(name, segmentFormat, &number):
			found.segments = append(found.segments, number)
		case matches(name, snapshotFormat, &number):
			found.snapshots = append(found.snapshots, number)
		}
	}
	slices.Sort(found.segments)
	slices.Sort(found.snapshots)
	return found, nil
}

// ours reports whether a file is a segment or a snapshot.
func ours(name string) bool {
	var number uint64
	return matches(name, segmentFormat, &number) || matches(name, snapshotFormat, &number)
}

func matches(name, format string, number *uint64) bool {
	_, err := fmt.Sscanf(name, format, number)
	return err == nil && fmt.Sprintf(format, *number) == name
}

func (j *Journal) segmentName(sequence uint64) string {
	return filepath.Join(j.folder, fmt.Sprintf(segmentFormat, sequence))
}

func (j *Journal) snapshotName(index quorum.Index) string {
	return filepath.Join(j.folder, fmt.Sprintf(snapshotFormat, uint64(index)))
}

func (j *Journal) remove(name string) error {
	return failure("remove", name, j.files.Remove(name))
}
