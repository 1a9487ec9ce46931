package journal

import (
	"slices"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// entriesPerRecord is the largest number of entries per record when entries are copied to a new
// segment.
const entriesPerRecord = 4096

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
	if err == nil {
		j.buf = buf
	}
	return err
}

func (j *Journal) currentSegment() *segment { return &j.segments[len(j.segments)-1] }

// sync writes the buffer to the current segment and waits until it is on disk.
func (j *Journal) sync() error {
	if len(j.buf) == 0 {
		return nil
	}
	name := j.segmentName(j.currentSegment().sequence)
	n, err := j.activeFile.Write(j.buf)
	j.activeBytes += n
	j.buf = j.buf[:0]
	if err != nil {
		return classifyError("write", name, err)
	}
	return classifyError("sync", name, j.activeFile.Sync())
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
	for part := range slices.Chunk(entries, entriesPerRecord) {
		if err := j.bufferWrite(nil, part); err != nil {
			return err
		}
	}
	if err := j.sync(); err != nil {
		return err
	}
	if err := j.fileSystem.Rename(temporary, name); err != nil {
		return classifyError("rename", temporary, err)
	}
	return j.syncFolder()
}

func (j *Journal) syncFolder() error {
	return classifyError("sync folder", j.folder, j.fileSystem.SyncFolder(j.folder))
}
