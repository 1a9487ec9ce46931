package quorum

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// becomeLeader makes this host the leader after an election. It appends a no-op entry of the
// new term, which commits the entries of earlier terms along with it.
func (m *Node) becomeLeader(now time.Time) {
	m.startLeading(now)
	m.appendAsLeader(Entry{Kind: EntryNoop})
	m.termStart = m.log.last()
	m.sendEntriesToAll(now)
}

func (m *Node) startLeading(now time.Time) {
	m.resetRole()
	m.role, m.leader = RoleLeader, m.self
	m.timerDue = now
	m.writes.uncommittedBytes = 0
	for _, e := range m.log.slice(m.commit+1, m.log.last()) {
		m.writes.uncommittedBytes += e.size()
	}
	m.progress = map[host.ID]*progress{}
	membership := m.log.membership()
	for _, id := range m.peers {
		p := &progress{generation: membership.Current[id], lastReply: now}
		p.becomeProbe(m.log.last() + 1)
		m.progress[id] = p
	}
}

// leaderTick is the periodic work of a leader. It steps down without a majority, gives up a
// transfer that took too long, and sends heartbeats and outstanding entries.
func (m *Node) leaderTick(now time.Time) {
	m.timerDue = now.Add(m.timing.HeartbeatInterval)
	if !m.majorityActive(now) {
		m.becomeFollower(now, m.hard.Term, "")
		return
	}
	if m.transferee != "" && !now.Before(m.transferDeadline) {
		// TimeoutNow may still arrive at the transferee, so only a new term gives a lease again.
		m.startPreVote(now)
		return
	}
	for _, id := range m.peers {
		p := m.progress[id]
		m.expireInflight(now, p)
		m.sendEntries(now, id)
		m.send(m.newMessage(id, p.generation, Heartbeat{
			Commit: min(m.commit, p.match), Sent: m.toLeaderTime(now),
		}))
	}
}

// expireInflight stops waiting for replies that are overdue, so that the next sendEntries
// sends the messages again.
func (m *Node) expireInflight(now time.Time, p *progress) {
	if p.awaitingReply && now.Sub(p.sentAt) >= m.timing.ElectionTimeout/2 {
		p.awaitingReply = false
	}
	if p.state == progressReplicate && len(p.inflight) > 0 && now.Sub(p.advancedAt) >= m.timing.ElectionTimeout {
		p.becomeProbe(p.match + 1)
	}
}

// majorityActive reports whether a majority has answered within the election timeout. A leader
// for which it is false steps down (check-quorum).
func (m *Node) majorityActive(now time.Time) bool {
	replies := []time.Time{now}
	for _, p := range m.progress {
		replies = append(replies, p.lastReply)
	}
	return now.Sub(m.majorityTime(replies)) < m.timing.ElectionTimeout
}

// hasLease reports whether no other host can have been elected yet. A majority has answered a
// message sent at majorityTime(sendTimes) or later, and each of these hosts supports no other
// candidate for an election timeout after it received that message.
func (m *Node) hasLease(now time.Time) bool {
	if m.leaseRevoked {
		return false
	}
	sendTimes := []time.Time{now}
	for _, p := range m.progress {
		sendTimes = append(sendTimes, p.ackedSendTime)
	}
	return now.Before(m.majorityTime(sendTimes).Add(m.timing.lease()))
}

// majorityTime returns the latest time that a majority of times has reached.
func (m *Node) majorityTime(times []time.Time) time.Time {
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[m.majority()-1]
}

func (m *Node) read(id uint64) {
	if m.role != RoleLeader {
		m.emit(Rejected{ID: id, Reason: ReasonNotLeader, Leader: m.leader})
		return
	}
	m.pendingReads = append(m.pendingReads, id)
}

// serveReads answers the pending reads while the lease holds and an entry of this term is
// committed.
func (m *Node) serveReads(now time.Time) {
	if len(m.pendingReads) == 0 || m.role != RoleLeader || m.commit < m.termStart || !m.hasLease(now) {
		return
	}
	for _, id := range m.pendingReads {
		m.emit(ReadReady{ID: id, Index: m.commit})
	}
	m.pendingReads = nil
}

