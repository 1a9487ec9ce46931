package quorum

import "slices"

// entryLog holds entries in memory: those after a snapshot and the last few before it that
// are kept for lagging peers.
type entryLog struct {
	// prevIndex and prevTerm belong to the entry before the first one held.
	prevIndex Index
	prevTerm  Term
	entries   []Entry
	// bytes is the size of entries.
	bytes int
	// baseMembership is the membership at prevIndex; membershipChanges are those in entries.
	baseMembership    *Membership
	membershipChanges []membershipChange
}

type membershipChange struct {
	index      Index
	membership Membership
}

func newEntryLog(recovered RecoveredState) entryLog {
	l := entryLog{}
	if recovered.Snapshot.Index > 0 {
		l.reset(recovered.Snapshot)
	}
	l.append(recovered.Entries)
	return l
}

// reset replaces all entries with a snapshot.
func (l *entryLog) reset(s Snapshot) {
	*l = entryLog{prevIndex: s.Index, prevTerm: s.Term, baseMembership: &s.Membership}
}

func (l *entryLog) last() Index { return l.prevIndex + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	if len(l.entries) == 0 {
		return l.prevTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at i, and whether it is known.
func (l *entryLog) term(i Index) (Term, bool) {
	switch {
	case i == l.prevIndex:
		return l.prevTerm, true
	case i < l.prevIndex || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.prevIndex-1].Term, true
	}
}

// slice returns the entries from first to last, both included.
func (l *entryLog) slice(first, last Index) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.prevIndex-1, last-l.prevIndex
	return l.entries[from:to:to]
}

// batch returns a copy of the entries from first on that fit into limit bytes, at least one if there is
// any, and their size in bytes. A message that waits for a peer keeps only its own entries in memory.
func (l *entryLog) batch(first Index, limit int) ([]Entry, int) {
	bytes, last := 0, first-1
	for last < l.last() {
		size := l.entries[last-l.prevIndex].size()
		if bytes > 0 && bytes+size > limit {
			break
		}
		bytes += size
		last++
	}
	return slices.Clone(l.slice(first, last)), bytes
}

// append adds entries to the end of the log.
func (l *entryLog) append(entries []Entry) {
	for _, e := range entries {
		if e.Kind == EntryMembership && e.Membership != nil {
			l.membershipChanges = append(l.membershipChanges, membershipChange{index: e.Index, membership: *e.Membership})
		}
	}
	l.entries = append(l.entries, entries...)
	l.bytes += totalSize(entries)
}

// totalSize returns the size of entries in bytes.
func totalSize(entries []Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += e.size()
	}
	return bytes
}

// truncate drops the entries from first on. Slices returned earlier keep their content.
func (l *entryLog) truncate(first Index) {
	keep := first - l.prevIndex - 1
	l.bytes -= totalSize(l.entries[keep:])
	l.entries = l.entries[:keep:keep]
	for len(l.membershipChanges) > 0 && l.membershipChanges[len(l.membershipChanges)-1].index >= first {
		l.membershipChanges = l.membershipChanges[: len(l.membershipChanges)-1 : len(l.membershipChanges)-1]
	}
}

// compact drops the entries up to and including last.
func (l *entryLog) compact(last Index) {
	if last <= l.prevIndex {
		return
	}
	term, _ := l.term(last)
	l.baseMembership = l.membershipAt(last)
	for len(l.membershipChanges) > 0 && l.membershipChanges[0].index <= last {
		l.membershipChanges = l.membershipChanges[1:]
	}
	covered := last - l.prevIndex
	l.bytes -= totalSize(l.entries[:covered])
	l.entries = slices.Clone(l.entries[covered:])
	l.prevIndex, l.prevTerm = last, term
}

// droppable returns the index up to which entries may be dropped, so that of those that a snapshot covers at most maxEntries stay, with at
// most maxBytes bytes.
func (l *entryLog) droppable(snapshot, maxEntries Index, maxBytes int) Index {
	last, bytes := snapshot, 0
	for last > l.prevIndex && snapshot-last < maxEntries {
		bytes += l.entries[last-l.prevIndex-1].size()
		if bytes > maxBytes {
			break
		}
		last--
	}
	return last
}

// membershipAt returns the membership as of index i, or nil before the bootstrap.
func (l *entryLog) membershipAt(i Index) *Membership {
	for k := len(l.membershipChanges) - 1; k >= 0; k-- {
		if l.membershipChanges[k].index <= i {
			return &l.membershipChanges[k].membership
		}
	}
	return l.baseMembership
}

// membership returns the latest membership, committed or not.
func (l *entryLog) membership() *Membership { return l.membershipAt(l.last()) }

// hasMembershipAfter reports whether the log holds a membership entry after index i.
func (l *entryLog) hasMembershipAfter(i Index) bool {
	return len(l.membershipChanges) > 0 && l.membershipChanges[len(l.membershipChanges)-1].index > i
}

// upToDate reports whether a log whose last entry has this index and term is at least as
// up-to-date as this one (Ongaro 2014, section 3.6.1).
func (l *entryLog) upToDate(index Index, term Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
