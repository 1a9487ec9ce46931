package quorum

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// receive handles a message from a peer.
func (m *Node) receive(now time.Time, msg Message) {
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
		m.rejectStaleLeader(msg)
		return
	}
	if msg.Term > m.hard.Term && !m.enterTerm(now, msg) {
		return
	}
	m.receiveInTerm(now, msg)
}

// rejectStaleLeader tells the leader of an earlier term that its term is over.
func (m *Node) rejectStaleLeader(msg Message) {
	switch msg.Body.(type) {
	case Append, Heartbeat, SnapshotChunk:
		m.sendDurable(m.reply(msg, AppendReply{Rejected: true}))
	}
}

// enterTerm moves to the later term of msg and reports whether msg itself still has to be
// handled. A leader that learns of a later term campaigns again at once, so that a host that
// had entered that term alone costs the cluster only one round trip.
func (m *Node) enterTerm(now time.Time, msg Message) bool {
	led := m.role == RoleLeader
	m.becomeFollower(now, msg.Term, "")
	if !led {
		return true
	}
	switch msg.Body.(type) {
	case Append, Heartbeat, SnapshotChunk:
		return true
	default:
		m.startPreVote(now)
		return false
	}
}

func (m *Node) receiveInTerm(now time.Time, msg Message) {
	switch body := msg.Body.(type) {
	case VoteReply:
		if m.role == RoleCandidate && body.Granted && m.isVoter(msg) {
			m.countVote(now, msg.From)
		}
	case Append:
		m.recordLeaderContact(now, msg.From)
		m.receiveAppend(msg, body)
	case Heartbeat:
		m.recordLeaderContact(now, msg.From)
		m.receiveHeartbeat(msg, body)
	case SnapshotChunk:
		m.recordLeaderContact(now, msg.From)
		m.receiveChunk(msg, body)
	case AppendReply:
		m.receiveAppendReply(now, msg, body)
	case HeartbeatReply:
		m.receiveHeartbeatReply(now, msg, body)
	case SnapshotChunkReply:
		m.receiveChunkReply(now, msg, body)
	case TimeoutNow:
		if m.hard.Admitted && m.role != RoleLeader {
			m.byTransfer = true
			m.startElection(now)
		}
	}
}

// recordLeaderContact follows the leader of the current term and restarts the election timer.
func (m *Node) recordLeaderContact(now time.Time, leader host.ID) {
	m.becomeFollower(now, m.hard.Term, leader)
	m.leaderContact = now
	m.timerDue = now.Add(m.electionTimeout())
}

// isVoter reports whether msg comes from a disk that counts towards a majority: one that is
// admitted and that this host's own log lists as current.
func (m *Node) isVoter(msg Message) bool {
	membership := m.log.membership()
	return msg.Admitted && membership != nil && membership.Current[msg.From] == msg.Generation
}

// startPreVote asks the peers whether this host would win an election. A host that is not
// admitted only restarts its election timer.
func (m *Node) startPreVote(now time.Time) {
	m.timerDue = now.Add(m.electionTimeout())
	if !m.hard.Admitted {
		m.becomeFollower(now, m.hard.Term, "")
		return
	}
	m.resetRole()
	m.role, m.leader = RolePreCandidate, ""
	m.votes = map[host.ID]bool{}
	for _, p := range m.peers {
		m.send(m.newMessage(p, 0, PreVote{
			Next: m.hard.Term + 1, LastIndex: m.log.last(), LastTerm: m.log.lastTerm(),
		}))
	}
	m.countVote(now, m.self)
}

// startElection makes this host a candidate in the next term. The vote requests are sent
// once the candidate's vote for itself is on disk.
func (m *Node) startElection(now time.Time) {
	transfer := m.byTransfer
	m.resetRole()
	m.role, m.leader = RoleCandidate, ""
	m.hard.Term++
	m.hard.Vote = m.self
	m.voteSequence = m.writes.lastSequence + 1
	m.votes = map[host.ID]bool{}
	m.timerDue = now.Add(m.electionTimeout())
	for _, p := range m.peers {
		m.sendDurable(m.newMessage(p, 0, Vote{
			LastIndex: m.log.last(), LastTerm: m.log.lastTerm(), Transfer: transfer,
		}))
	}
}

// countVote records a vote or pre-vote for this host. On a majority it starts the election
// or becomes leader.
func (m *Node) countVote(now time.Time, from host.ID) {
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

// boundToLeader reports whether this host must refuse candidate its support because it has
// heard from another leader within the election timeout. The leader's lease depends on this.
// The leader itself may campaign again at any time.
func (m *Node) boundToLeader(now time.Time, candidate host.ID) bool {
	if m.role == RoleLeader {
		return true
	}
	return now.Before(m.leaderContact.Add(m.timing.ElectionTimeout)) && candidate != m.leader
}

func (m *Node) receivePreVote(now time.Time, msg Message, body PreVote) {
	if m.role == RoleLeader {
		m.probeNewDisk(now, msg)
	}
	if !m.hard.Admitted {
		return
	}
	granted := body.Next > m.hard.Term &&
		!m.boundToLeader(now, msg.From) &&
		m.log.upToDate(body.LastIndex, body.LastTerm)
	m.sendDurable(m.reply(msg, PreVoteReply{Next: body.Next, Granted: granted}))
}

// receivePreVoteReply counts a reply whose term is not later than this host's. A reply of an
// earlier term counts too, because a PreVote does not raise the voter's term.
func (m *Node) receivePreVoteReply(now time.Time, msg Message, body PreVoteReply) {
	if msg.Term > m.hard.Term {
		m.enterTerm(now, msg)
		return
	}
	if m.role == RolePreCandidate && body.Granted && body.Next == m.hard.Term+1 && m.isVoter(msg) {
		m.countVote(now, msg.From)
	}
}

func (m *Node) receiveVote(now time.Time, msg Message, body Vote) {
	if !m.hard.Admitted || msg.Term < m.hard.Term {
		return
	}
	if !body.Transfer && m.boundToLeader(now, msg.From) {
		return
	}
	if msg.Term > m.hard.Term {
		m.becomeFollower(now, msg.Term, "")
	}
	granted := (m.hard.Vote == "" || m.hard.Vote == msg.From) &&
		m.log.upToDate(body.LastIndex, body.LastTerm)
	if granted {
		m.hard.Vote = msg.From
		m.timerDue = now.Add(m.electionTimeout())
	}
	m.sendDurable(m.reply(msg, VoteReply{Granted: granted}))
}

// newMessage addresses body to the given generation of a peer; 0 means any generation.
func (m *Node) newMessage(to host.ID, generation Generation, body Body) Message {
	return Message{
		From: m.self, To: to, Generation: m.hard.Generation, ToGeneration: generation,
		Term: m.hard.Term, Admitted: m.hard.Admitted, Body: body,
	}
}

// reply addresses body to the sender of msg.
func (m *Node) reply(msg Message, body Body) Message {
	return m.newMessage(msg.From, msg.Generation, body)
}
