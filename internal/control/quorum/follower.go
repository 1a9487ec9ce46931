package quorum

// receiveAppend takes in the leader's entries where they join this log.
func (m *Machine) receiveAppend(msg Message, body Append) {
	if !m.mayAppend(body.Entries) {
		return
	}
	last := body.PrevIndex + Index(len(body.Entries))
	if body.PrevIndex < m.commit {
		// What is committed here equals the leader's log.
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
		m.sendDurable(m.to(msg, AppendReply{Rejected: true, Hint: m.hint(body.PrevIndex), Sent: body.Sent}))
		return
	}
	m.takeIn(body.Entries)
	m.acknowledge(msg, body, last)
}

func (m *Machine) acknowledge(msg Message, body Append, match Index) {
	m.commitTo(min(body.Commit, match))
	m.sendDurable(m.to(msg, AppendReply{Match: match, Sent: body.Sent}))
}

// hint returns where the leader should look for a common entry: before the whole
// term that conflicts at index.
func (m *Machine) hint(index Index) Index {
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

// takeIn appends what is new, and drops what conflicts with it. Entries that are
// there already stay, so that a late message never shortens the log.
func (m *Machine) takeIn(entries []Entry) {
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
		m.observe(entries[i:])
		return
	}
}

func (m *Machine) receiveHeartbeat(msg Message, body Heartbeat) {
	m.commitTo(body.Commit)
	m.send(m.to(msg, HeartbeatReply{Sent: body.Sent}))
}

// receiveChunk gathers a snapshot and installs it when whole.
func (m *Machine) receiveChunk(msg Message, body Chunk) {
	meta := body.Snapshot
	if !m.sameHosts(meta.Membership.Founding) {
		return
	}
	if term, known := m.log.term(meta.Index); meta.Index <= m.commit || (known && term == meta.Term) {
		// The log holds what the snapshot stands for and perhaps more, which stays.
		m.commitTo(meta.Index)
		m.incoming = incomingSnapshot{}
		m.sendDurable(m.to(msg, AppendReply{Match: meta.Index, Sent: body.Sent}))
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
		m.sendDurable(m.to(msg, ChunkReply{Index: meta.Index, Next: uint64(len(in.data)), Sent: body.Sent}))
		return
	}
	meta.Data = in.data
	m.incoming = incomingSnapshot{}
	m.install(meta)
	m.sendDurable(m.to(msg, AppendReply{Match: meta.Index, Sent: body.Sent}))
}

// install replaces the log by a snapshot.
func (m *Machine) install(s Snapshot) {
	m.snapshot = s
	m.log.reset(s)
	m.commit, m.applied = s.Index, s.Index
	m.writes.entries, m.writes.uncommitted = nil, 0
	m.writes.snapshot, m.writes.reset = &m.snapshot, true
	m.emit(Restore{Snapshot: s})
	if m.hard.Admitted && s.Membership.Current[m.self] != m.hard.Generation {
		m.expel()
	}
	m.checkAdmission()
}
