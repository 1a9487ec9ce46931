package quorum

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// receive handles one message.
func (m *Machine) receive(now time.Time, msg Message) {
	if msg.ToGeneration != 0 && msg.ToGeneration != m.hard.Generation {
		return
	}
	switch body := msg.Body.(type) {
	case Join:
		m.receiveJoin(now, msg, body)
		return
	case Promise:
		m.receivePromise(now, msg, body)
		return
	case Admit:
		m.receiveAdmit(msg, body)
		return
	case PreVote:
		m.receivePreVote(now, msg, body)
		return
	case Vote:
		m.receiveVote(now, msg, body)
		return
	case PreVoteReply:
		m.receivePreVoteReply(now, msg, body)
		return
	}
	if msg.Term < m.hard.Term {
		m.correct(msg)
		return
	}
	if msg.Term > m.hard.Term && !m.enter(now, msg) {
		return
	}
	m.receiveInTerm(now, msg)
}

// correct tells a leader of an earlier term that its term is over.
func (m *Machine) correct(msg Message) {
	switch msg.Body.(type) {
	case Append, Heartbeat, Chunk:
		m.sendDurable(m.to(msg, AppendReply{Rejected: true}))
	}
}

// enter takes up the later term of msg. A leader that learns of a later term
// seeks it at once, so that a host which had entered it alone costs one round trip
// and no more. It reports whether msg itself still matters.
func (m *Machine) enter(now time.Time, msg Message) bool {
	led := m.role == RoleLeader
	m.follow(now, msg.Term, "")
	if !led {
		return true
	}
	switch msg.Body.(type) {
	case Append, Heartbeat, Chunk:
		return true
	default:
		m.campaign(now)
		return false
	}
}

func (m *Machine) receiveInTerm(now time.Time, msg Message) {
	switch body := msg.Body.(type) {
	case VoteReply:
		if m.role == RoleCandidate && body.Granted && m.counted(msg) {
			m.count(now, msg.From)
		}
	case Append:
		m.hear(now, msg.From)
		m.receiveAppend(msg, body)
	case Heartbeat:
		m.hear(now, msg.From)
		m.receiveHeartbeat(msg, body)
	case Chunk:
		m.hear(now, msg.From)
		m.receiveChunk(msg, body)
	case AppendReply:
		m.receiveAppendReply(now, msg, body)
	case HeartbeatReply:
		m.receiveHeartbeatReply(now, msg, body)
	case ChunkReply:
		m.receiveChunkReply(now, msg, body)
	case TimeoutNow:
		if m.hard.Admitted && m.role != RoleLeader {
			m.transfer = true
			m.startElection(now)
		}
	}
}

// hear notes that the leader of the current term lives.
func (m *Machine) hear(now time.Time, leader host.ID) {
	m.follow(now, m.hard.Term, leader)
	m.contact = now
	m.due = now.Add(m.electionTimeout())
}

// counted reports whether a reply comes from a disk whose word counts: one that is
// admitted and that this host's own log names.
func (m *Machine) counted(msg Message) bool {
	membership := m.log.membership()
	return msg.Admitted && membership != nil && membership.Current[msg.From] == msg.Generation
}

// campaign asks whether an election would succeed.
func (m *Machine) campaign(now time.Time) {
	m.due = now.Add(m.electionTimeout())
	if !m.hard.Admitted {
		m.follow(now, m.hard.Term, "")
		return
	}
	m.resign()
	m.role, m.leader = RolePreCandidate, ""
	m.votes = map[host.ID]bool{}
	for _, p := range m.peers {
		m.send(m.message(p, 0, PreVote{
			Next: m.hard.Term + 1, LastIndex: m.log.last(), LastTerm: m.log.lastTerm(),
		}))
	}
	m.count(now, m.self)
}

// startElection stands for the next term. Its votes are asked for once the
// candidate's own is on disk.
func (m *Machine) startElection(now time.Time) {
	transfer := m.transfer
	m.resign()
	m.role, m.leader = RoleCandidate, ""
	m.hard.Term++
	m.hard.Vote = m.self
	m.voteSequence = m.writes.sequence + 1
	m.votes = map[host.ID]bool{}
	m.due = now.Add(m.electionTimeout())
	for _, p := range m.peers {
		m.sendDurable(m.message(p, 0, Vote{
			LastIndex: m.log.last(), LastTerm: m.log.lastTerm(), Transfer: transfer,
		}))
	}
}

// count records one voice for this host and acts on a majority.
func (m *Machine) count(now time.Time, from host.ID) {
	m.votes[from] = true
	if len(m.votes) < m.majority() {
		return
	}
	switch m.role {
	case RolePreCandidate:
		m.startElection(now)
	case RoleCandidate:
		m.becomeLeader(now)
	case RoleFollower, RoleLeader:
	}
}

// bound reports whether this host has promised a live leader to support no other
// candidate. The leader itself may always ask anew.
func (m *Machine) bound(now time.Time, candidate host.ID) bool {
	if m.role == RoleLeader {
		return true
	}
	return now.Before(m.contact.Add(m.timing.Election)) && candidate != m.leader
}

func (m *Machine) receivePreVote(now time.Time, msg Message, body PreVote) {
	if m.role == RoleLeader {
		m.greet(now, msg)
	}
	if !m.hard.Admitted {
		return
	}
	granted := body.Next > m.hard.Term &&
		!m.bound(now, msg.From) &&
		m.log.upToDate(body.LastIndex, body.LastTerm)
	m.sendDurable(m.to(msg, PreVoteReply{Next: body.Next, Granted: granted}))
}

// receivePreVoteReply counts a reply whatever the sender's term, since PreVote does
// not raise it.
func (m *Machine) receivePreVoteReply(now time.Time, msg Message, body PreVoteReply) {
	if msg.Term > m.hard.Term {
		m.enter(now, msg)
		return
	}
	if m.role == RolePreCandidate && body.Granted && body.Next == m.hard.Term+1 && m.counted(msg) {
		m.count(now, msg.From)
	}
}

func (m *Machine) receiveVote(now time.Time, msg Message, body Vote) {
	if !m.hard.Admitted || msg.Term < m.hard.Term {
		return
	}
	if !body.Transfer && m.bound(now, msg.From) {
		return
	}
	if msg.Term > m.hard.Term {
		m.follow(now, msg.Term, "")
	}
	granted := (m.hard.Vote == "" || m.hard.Vote == msg.From) &&
		m.log.upToDate(body.LastIndex, body.LastTerm)
	if granted {
		m.hard.Vote = msg.From
		m.due = now.Add(m.electionTimeout())
	}
	m.sendDurable(m.to(msg, VoteReply{Granted: granted}))
}

// message addresses a body to a peer.
func (m *Machine) message(to host.ID, generation Generation, body Body) Message {
	return Message{
		From: m.self, To: to, Generation: m.hard.Generation, ToGeneration: generation,
		Term: m.hard.Term, Admitted: m.hard.Admitted, Body: body,
	}
}

// to answers msg.
func (m *Machine) to(msg Message, body Body) Message {
	return m.message(msg.From, msg.Generation, body)
}
