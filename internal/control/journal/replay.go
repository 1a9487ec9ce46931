package journal

import (
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// replay rebuilds the hard state and the entries from the segments of a journal, in order.
type replay struct {
	hard    quorum.HardState
	entries []quorum.Entry
	// firstIndex is the index of entries[0], or the next index if there are none; 0 means unknown.
	firstIndex quorum.Index
	tornBytes  int
	// covered is the index of the snapshot. The commands of the entries up to it are dropped.
	covered quorum.Index
}

func (r *replay) nextIndex() quorum.Index { return r.firstIndex + quorum.Index(len(r.entries)) }

// addSegment replays one file. Only the last file may end in a torn record.
func (r *replay) addSegment(file string, sequence uint64, raw []byte, last bool) error {
	for offset := 0; offset < len(raw); {
		rec, err := decodeRecord(raw[offset:])
		if errors.Is(err, errTorn) && last {
			r.tornBytes = len(raw) - offset
			return nil
		}
		if err == nil {
			err = r.addRecord(rec, sequence, offset == 0)
		}
		if err != nil {
			return ErrCorrupt{File: file, Offset: offset, Reason: err.Error()}
		}
		offset += rec.size
	}
	return nil
}

// addRecord replays one record of the segment file with that sequence. first is true for the
// file's first record, which must be the segment header.
func (r *replay) addRecord(rec record, sequence uint64, first bool) error {
	if first != (rec.kind == recordSegment) {
		return errors.New("segment header is missing or misplaced")
	}
	switch rec.kind {
	case recordSegment:
		var header segmentHeader
		if err := decMode.Unmarshal(rec.body, &header); err != nil {
			return err
		}
		if header.Sequence != sequence {
			return errors.Errorf("header of segment %d in the file of segment %d", header.Sequence, sequence)
		}
		if header.Reset {
			r.entries, r.firstIndex = nil, header.Index+1
		}
		return nil
	case recordWrite:
		var w writeBody
		if err := decMode.Unmarshal(rec.body, &w); err != nil {
			return err
		}
		return r.addWrite(w)
	case recordSnapshot:
		return errors.New("snapshot record in a segment")
	default:
		return errors.Errorf("unknown record kind %d", rec.kind)
	}
}

// resetsLog reports whether the segment with content raw voids those before it.
func resetsLog(raw []byte) bool {
	rec, err := decodeRecord(raw)
	if err != nil || rec.kind != recordSegment {
		return false
	}
	var header segmentHeader
	return decMode.Unmarshal(rec.body, &header) == nil && header.Reset
}

func (r *replay) addWrite(w writeBody) error {
	if w.Hard != nil {
		r.hard = *w.Hard
	}
	for _, e := range w.Entries {
		if err := r.addEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// addEntry adds an entry. It replaces the entries from its index on.
func (r *replay) addEntry(e quorum.Entry) error {
	if r.firstIndex == 0 || (len(r.entries) == 0 && e.Index > r.firstIndex) {
		r.firstIndex = e.Index
	}
	if e.Index > r.nextIndex() {
		return errors.Errorf("entry %d follows entry %d", e.Index, r.nextIndex()-1)
	}
	if e.Index < r.firstIndex {
		r.entries, r.firstIndex = nil, e.Index
	}
	if e.Index <= r.covered {
		e.Command = nil
	}
	r.entries = append(r.entries[:e.Index-r.firstIndex], e)
	return nil
}

// recoveredState combines the entries with the snapshot and drops those that the snapshot covers.
// If the entry at the snapshot's index is of another term, the snapshot replaced the whole log,
// and all entries are dropped.
func (r *replay) recoveredState(s quorum.Snapshot) (quorum.RecoveredState, error) {
	state := quorum.RecoveredState{Hard: r.hard, Snapshot: s}
	if len(r.entries) == 0 || r.nextIndex() <= s.Index {
		return state, nil
	}
	if r.firstIndex > s.Index+1 {
		return state, errors.Errorf("entries start at %d after a snapshot at %d", r.firstIndex, s.Index)
	}
	if s.Index >= r.firstIndex && r.entries[s.Index-r.firstIndex].Term != s.Term {
		return state, nil
	}
	state.Entries = append(state.Entries, r.entries[s.Index+1-r.firstIndex:]...)
	return state, nil
}
