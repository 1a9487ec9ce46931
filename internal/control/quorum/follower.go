package quorum

// receiveAppend appends the leader's entries if this log holds the entry before them, and
// rejects them otherwise.
func (n *Node) receiveAppend(msg Message, body Append) {
	if !n.mayAppend(body.Entries) {
		return
	}
	last := body.PrevIndex + Index(len(body.Entries))
	if body.PrevIndex < n.commit {
		// Committed entries are equal to the leader's, so they can be skipped.
		skip := min(n.commit-body.PrevIndex, Index(len(body.Entries)))
		body.PrevIndex += skip
		body.Entries = body.Entries[skip:]
		if len(body.Entries) == 0 {
			n.acknowledge(msg, body, max(last, min(body.Commit, n.commit)))
			return
		}
		body.PrevTerm, _ = n.log.term(body.PrevIndex)
	}
	if term, known := n.log.term(body.PrevIndex); !known || term != body.PrevTerm {
		n.sendDurable(n.reply(msg, AppendReply{Rejected: true, Hint: n.conflictHint(body.PrevIndex), Sent: body.Sent}))
		return
	}
	n.appendNew(body.Entries)
	n.acknowledge(msg, body, last)
}

func (n *Node) acknowledge(msg Message, body Append, match Index) {
	n.commitTo(min(body.Commit, match))
	n.sendDurable(n.reply(msg, AppendReply{Match: match, Sent: body.Sent}))
}

// conflictHint returns the index at which the leader should look for a common entry next. It
// skips all entries of the term that conflicts at index.
func (n *Node) conflictHint(index Index) Index {
	if index > n.log.last() {
		return n.log.last()
	}
	conflict, _ := n.log.term(index)
	for index > n.commit+1 {
		term, known := n.log.term(index - 1)
		if !known || term != conflict {
			break
		}
		index--
	}
	return max(index, 1) - 1
}

// appendNew appends the entries that the log does not hold yet and drops those that conflict
// with them. Entries that are already there stay, so a delayed message never shortens the log.
func (n *Node) appendNew(entries []Entry) {
	for i, e := range entries {
		term, known := n.log.term(e.Index)
		if known && term == e.Term {
			continue
		}
		if known {
			n.log.truncate(e.Index)
		}
		n.log.append(entries[i:])
		n.writes.entries = append(n.writes.entries, entries[i:]...)
		n.observeMemberships(entries[i:])
		return
	}
}

func (n *Node) receiveHeartbeat(msg Message, body Heartbeat) {
	n.commitTo(body.Commit)
	n.send(n.reply(msg, HeartbeatReply{Sent: body.Sent}))
}

// receiveChunk collects the chunks of a snapshot and installs it once it is complete.
func (n *Node) receiveChunk(msg Message, body SnapshotChunk) {
	meta := body.Snapshot
	if !n.sameHosts(meta.Membership.Initial) {
		return
	}
	if term, known := n.log.term(meta.Index); meta.Index <= n.commit || (known && term == meta.Term) {
		// The log already holds the entries that the snapshot covers. Entries after them stay.
		n.commitTo(meta.Index)
		n.incoming = incomingSnapshot{}
		n.sendDurable(n.reply(msg, AppendReply{Match: meta.Index, Sent: body.Sent}))
		return
	}
	in := &n.incoming
	if in.term != n.hard.Term || in.meta.Index != meta.Index {
		*in = incomingSnapshot{term: n.hard.Term, meta: meta}
	}
	if body.Offset == uint64(len(in.data)) {
		in.data = append(in.data, body.Data...)
	}
	if uint64(len(in.data)) < body.Total {
		n.sendDurable(n.reply(msg, SnapshotChunkReply{Index: meta.Index, Next: uint64(len(in.data)), Sent: body.Sent}))
		return
	}
	meta.Data = in.data
	n.incoming = incomingSnapshot{}
	n.installSnapshot(meta)
	n.sendDurable(n.reply(msg, AppendReply{Match: meta.Index, Sent: body.Sent}))
}

// installSnapshot replaces the log with a snapshot.
func (n *Node) installSnapshot(s Snapshot) {
	n.snapshot = s
	n.log.reset(s)
	n.commit, n.applied = s.Index, s.Index
	n.writes.entries, n.writes.uncommittedBytes = nil, 0
	n.writes.snapshot, n.writes.reset = &s, true
	n.emit(Restore{Snapshot: s})
	if n.hard.Admitted && s.Membership.Current[n.self] != n.hard.Generation {
		n.expel()
	}
	n.checkAdmission()
}
