package journal

import (
	"slices"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// entriesPerWrite bounds the records of a segment that repeats entries.
const entriesPerWrite = 4096

// Write makes writes durable, in order, with as few syncs as it can. After an error
// nothing more is taken, and what of writes has reached the disk is unknown. Each of
// them is there whole or not at all, but that a snapshot which replaces the log may
// be there without the hard state that came with it.
func (j *Journal) Write(writes []quorum.Persist) error {
	if j.failed != nil {
		return ErrFailedBefore{Cause: j.failed}
	}
	err := j.write(writes)
	if err != nil {
		j.failed = err
	}
	return err
}

func (j *Journal) write(writes []quorum.Persist) error {
	for _, w := range writes {
		if err := j.one(w); err != nil {
			return err
		}
	}
	if err := j.sync(); err != nil {
		return err
	}
	if j.bytes < segmentBytes {
		return nil
	}
	return j.begin(j.current().sequence+1, nil, nil)
}

// one takes one write. What comes with a snapshot that replaces the log goes behind
// the snapshot, since the hard state may rest on it.
func (j *Journal) one(w quorum.Persist) error {
	if w.Hard != nil {
		j.hard = *w.Hard
	}
	if !w.Reset {
		if err := j.buffer(w.Hard, w.Entries); err != nil {
			return err
		}
	}
	if w.Snapshot == nil {
		return nil
	}
	return j.saveSnapshot(w)
}

// buffer encodes one write behind those before it.
func (j *Journal) buffer(hard *quorum.HardState, entries []quorum.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := j.record(recordWrite, write{Hard: hard, Entries: entries}); err != nil {
		return err
	}
	s := j.current()
	for _, e := range entries {
		s.last = max(s.last, e.Index)
	}
	return nil
}

func (j *Journal) record(kind recordKind, value any) error {
	buf, err := appendRecord(j.buf, kind, value)
	if err == nil {
		j.buf = buf
	}
	return err
}

func (j *Journal) current() *segment { return &j.segments[len(j.segments)-1] }

// sync writes the buffer out and waits until it is on disk.
func (j *Journal) sync() error {
	if len(j.buf) == 0 {
		return nil
	}
	name := j.segmentName(j.current().sequence)
	n, err := j.active.Write(j.buf)
	j.bytes += n
	j.buf = j.buf[:0]
	if err != nil {
		return failure("write", name, err)
	}
	return failure("sync", name, j.active.Sync())
}

// begin starts a new segment that repeats the hard state. It has its name only once
// it is whole. With restart set, the
// segment also voids all entries before it, and entries follow *restart.
func (j *Journal) begin(sequence uint64, restart *quorum.Index, entries []quorum.Entry) error {
	name := j.segmentName(sequence)
	aside := name + asideSuffix
	file, err := j.files.Create(aside)
	if err != nil {
		return failure("create", aside, err)
	}
	if j.active != nil {
		if err := j.active.Close(); err != nil {
			return failure("close", name, err)
		}
	}
	j.active, j.bytes = file, 0
	if restart != nil {
		j.segments = nil
	}
	j.segments = append(j.segments, segment{sequence: sequence})
	header := segmentHeader{Sequence: sequence}
	if restart != nil {
		header.Restart, header.Index = true, *restart
	}
	if err := j.record(recordSegment, header); err != nil {
		return err
	}
	if err := j.buffer(&j.hard, nil); err != nil {
		return err
	}
	for part := range slices.Chunk(entries, entriesPerWrite) {
		if err := j.buffer(nil, part); err != nil {
			return err
		}
	}
	if err := j.sync(); err != nil {
		return err
	}
	if err := j.files.Rename(aside, name); err != nil {
		return failure("rename", aside, err)
	}
	return failure("sync folder", j.folder, j.files.SyncFolder(j.folder))
}
