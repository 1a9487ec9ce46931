package quorum

// receiveAppend appends the leader's entries if this log holds the entry before them, and
// rejects them otherwise.
func (m *Node) receiveAppend(msg Message, body Append) {
	if !m.mayAppend(body.Entries) {
		return
	}
	last := body.PrevIndex + Index(len(body.Entries))
	if body.PrevIndex < m.commit {
		// Committed entries are equal to the leader's, so they can be skipped.
		skip := min(m.commit-body.PrevIndex, Index(len(body.Entries)))
		body.PrevIndex += skip
		body.Entries = body.Entries[skip:]
		if len(body.Entries) == 0 {
			m.acknowledge(msg, body, max(last, min(body.Commit, m.commit)))
			return
		}
		body.PrevTerm, _ = m.log.term(body.PrevIndex)
	}
	if term, known := m.log.term(body.PrevIndex); !known || term != body.PrevTerm {
		m.sendDurable(m.reply(msg, AppendReply{Rejected: true, Hint: m.conflictHint(body.PrevIndex), Sent: body.Sent}))
		return
	}
	m.appendNew(body.Entries)
	m.acknowledge(msg, body, last)
}

func (m *Node) acknowledge(msg Message, body Append, match Index) {
	m.commitTo(min(body.Commit, match))
	m.sendDurable(m.reply(msg, AppendReply{Match: match, Sent: body.Sent}))
}

// conflictHint returns the index at which the leader should look for a common entry next. It
// skips all entries of the term that conflicts at index.
func (m *Node) conflictHint(index Index) Index {
	if index > m.log.last() {
		return m.log.last()
	}
	conflict, _ := m.log.term(index)
	for index > m.commit+1 {
		term, known := m.log.term(index - 1)
		if !known || term != conflict {
			break
		}
		index--
	}
	return max(index, 1) - 1
}

// appendNew appends the entries that the log does not hold yet and drops those that conflict
// with them. Entries that are already there stay, so a delayed message never shortens the log.
func (m *Node) appendNew(entries []Entry) {
	for i, e := range entries {
		term, known := m.log.term(e.Index)
		if known && term == e.Term {
			continue
		}
		if known {
			m.log.truncate(e.Index)
		}
		m.log.append(entries[i:])
		m.writes.entries = append(m.writes.entries, entries[i:]...)
		m.observeMemberships(entries[i:])
		return
	}
}

func (m *Node) receiveHeartbeat(msg Message, body Heartbeat) {
	m.commitTo(body.Commit)
	m.send(m.reply(msg, HeartbeatReply{Sent: body.Sent}))
}

// receiveChunk collects the chunks of a snapshot and installs it once it is complete.
func (m *Node) receiveChunk(msg Message, body SnapshotChunk) {
	meta := body.Snapshot
	if !m.sameHosts(meta.Membership.Initial) {
		return
	}
	if term, known := m.log.term(meta.Index); meta.Index <= m.commit || (known && term == meta.Term) {
		// The log already holds the entries that the snapshot covers. Entries after them stay.
		m.commitTo(meta.Index)
		m.incoming = incomingSnapshot{}
		m.sendDurable(m.reply(msg, AppendReply{Match: meta.Index, Sent: body.Sent}))
		return
	}
	in := &m.incoming
	if in.term != m.hard.Term || in.meta.Index != meta.Index {
		*in = incomingSnapshot{term: m.hard.Term, meta: meta}
	}
	if body.Offset == uint64(len(in.data)) {
		in.data = append(in.data, body.Data...)
	}
	if uint64(len(in.data)) < body.Total {
		m.sendDurable(m.reply(msg, SnapshotChunkReply{Index: meta.Index, Next: uint64(len(in.data)), Sent: body.Sent}))
		return
	}
	meta.Data = in.data
	m.incoming = incomingSnapshot{}
	m.installSnapshot(meta)
	m.sendDurable(m.reply(msg, AppendReply{Match: meta.Index, Sent: body.Sent}))
}

// installSnapshot replaces the log with a snapshot.
func (m *Node) installSnapshot(s Snapshot) {
	m.snapshot = s
	m.log.reset(s)
	m.commit, m.applied = s.Index, s.Index
	m.writes.entries, m.writes.uncommittedBytes = nil, 0
	m.writes.snapshot, m.writes.reset = &m.snapshot, true
	m.emit(Restore{Snapshot: s})
	if m.hard.Admitted && s.Membership.Current[m.self] != m.hard.Generation {
		m.expel()
	}
	m.checkAdmission()
}
