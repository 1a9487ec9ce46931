package quorum

import (
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// becomeLeader takes office after an election. Earlier terms' entries commit
// together with the entry that opens this term.
func (m *Machine) becomeLeader(now time.Time) {
	m.takeOffice(now)
	m.appendOwn(Entry{Kind: EntryNoop})
	m.termStart = m.log.last()
	m.sendAll(now)
}

func (m *Machine) takeOffice(now time.Time) {
	m.resign()
	m.role, m.leader = RoleLeader, m.self
	m.due = now
	m.writes.uncommitted = 0
	for _, e := range m.log.slice(m.commit+1, m.log.last()) {
		m.writes.uncommitted += e.size()
	}
	m.progress = map[host.ID]*progress{}
	membership := m.log.membership()
	for _, id := range m.peers {
		p := &progress{generation: membership.Current[id], heard: now}
		p.probe(m.log.last() + 1)
		m.progress[id] = p
	}
}

// lead is a leader's periodic work.
func (m *Machine) lead(now time.Time) {
	m.due = now.Add(m.timing.Heartbeat)
	if !m.heardMajority(now) {
		m.follow(now, m.hard.Term, "")
		return
	}
	if m.leaving != "" && !now.Before(m.leavingDue) {
		// The request to campaign may still arrive, so only a new term gives a lease.
		m.campaign(now)
		return
	}
	for _, id := range m.peers {
		p := m.progress[id]
		m.revive(now, p)
		m.sendEntries(now, id)
		m.send(m.message(id, p.generation, Heartbeat{
			Commit: min(m.commit, p.match), Sent: m.stamp(now),
		}))
	}
}

// revive sends again what has been unanswered for too long.
func (m *Machine) revive(now time.Time, p *progress) {
	if p.waiting && now.Sub(p.sent) >= m.timing.Election/2 {
		p.waiting = false
	}
	if p.state == progressStream && len(p.inflight) > 0 && now.Sub(p.advanced) >= m.timing.Election {
		p.probe(p.match + 1)
	}
}

// heardMajority reports whether a majority has answered within Election. A leader
// for which this fails steps down (check-quorum).
func (m *Machine) heardMajority(now time.Time) bool {
	heard := []time.Time{now}
	for _, p := range m.progress {
		heard = append(heard, p.heard)
	}
	return now.Sub(m.nth(heard)) < m.timing.Election
}

// leased reports whether no other host can have been elected yet. A majority has
// answered a message sent at nth(echo), and each of these hosts supports no other
// candidate until Election after it received that message.
func (m *Machine) leased(now time.Time) bool {
	if m.leaseOff {
		return false
	}
	echoes := []time.Time{now}
	for _, p := range m.progress {
		echoes = append(echoes, p.echo)
	}
	return now.Before(m.nth(echoes).Add(m.timing.lease()))
}

// nth returns the latest time that a majority has reached.
func (m *Machine) nth(times []time.Time) time.Time {
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[m.majority()-1]
}

func (m *Machine) read(id uint64) {
	if m.role != RoleLeader {
		m.emit(Rejected{ID: id, Reason: ReasonNotLeader, Leader: m.leader})
		return
	}
	m.reads = append(m.reads, id)
}

// serveReads answers the waiting reads while the lease holds.
func (m *Machine) serveReads(now time.Time) {
	if len(m.reads) == 0 || m.role != RoleLeader || m.commit < m.termStart || !m.leased(now) {
		return
	}
	for _, id := range m.reads {
		m.emit(ReadReady{ID: id, Index: m.commit})
	}
	m.reads = nil
}

// advance commits what a majority of admitted disks holds, once an entry of the
// own term is among it (Ongaro 2014, section 3.6.2).
func (m *Machine) advance(now time.Time) {
	matches := []Index{m.writes.stable}
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
	m.sendAll(now)
}

// receiveAppendReply takes a peer's word on its log.
func (m *Machine) receiveAppendReply(now time.Time, msg Message, body AppendReply) {
	p := m.answering(now, msg, body.Sent)
	if p == nil {
		return
	}
	p.waiting = false
	if body.Rejected {
		if p.state != progressSnapshot && body.Hint+1 < p.next {
			p.probe(body.Hint + 1)
		}
		m.sendEntries(now, msg.From)
		return
	}
	if body.Match > p.match || p.state != progressStream {
		p.advanced = now
	}
	p.match = max(p.match, body.Match)
	p.free(p.match)
	if p.state != progressStream {
		p.stream()
	}
	m.advance(now)
	m.sendEntries(now, msg.From)
	m.handOver()
}

func (m *Machine) receiveHeartbeatReply(now time.Time, msg Message, body HeartbeatReply) {
	m.answering(now, msg, body.Sent)
}

func (m *Machine) receiveChunkReply(now time.Time, msg Message, body ChunkReply) {
	p := m.answering(now, msg, body.Sent)
	if p == nil || p.state != progressSnapshot || body.Index != p.snapshot.Index {
		return
	}
	p.waiting, p.offset = false, min(body.Next, uint64(len(p.snapshot.Data)))
	m.sendEntries(now, msg.From)
}

// answering notes a sign of life and returns the sender's progress, or nil if the
// message is not from the disk that this leader's log names.
func (m *Machine) answering(now time.Time, msg Message, sent Stamp) *progress {
	if m.role != RoleLeader {
		return nil
	}
	p := m.progress[msg.From]
	if p == nil {
		return nil
	}
	if p.generation != msg.Generation {
		m.readmit(now, msg, sent)
		return nil
	}
	p.admitted = msg.Admitted
	if !msg.Admitted {
		return p
	}
	p.heard = now
	if at := m.unstamp(sent); at.After(p.echo) {
		p.echo = at
	}
	return p
}

// sendAll sends each peer what it lacks.
func (m *Machine) sendAll(now time.Time) {
	for _, id := range m.peers {
		m.sendEntries(now, id)
	}
}

// sendEntries sends one peer what it lacks, as far as flow control allows.
func (m *Machine) sendEntries(now time.Time, id host.ID) {
	p := m.progress[id]
	if p == nil {
		return
	}
	if p.state != progressSnapshot && p.next <= m.log.prevIndex {
		p.probe(p.next)
		p.state, p.snapshot = progressSnapshot, m.snapshot
	}
	switch p.state {
	case progressProbe:
		if !p.waiting {
			m.sendAppend(now, id, p)
			p.waiting = true
		}
	case progressStream:
		for p.next <= m.log.last() && !p.full() {
			if len(p.inflight) == 0 {
				p.advanced = now
			}
			last, bytes := m.sendAppend(now, id, p)
			p.add(last, bytes)
		}
	case progressSnapshot:
		if !p.waiting {
			m.sendChunk(now, id, p)
			p.waiting = true
		}
	}
}

func (m *Machine) sendAppend(now time.Time, id host.ID, p *progress) (Index, int) {
	entries, bytes := m.log.batch(p.next, maxBatchBytes)
	prevTerm, _ := m.log.term(p.next - 1)
	p.sent = now
	m.send(m.message(id, p.generation, Append{
		PrevIndex: p.next - 1, PrevTerm: prevTerm, Commit: m.commit,
		Entries: entries, Sent: m.stamp(now),
	}))
	return p.next - 1 + Index(len(entries)), bytes
}

func (m *Machine) sendChunk(now time.Time, id host.ID, p *progress) {
	total := uint64(len(p.snapshot.Data))
	end := min(p.offset+chunkBytes, total)
	meta := p.snapshot
	meta.Data = nil
	p.sent = now
	m.send(m.message(id, p.generation, Chunk{
		Snapshot: meta, Offset: p.offset, Total: total,
		Data: p.snapshot.Data[p.offset:end], Sent: m.stamp(now),
	}))
}

// startTransfer picks the peer that lags least. The leader takes no more commands
// and hands over once that peer holds the whole log.
func (m *Machine) startTransfer(now time.Time) {
	if m.role != RoleLeader || m.leaving != "" {
		return
	}
	var best *progress
	for _, id := range m.peers {
		p := m.progress[id]
		alive := p.admitted && now.Sub(p.heard) < m.timing.Election
		if alive && (best == nil || p.match > best.match) {
			best, m.leaving = p, id
		}
	}
	m.leavingDue = now.Add(m.timing.Election)
	m.handOver()
}

func (m *Machine) handOver() {
	p := m.progress[m.leaving]
	if p == nil || m.leaseOff || p.match != m.log.last() {
		return
	}
	m.leaseOff = true
	m.send(m.message(m.leaving, p.generation, TimeoutNow{}))
}
