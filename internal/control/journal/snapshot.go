package journal

import (
	"github.com/egretreach/egretreach/internal/control/quorum"
)

// saveSnapshot makes a snapshot durable, starts a new segment and removes the segments and
// snapshots that it replaces.
func (j *Journal) saveSnapshot(w quorum.Persist) error {
	if err := j.sync(); err != nil {
		return err
	}
	if err := j.writeSnapshotFile(*w.Snapshot); err != nil {
		return err
	}
	old := j.segments
	sequence := j.currentSegment().sequence + 1
	if w.Reset {
		if err := j.startSegment(sequence, &w.Snapshot.Index, w.Entries); err != nil {
			return err
		}
	} else {
		if err := j.startSegment(sequence, nil, nil); err != nil {
			return err
		}
		old = j.detachCovered(w.Snapshot.Index)
	}
	if err := j.removeSegments(old); err != nil {
		return err
	}
	return j.removeSnapshots(w.Snapshot.Index)
}

// removeSegments removes segments, the oldest first. Each removal is durable before the next one, so
// that a loss of power leaves no gap between the segments that remain.
func (j *Journal) removeSegments(old []segment) error {
	for i, s := range old {
		if i > 0 {
			if err := j.syncFolder(); err != nil {
				return err
			}
		}
		if err := j.removeFile(j.segmentName(s.sequence)); err != nil {
			return err
		}
	}
	return nil
}

// detachCovered removes from the list the oldest segments that have no entry after index, except
// the current one, and returns them.
func (j *Journal) detachCovered(index quorum.Index) []segment {
	n := 0
	for n < len(j.segments)-1 && j.segments[n].lastIndex <= index {
		n++
	}
	old := j.segments[:n:n]
	j.segments = j.segments[n:]
	return old
}

// writeSnapshotFile writes a snapshot to its file by way of a temporary file.
func (j *Journal) writeSnapshotFile(s quorum.Snapshot) error {
	raw, err := appendRecord(nil, recordSnapshot, s)
	if err != nil {
		return err
	}
	return ReplaceFile(j.fileSystem, j.snapshotName(s.Index), raw)
}

// removeSnapshots removes all snapshots but the one at index.
func (j *Journal) removeSnapshots(index quorum.Index) error {
	found, err := j.scanFolder()
	if err != nil {
		return err
	}
	for _, i := range found.snapshots {
		if quorum.Index(i) == index {
			continue
		}
		if err := j.removeFile(j.snapshotName(quorum.Index(i))); err != nil {
			return err
		}
	}
	return nil
}

// readSnapshot reads the latest snapshot, if there is one. The file gets its name only once it
// is complete, so any error in it is damage.
func (j *Journal) readSnapshot(indexes []uint64) (quorum.Snapshot, error) {
	var s quorum.Snapshot
	if len(indexes) == 0 {
		return s, nil
	}
	name := j.snapshotName(quorum.Index(indexes[len(indexes)-1]))
	raw, err := j.fileSystem.ReadFile(name)
	if err != nil {
		return s, classifyError("read", name, err)
	}
	rec, err := decodeRecord(raw)
	if err != nil {
		return s, ErrCorrupt{File: name, Reason: err.Error()}
	}
	if rec.kind != recordSnapshot || rec.size != len(raw) {
		return s, ErrCorrupt{File: name, Reason: "the file is not a single snapshot record"}
	}
	if err := decMode.Unmarshal(rec.body, &s); err != nil {
		return s, ErrCorrupt{File: name, Reason: err.Error()}
	}
	return s, nil
}
