package journal

import (
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/quorum"
)

// replay rebuilds what a journal holds from its segments, in order.
type replay struct {
	hard    quorum.HardState
	entries []quorum.Entry
	// first is the index of entries[0], or the next index if there are none; 0 means
	// unknown.
	first quorum.Index
	torn  int
}

func (r *replay) next() quorum.Index { return r.first + quorum.Index(len(r.entries)) }

// segment replays one file. Only the last one may end in a torn record.
func (r *replay) segment(file string, sequence uint64, raw []byte, last bool) error {
	for offset := 0; offset < len(raw); {
		rec, err := decodeRecord(raw[offset:])
		if errors.Is(err, errTorn) && last {
			r.torn = len(raw) - offset
			return nil
		}
		if err == nil {
			err = r.record(rec, sequence, offset == 0)
		}
		if err != nil {
			return ErrCorrupt{File: file, Offset: offset, Reason: err.Error()}
		}
		offset += rec.size
	}
	return nil
}

func (r *replay) record(rec record, sequence uint64, opens bool) error {
	if opens != (rec.kind == recordSegment) {
		return errors.New("segment header is missing or misplaced")
	}
	switch rec.kind {
	case recordSegment:
		var header segmentHeader
		if err := decoding.Unmarshal(rec.body, &header); err != nil {
			return err
		}
		if header.Sequence != sequence {
			return errors.Errorf("segment %d stands in the place of %d", header.Sequence, sequence)
		}
		if header.Restart {
			r.entries, r.first = nil, header.Index+1
		}
		return nil
	case recordWrite:
		var w write
		if err := decoding.Unmarshal(rec.body, &w); err != nil {
			return err
		}
		return r.write(w)
	case recordSnapshot:
		return errors.New("snapshot in a segment")
	default:
		return errors.Errorf("unknown record kind %d", rec.kind)
	}
}

// restarts reports whether a segment voids those before it.
func restarts(raw []byte) bool {
	rec, err := decodeRecord(raw)
	if err != nil || rec.kind != recordSegment {
		return false
	}
	var header segmentHeader
	return decoding.Unmarshal(rec.body, &header) == nil && header.Restart
}

func (r *replay) write(w write) error {
	if w.Hard != nil {
		r.hard = *w.Hard
	}
	for _, e := range w.Entries {
		if err := r.entry(e); err != nil {
			return err
		}
	}
	return nil
}

// entry adds an entry, in place of those from its index on.
func (r *replay) entry(e quorum.Entry) error {
	if r.first == 0 || (len(r.entries) == 0 && e.Index > r.first) {
		r.first = e.Index
	}
	if e.Index > r.next() {
		return errors.Errorf("entry %d follows entry %d", e.Index, r.next()-1)
	}
	if e.Index < r.first {
		r.entries, r.first = nil, e.Index
	}
	r.entries = append(r.entries[:e.Index-r.first], e)
	return nil
}

// recoveredState joins the entries to the snapshot. Entries that the snapshot does not
// continue into are those that it replaced.
func (r *replay) recoveredState(s quorum.Snapshot) (quorum.RecoveredState, error) {
	memory := quorum.RecoveredState{Hard: r.hard, Snapshot: s}
	if len(r.entries) == 0 || r.next() <= s.Index {
		return memory, nil
	}
	if r.first > s.Index+1 {
		return memory, errors.Errorf("entries start at %d behind a snapshot at %d", r.first, s.Index)
	}
	if s.Index >= r.first && r.entries[s.Index-r.first].Term != s.Term {
		return memory, nil
	}
	memory.Entries = append(memory.Entries, r.entries[s.Index+1-r.first:]...)
	return memory, nil
}
