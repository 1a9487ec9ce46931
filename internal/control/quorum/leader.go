package quorum

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// becomeLeader makes this host the leader after an election. It appends a no-op entry of the
// new term, which commits the entries of earlier terms along with it.
func (n *Node) becomeLeader(now time.Time) {
	n.startLeading(now)
	n.appendAsLeader(Entry{Kind: EntryNoop})
	n.termStart = n.log.last()
	n.sendEntriesToAll(now)
}

func (n *Node) startLeading(now time.Time) {
	n.resetRole()
	n.role, n.leader = RoleLeader, n.self
	n.timerDue = now
	n.writes.uncommittedBytes = totalSize(n.log.slice(n.commit+1, n.log.last()))
	n.progress, n.learners = map[host.ID]*progress{}, map[host.ID]*learner{}
	membership := n.log.membership()
	for _, id := range n.peers {
		p := &progress{generation: membership.Current[id], lastReply: n.lastSign(now, id)}
		p.becomeProbe(n.log.last() + 1)
		n.progress[id] = p
	}
	n.contactedBy = ""
}

// lastSign returns when a new leader takes a peer to have been reachable last. The peer that led right before it has been silent
// since its last message; of the others nothing is known.
func (n *Node) lastSign(now time.Time, id host.ID) time.Time {
	if id == n.contactedBy {
		return n.leaderContact
	}
	return now
}

// leaderTick is the periodic work of a leader. It steps down without a majority, aborts a
// transfer after its deadline, and otherwise sends heartbeats and outstanding entries.
func (n *Node) leaderTick(now time.Time) {
	n.timerDue = now.Add(n.timing.HeartbeatInterval)
	if !n.majorityActive(now) {
		n.becomeFollower(now, n.hard.Term, "")
		return
	}
	if n.transferee != "" && !now.Before(n.transferDeadline) {
		// TimeoutNow may still arrive at the transferee, so only a new term gives a lease again.
		n.startPreVote(now)
		return
	}
	n.dropSilentLearners(now)
	for _, id := range n.peers {
		n.expireInflight(now, n.receiver(id))
		n.sendEntries(now, id)
	}
	n.sendHeartbeats(now)
}

// sendHeartbeats starts a round of heartbeats. Its answers confirm all reads that were asked before it.
func (n *Node) sendHeartbeats(now time.Time) {
	n.rounds++
	n.roundSentAt = now
	for i := range n.pendingReads {
		if r := &n.pendingReads[i]; r.round == 0 {
			r.round = n.stamp(now)
		}
	}
	for _, id := range n.peers {
		n.sendHeartbeat(now, id, n.progress[id])
		if l := n.learners[id]; l != nil {
			n.sendHeartbeat(now, id, &l.progress)
		}
	}
}

func (n *Node) sendHeartbeat(now time.Time, id host.ID, p *progress) {
	n.send(n.newMessage(id, p.generation, Heartbeat{Commit: min(n.commit, p.match), Sent: n.stamp(now)}))
}

// expireInflight stops waiting for replies that are overdue, so that the next sendEntries
// sends the messages again.
func (n *Node) expireInflight(now time.Time, p *progress) {
	if p.awaitingReply && now.Sub(p.sentAt) >= n.timing.ElectionTimeout/2 {
		p.awaitingReply = false
	}
	if p.state == progressReplicate && len(p.inflight) > 0 && now.Sub(p.advancedAt) >= n.timing.ElectionTimeout {
		p.becomeProbe(p.match + 1)
	}
}

// majorityActive reports whether a majority has answered within the election timeout. A leader
// for which it is false steps down (check-quorum).
func (n *Node) majorityActive(now time.Time) bool {
	replies := []time.Time{now}
	for _, p := range n.progress {
		replies = append(replies, p.lastReply)
	}
	return now.Sub(n.majorityTime(replies)) < n.timing.ElectionTimeout
}

// hasLease reports whether no other host can have been elected yet. A majority has answered a
// message sent at confirmedAt or later, and each of these hosts supports no other
// candidate for an election timeout after it received that message.
func (n *Node) hasLease(now time.Time) bool {
	return !n.leaseRevoked && now.Before(n.confirmedAt(now).Add(n.timing.lease()))
}