// advanceCommit commits the entries that a majority of admitted disks holds, provided that the
// last of them is of the current term (Ongaro 2014, section 3.6.2).
func (m *Node) advanceCommit(now time.Time) {
	matches := []Index{m.writes.stableIndex}
	for _, p := range m.progress {
		if p.admitted {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < m.majority() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-m.majority()]
	if term, known := m.log.term(index); !known || term != m.hard.Term || index <= m.commit {
		return
	}
	m.commitTo(index)
	m.sendEntriesToAll(now)
}

// receiveAppendReply updates a peer's progress from its reply and sends what follows.
func (m *Node) receiveAppendReply(now time.Time, msg Message, body AppendReply) {
	p := m.recordReply(now, msg, body.Sent)
	if p == nil {
		return
	}
	p.awaitingReply = false
	if body.Rejected {
		if p.state != progressSnapshot && body.Hint+1 < p.next {
			p.becomeProbe(body.Hint + 1)
		}
		m.sendEntries(now, msg.From)
		return
	}
	if body.Match > p.match || p.state != progressReplicate {
		p.advancedAt = now
	}
	p.match = max(p.match, body.Match)
	p.releaseInflight(p.match)
	if p.state != progressReplicate {
		p.becomeReplicate()
	}
	m.advanceCommit(now)
	m.sendEntries(now, msg.From)
	m.completeTransfer()
}

func (m *Node) receiveHeartbeatReply(now time.Time, msg Message, body HeartbeatReply) {
	m.recordReply(now, msg, body.Sent)
}

func (m *Node) receiveChunkReply(now time.Time, msg Message, body SnapshotChunkReply) {
	p := m.recordReply(now, msg, body.Sent)
	if p == nil || p.state != progressSnapshot || body.Index != p.snapshot.Index {
		return
	}
	p.awaitingReply, p.offset = false, min(body.Next, uint64(len(p.snapshot.Data)))
	m.sendEntries(now, msg.From)
}

// recordReply records that a peer has answered a message sent at sent. It returns the sender's
// progress, or nil if this host does not lead or the message is not from the disk that the
// leader's log names.
func (m *Node) recordReply(now time.Time, msg Message, sent LeaderTime) *progress {
	if m.role != RoleLeader {
		return nil
	}
	p := m.progress[msg.From]
	if p == nil {
		return nil
	}
	if p.generation != msg.Generation {
		m.replaceDisk(now, msg, sent)
		return nil
	}
	p.admitted = msg.Admitted
	if !msg.Admitted {
		return p
	}
	p.lastReply = now
	if at := m.fromLeaderTime(sent); at.After(p.ackedSendTime) {
		p.ackedSendTime = at
	}
	return p
}

// sendEntriesToAll sends each peer the entries that it lacks.
func (m *Node) sendEntriesToAll(now time.Time) {
	for _, id := range m.peers {
		m.sendEntries(now, id)
	}
}

// sendEntries sends a peer the entries or the snapshot that it lacks, as far as flow control
// allows.
func (m *Node) sendEntries(now time.Time, id host.ID) {
	p := m.progress[id]
	if p == nil {
		return
	}
	if p.state != progressSnapshot && p.next <= m.log.prevIndex {
		p.becomeProbe(p.next)
		p.state, p.snapshot = progressSnapshot, m.snapshot
	}
	switch p.state {
	case progressProbe:
		if !p.awaitingReply {
			m.sendAppend(now, id, p)
			p.awaitingReply = true
		}
	case progressReplicate:
		for p.next <= m.log.last() && !p.inflightFull() {
			if len(p.inflight) == 0 {
				p.advancedAt = now
			}
			last, bytes := m.sendAppend(now, id, p)
			p.addInflight(last, bytes)
		}
	case progressSnapshot:
		if !p.awaitingReply {
			m.sendChunk(now, id, p)
			p.awaitingReply = true
		}
	}
}

func (m *Node) sendAppend(now time.Time, id host.ID, p *progress) (Index, int) {
	entries, bytes := m.log.batch(p.next, maxBatchBytes)
	prevTerm, _ := m.log.term(p.next - 1)
	p.sentAt = now
	m.send(m.newMessage(id, p.generation, Append{
		PrevIndex: p.next - 1, PrevTerm: prevTerm, Commit: m.commit,
		Entries: entries, Sent: m.toLeaderTime(now),
	}))
	return p.next - 1 + Index(len(entries)), bytes
}

func (m *Node) sendChunk(now time.Time, id host.ID, p *progress) {
	total := uint64(len(p.snapshot.Data))
	end := min(p.offset+chunkBytes, total)
	meta := p.snapshot
	meta.Data = nil
	p.sentAt = now
	m.send(m.newMessage(id, p.generation, SnapshotChunk{
		Snapshot: meta, Offset: p.offset, Total: total,
		Data: p.snapshot.Data[p.offset:end], Sent: m.toLeaderTime(now),
	}))
}

// startTransfer picks the peer that lags least as the next leader. From then on the leader
// accepts no commands, and it hands over once that peer holds the whole log.
func (m *Node) startTransfer(now time.Time) {
	if m.role != RoleLeader || m.transferee != "" {
		return
	}
	var best *progress
	for _, id := range m.peers {
		p := m.progress[id]
		alive := p.admitted && now.Sub(p.lastReply) < m.timing.ElectionTimeout
		if alive && (best == nil || p.match > best.match) {
			best, m.transferee = p, id
		}
	}
	m.transferDeadline = now.Add(m.timing.ElectionTimeout)
	m.completeTransfer()
}

func (m *Node) completeTransfer() {
	p := m.progress[m.transferee]
	if p == nil || m.leaseRevoked || p.match != m.log.last() {
		return
	}
	m.leaseRevoked = true
	m.send(m.newMessage(m.transferee, p.generation, TimeoutNow{}))
}
