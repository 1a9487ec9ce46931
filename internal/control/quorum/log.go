package quorum

// entryLog holds the entries behind a snapshot in memory.
type entryLog struct {
	// prevIndex and prevTerm are those of the entry before the first held one.
	prevIndex Index
	prevTerm  Term
	entries   []Entry
	// base is the membership at prevIndex, and changes those in entries.
	base    *Membership
	changes []membershipChange
}

type membershipChange struct {
	index      Index
	membership Membership
}

func newEntryLog(memory Memory) entryLog {
	l := entryLog{}
	if memory.Snapshot.Index > 0 {
		l.reset(memory.Snapshot)
	}
	l.append(memory.Entries)
	return l
}

// reset drops all entries in favour of a snapshot.
func (l *entryLog) reset(s Snapshot) {
	*l = entryLog{prevIndex: s.Index, prevTerm: s.Term, base: &s.Membership}
}

func (l *entryLog) last() Index { return l.prevIndex + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	if len(l.entries) == 0 {
		return l.prevTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at i, if it is known.
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

// batch returns entries from first on, up to limit bytes but at least one.
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
	return l.slice(first, last), bytes
}

// append adds entries behind the last.
func (l *entryLog) append(entries []Entry) {
	for _, e := range entries {
		if e.Kind == EntryMembership && e.Membership != nil {
			l.changes = append(l.changes, membershipChange{index: e.Index, membership: *e.Membership})
		}
	}
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from first on. Slices given out before stay whole.
func (l *entryLog) truncate(first Index) {
	keep := first - l.prevIndex - 1
	l.entries = l.entries[:keep:keep]
	for len(l.changes) > 0 && l.changes[len(l.changes)-1].index >= first {
		l.changes = l.changes[: len(l.changes)-1 : len(l.changes)-1]
	}
}

// compact forgets the entries up to last.
func (l *entryLog) compact(last Index) {
	if last <= l.prevIndex {
		return
	}
	term, _ := l.term(last)
	l.base = l.membershipAt(last)
	for len(l.changes) > 0 && l.changes[0].index <= last {
		l.changes = l.changes[1:]
	}
	l.entries = append([]Entry(nil), l.entries[last-l.prevIndex:]...)
	l.prevIndex, l.prevTerm = last, term
}

// membershipAt returns the membership in force at i, or nil before the founding.
func (l *entryLog) membershipAt(i Index) *Membership {
	for k := len(l.changes) - 1; k >= 0; k-- {
		if l.changes[k].index <= i {
			return &l.changes[k].membership
		}
	}
	return l.base
}

// membership returns the latest membership, committed or not.
func (l *entryLog) membership() *Membership { return l.membershipAt(l.last()) }

// changing reports whether a membership entry stands behind i.
func (l *entryLog) changing(i Index) bool {
	return len(l.changes) > 0 && l.changes[len(l.changes)-1].index > i
}

// upToDate reports whether a log that ends so is at least as complete as this one.
func (l *entryLog) upToDate(index Index, term Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