// confirmedAt returns the latest time at which a message was sent that a majority has answered.
func (n *Node) confirmedAt(now time.Time) time.Time {
	sendTimes := []time.Time{now}
	for _, p := range n.progress {
		sendTimes = append(sendTimes, p.ackedSendTime)
	}
	return n.majorityTime(sendTimes)
}

// majorityTime returns the latest time that a majority of times has reached.
func (n *Node) majorityTime(times []time.Time) time.Time {
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n.majority()-1]
}

// read queues a read. Unless it is lazy, a round of heartbeats is sent for it, which it shares with the reads of the next
// readRoundInterval.
func (n *Node) read(now time.Time, r Read) {
	if n.role != RoleLeader {
		n.emit(Rejected{ID: r.ID, Reason: ReasonNotLeader, Leader: n.leader})
		return
	}
	n.pendingReads = append(n.pendingReads, pendingRead{id: r.ID, lazy: r.Lazy})
	n.sendReadRound(now)
}

// sendReadRound sends a round of heartbeats if a read waits for one and the latest round is old enough.
func (n *Node) sendReadRound(now time.Time) {
	if n.awaitsRound() && !now.Before(n.roundSentAt.Add(readRoundInterval)) {
		n.sendHeartbeats(now)
	}
}

// awaitsRound reports whether a read waits for a round of heartbeats that is not due by itself.
func (n *Node) awaitsRound() bool {
	return n.role == RoleLeader && slices.ContainsFunc(n.pendingReads, func(r pendingRead) bool { return r.round == 0 && !r.lazy })
}

// serveReads answers the pending reads that are confirmed, while the lease holds and an entry of this term is committed.
func (n *Node) serveReads(now time.Time) {
	if len(n.pendingReads) == 0 || n.role != RoleLeader || n.commit < n.termStart || !n.hasLease(now) {
		return
	}
	confirmed := n.confirmedRound(now)
	n.pendingReads = slices.DeleteFunc(n.pendingReads, func(r pendingRead) bool {
		if r.round == 0 || r.round > confirmed {
			return false
		}
		n.emit(ReadReady{ID: r.id, Index: n.commit})
		return true
	})
}

// confirmedRound returns the latest stamp that a majority has answered.
func (n *Node) confirmedRound(now time.Time) LeaderTime {
	stamps := []LeaderTime{n.stamp(now)}
	for _, p := range n.progress {
		stamps = append(stamps, p.acked)
	}
	slices.Sort(stamps)
	return stamps[len(stamps)-n.majority()]
}

