package journal

import (
	"github.com/egretreach/egretreach/internal/control/quorum"
)

// entriesPerRecord and bytesPerRecord limit the records when entries are copied to a new segment. A larger entry
// has a record of its own.
const (
	entriesPerRecord = 4096
	bytesPerRecord   = 1 << 20
)

// bufferBytes is the size from which the buffer is written to the file, before the sync. A buffer that has grown beyond twice this size
// is not kept.
const bufferBytes = 1 << 20

// Write makes writes durable, in order, with as few syncs as possible. It returns ErrDiskFull or
// ErrIO if the file system fails, and ErrFailedBefore for every call after one that failed. After
// an error it is unknown which of the writes have reached the disk. Each of them is there
// completely or not at all, except that a snapshot that replaces the log may be there without the
// hard state that came with it.
func (j *Journal) Write(writes []quorum.Persist) error {
	if j.failure != nil {
		return ErrFailedBefore{Cause: j.failure}
	}
	err := j.write(writes)
	if err != nil {
		j.failure = err
	}
	return err
}

func (j *Journal) write(writes []quorum.Persist) error {
	for _, w := range writes {
		if err := j.writeOne(w); err != nil {
			return err
		}
	}
	if err := j.sync(); err != nil {
		return err
	}
	if j.activeBytes < segmentBytes {
		return nil
	}
	return j.startSegment(j.currentSegment().sequence+1, nil, nil)
}

// writeOne buffers one write, and saves its snapshot if it has one. The hard state and entries
// that come with a snapshot that replaces the log are written after the snapshot, because the
// hard state may depend on it.
func (j *Journal) writeOne(w quorum.Persist) error {
	if w.Hard != nil {
		j.hard = *w.Hard
	}
	if !w.Reset {
		if err := j.bufferWrite(w.Hard, w.Entries); err != nil {
			return err
		}
	}
	if w.Snapshot == nil {
		return nil
	}
	return j.saveSnapshot(w)
}

// bufferWrite appends one write to the buffer.
func (j *Journal) bufferWrite(hard *quorum.HardState, entries []quorum.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if err := j.bufferRecord(recordWrite, writeBody{Hard: hard, Entries: entries}); err != nil {
		return err
	}
	s := j.currentSegment()
	for _, e := range entries {
		s.lastIndex = max(s.lastIndex, e.Index)
	}
	return nil
}

func (j *Journal) bufferRecord(kind recordKind, value any) error {
	buf, err := appendRecord(j.buf, kind, value)
	if err != nil {
		return err
	}
	j.buf = buf
	if len(j.buf) < bufferBytes {
		return nil
	}
	return j.flush()
}

func (j *Journal) currentSegment() *segment { return &j.segments[len(j.segments)-1] }

// flush writes the buffer to the current segment. It is on disk after the next sync.
func (j *Journal) flush() error {
	n, err := j.activeFile.Write(j.buf)
	j.activeBytes += n
	j.unsynced = true
	j.buf = j.buf[:0]
	if cap(j.buf) > 2*bufferBytes {
		j.buf = nil
	}
	return classifyError("write", j.segmentName(j.currentSegment().sequence), err)
}

// sync writes the buffer to the current segment and waits until all of it is on disk.
func (j *Journal) sync() error {
	if len(j.buf) > 0 {
		if err := j.flush(); err != nil {
			return err
		}
	}
	if !j.unsynced {
		return nil
	}
	j.unsynced = false
	return classifyError("sync", j.segmentName(j.currentSegment().sequence), j.activeFile.Sync())
}

// startSegment starts a new segment, which begins with the current hard state. The file gets its
// name only once these records are on disk. If resetIndex is set, the segment voids the entries of
// all earlier segments and contains entries, the first of which follows *resetIndex.
func (j *Journal) startSegment(sequence uint64, resetIndex *quorum.Index, entries []quorum.Entry) error {
	name := j.segmentName(sequence)
	temporary := name + temporarySuffix
	file, err := j.fileSystem.Create(temporary)
	if err != nil {
		return classifyError("create", temporary, err)
	}
	if j.activeFile != nil {
		if err := j.activeFile.Close(); err != nil {
			return classifyError("close", name, err)
		}
	}
	j.activeFile, j.activeBytes = file, 0
	if resetIndex != nil {
		j.segments = nil
	}
	j.segments = append(j.segments, segment{sequence: sequence})
	header := segmentHeader{Sequence: sequence}
	if resetIndex != nil {
		header.Reset, header.Index = true, *resetIndex
	}
	if err := j.bufferRecord(recordSegment, header); err != nil {
		return err
	}
	if err := j.bufferWrite(&j.hard, nil); err != nil {
		return err
	}
	for len(entries) > 0 {
		n := entriesOfRecord(entries)
		if err := j.bufferWrite(nil, entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	if err := j.sync(); err != nil {
		return err
	}
	if err := j.fileSystem.Rename(temporary, name); err != nil {
		return classifyError("rename", temporary, err)
	}
	return j.syncFolder()
}

// entriesOfRecord returns how many of the first entries share a record, at least one.
func entriesOfRecord(entries []quorum.Entry) int {
	bytes := 0
	for i, e := range entries {
		bytes += len(e.Command)
		if i > 0 && (i == entriesPerRecord || bytes > bytesPerRecord) {
			return i
		}
	}
	return len(entries)
}

func (j *Journal) syncFolder() error {
	return classifyError("sync folder", j.folder, j.fileSystem.SyncFolder(j.folder))
}
