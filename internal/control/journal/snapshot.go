package journal

import (
	"github.com/egretreach/egretreach/internal/control/quorum"
)

// saveSnapshot makes a snapshot durable and removes what it replaces.
func (j *Journal) saveSnapshot(w quorum.Persist) error {
	if err := j.sync(); err != nil {
		return err
	}
	if err := j.storeSnapshot(*w.Snapshot); err != nil {
		return err
	}
	old := j.segments
	sequence := j.current().sequence + 1
	if w.Reset {
		if err := j.begin(sequence, &w.Snapshot.Index, w.Entries); err != nil {
			return err
		}
	} else {
		if err := j.begin(sequence, nil, nil); err != nil {
			return err
		}
		old = j.covered(w.Snapshot.Index)
	}
	for _, s := range old {
		if err := j.remove(j.segmentName(s.sequence)); err != nil {
			return err
		}
	}
	return j.removeSnapshots(w.Snapshot.Index)
}

// covered takes the segments off the list that hold no entry behind index.
func (j *Journal) covered(index quorum.Index) []segment {
	n := 0
	for n < len(j.segments)-1 && j.segments[n].last <= index {
		n++
	}
	old := j.segments[:n:n]
	j.segments = j.segments[n:]
	return old
}

// storeSnapshot writes a snapshot aside and puts it in place.
func (j *Journal) storeSnapshot(s quorum.Snapshot) error {
	raw, err := appendRecord(nil, recordSnapshot, s)
	if err != nil {
		return err
	}
	return ReplaceFile(j.files, j.snapshotName(s.Index), raw)
}

// removeSnapshots removes all snapshots but the one at index.
func (j *Journal) removeSnapshots(index quorum.Index) error {
	found, err := j.scan()
	if err != nil {
		return err
	}
	for _, i := range found.snapshots {
		if quorum.Index(i) == index {
			continue
		}
		if err := j.remove(j.snapshotName(quorum.Index(i))); err != nil {
			return err
		}
	}
	return nil
}

// readSnapshot reads the latest snapshot, if there is one. Its name was given only
// after it was whole, so any fault in it is damage.
func (j *Journal) readSnapshot(indexes []uint64) (quorum.Snapshot, error) {
	var s quorum.Snapshot
	if len(indexes) == 0 {
		return s, nil
	}
	name := j.snapshotName(quorum.Index(indexes[len(indexes)-1]))
	raw, err := j.files.ReadFile(name)
	if err != nil {
		return s, failure("read", name, err)
	}
	rec, err := decodeRecord(raw)
	if err != nil {
		return s, ErrCorrupt{File: name, Reason: err.Error()}
	}
	if rec.kind != recordSnapshot || rec.size != len(raw) {
		return s, ErrCorrupt{File: name, Reason: "not one snapshot"}
	}
	if err := decoding.Unmarshal(rec.body, &s); err != nil {
		return s, ErrCorrupt{File: name, Reason: err.Error()}
	}
	return s, nil
}