// advanceCommit commits the entries that a majority of admitted disks holds, provided that the
// last of them is of the current term (Ongaro 2014, section 3.6.2).
func (n *Node) advanceCommit(now time.Time) {
	matches := []Index{n.writes.stableIndex}
	for _, p := range n.progress {
		if p.admitted {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < n.majority() {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.majority()]
	if term, known := n.log.term(index); !known || term != n.hard.Term || index <= n.commit {
		return
	}
	n.commitTo(index)
	n.sendEntriesToAll(now)
}

// receiveAppendReply updates a peer's progress from its reply and sends what follows.
func (n *Node) receiveAppendReply(now time.Time, msg Message, body AppendReply) {
	p := n.recordReply(now, msg, body.Sent)
	if p == nil {
		return
	}
	p.awaitingReply = false
	if body.Rejected {
		if p.state != progressSnapshot && body.Hint+1 < p.next {
			p.becomeProbe(body.Hint + 1)
		}
		n.sendEntries(now, msg.From)
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
	n.advanceCommit(now)
	n.sendEntries(now, msg.From)
	n.nameLearner(now, msg.From)
	n.completeTransfer()
}

// receiveHeartbeatReply records the reply. It may be the first one that says that the peer's disk is
// admitted, so that its entries count from now on.
func (n *Node) receiveHeartbeatReply(now time.Time, msg Message, body HeartbeatReply) {
	if n.recordReply(now, msg, body.Sent) != nil {
		n.advanceCommit(now)
		n.nameLearner(now, msg.From)
	}
}

func (n *Node) receiveChunkReply(now time.Time, msg Message, body SnapshotChunkReply) {
	p := n.recordReply(now, msg, body.Sent)
	if p == nil || p.state != progressSnapshot || body.Index != p.snapshot.Index {
		return
	}
	p.awaitingReply, p.offset = false, min(body.Next, uint64(len(p.snapshot.Data)))
	n.sendEntries(now, msg.From)
}

// recordReply records that a peer has answered a message sent at sent. It returns the progress of the
// sender's disk, or nil if this host does not lead or the disk is neither the one that the leader's
// log names nor a learner.
func (n *Node) recordReply(now time.Time, msg Message, sent LeaderTime) *progress {
	if n.role != RoleLeader {
		return nil
	}
	p := n.progress[msg.From]
	if p == nil {
		return nil
	}
	if p.generation != msg.Generation {
		return n.recordLearnerReply(now, msg, sent)
	}
	p.admitted = msg.Admitted
	if !msg.Admitted {
		return p
	}
	delete(n.learners, msg.From)
	p.lastReply = now
	if sent > p.acked {
		p.acked, p.ackedSendTime = sent, n.sendTime(sent)
	}
	return p
}

// sendEntriesToAll sends each peer the entries that it lacks.
func (n *Node) sendEntriesToAll(now time.Time) {
	for _, id := range n.peers {
		n.sendEntries(now, id)
	}
}

// sendEntries sends a peer the entries or the snapshot that it lacks, as far as flow control
// allows.
func (n *Node) sendEntries(now time.Time, id host.ID) {
	p := n.receiver(id)
	if p == nil {
		return
	}
	if p.state != progressSnapshot && p.next <= n.log.prevIndex {
		p.becomeProbe(p.next)
		p.state, p.snapshot = progressSnapshot, n.snapshot
	}
	switch p.state {
	case progressProbe:
		if !p.awaitingReply {
			n.sendAppend(now, id, p)
			p.awaitingReply = true
		}
	case progressReplicate:
		for p.next <= n.log.last() && !p.inflightFull() {
			if len(p.inflight) == 0 {
				p.advancedAt = now
			}
			last, bytes := n.sendAppend(now, id, p)
			p.addInflight(last, bytes)
		}
	case progressSnapshot:
		if !p.awaitingReply {
			n.sendChunk(now, id, p)
			p.awaitingReply = true
		}
	}
}

func (n *Node) sendAppend(now time.Time, id host.ID, p *progress) (Index, int) {
	entries, bytes := n.log.batch(p.next, maxBatchBytes)
	prevTerm, _ := n.log.term(p.next - 1)
	p.sentAt = now
	n.send(n.newMessage(id, p.generation, Append{
		PrevIndex: p.next - 1, PrevTerm: prevTerm, Commit: n.commit,
		Entries: entries, Sent: n.stamp(now),
	}))
	return p.next - 1 + Index(len(entries)), bytes
}

func (n *Node) sendChunk(now time.Time, id host.ID, p *progress) {
	total := uint64(len(p.snapshot.Data))
	end := min(p.offset+chunkBytes, total)
	meta := p.snapshot
	meta.Data = nil
	p.sentAt = now
	n.send(n.newMessage(id, p.generation, SnapshotChunk{
		Snapshot: meta, Offset: p.offset, Total: total,
		Data: p.snapshot.Data[p.offset:end], Sent: n.stamp(now),
	}))
}

// startTransfer picks the peer that lags least as the next leader. From then on the leader
// accepts no commands, and it hands over once that peer holds the whole log.
func (n *Node) startTransfer(now time.Time) {
	if n.role != RoleLeader || n.transferee != "" {
		return
	}
	var best *progress
	for _, id := range n.peers {
		p := n.progress[id]
		active := p.admitted && now.Sub(p.lastReply) < n.timing.ElectionTimeout
		if active && (best == nil || p.match > best.match) {
			best, n.transferee = p, id
		}
	}
	n.transferDeadline = now.Add(n.timing.ElectionTimeout)
	n.completeTransfer()
}

func (n *Node) completeTransfer() {
	p := n.progress[n.transferee]
	if p == nil || n.leaseRevoked || p.match != n.log.last() {
		return
	}
	n.leaseRevoked = true
	n.send(n.newMessage(n.transferee, p.generation, TimeoutNow{}))
}
