package quorum

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// receive handles a message from a peer.
func (n *Node) receive(now time.Time, msg Message) {
	if msg.ToGeneration != 0 && msg.ToGeneration != n.hard.Generation {
		return
	}
	switch body := msg.Body.(type) {
	case Join:
		n.receiveJoin(now, msg, body)
		return
	case Promise:
		n.receivePromise(now, msg, body)
		return
	case Admit:
		n.receiveAdmit(msg, body)
		return
	case PreVote:
		n.receivePreVote(now, msg, body)
		return
	case Vote:
		n.receiveVote(now, msg, body)
		return
	case PreVoteReply:
		n.receivePreVoteReply(now, msg, body)
		return
	}
	if msg.Term < n.hard.Term {
		n.rejectStaleLeader(msg)
		return
	}
	if msg.Term > n.hard.Term && !n.enterTerm(now, msg) {
		return
	}
	n.receiveInTerm(now, msg)
}

// rejectStaleLeader informs the leader of an earlier term that its term is over.
func (n *Node) rejectStaleLeader(msg Message) {
	switch msg.Body.(type) {
	case Append, Heartbeat, SnapshotChunk:
		n.sendDurable(n.reply(msg, AppendReply{Rejected: true}))
	}
}

// enterTerm moves to the later term of msg and reports whether msg itself still has to be
// handled. A leader that learns of a later term campaigns again at once, so that a host that
// had entered that term alone costs the cluster only one round trip.
func (n *Node) enterTerm(now time.Time, msg Message) bool {
	wasLeader := n.role == RoleLeader
	n.becomeFollower(now, msg.Term, "")
	if !wasLeader {
		return true
	}
	switch msg.Body.(type) {
	case Append, Heartbeat, SnapshotChunk:
		return true
	default:
		n.startPreVote(now)
		return false
	}
}

func (n *Node) receiveInTerm(now time.Time, msg Message) {
	switch body := msg.Body.(type) {
	case VoteReply:
		if n.role == RoleCandidate && body.Granted && n.isVoter(msg) {
			n.countVote(now, msg.From)
		}
	case Append:
		n.recordLeaderContact(now, msg.From)
		n.receiveAppend(msg, body)
	case Heartbeat:
		n.recordLeaderContact(now, msg.From)
		n.receiveHeartbeat(msg, body)
	case SnapshotChunk:
		n.recordLeaderContact(now, msg.From)
		n.receiveChunk(msg, body)
	case AppendReply:
		n.receiveAppendReply(now, msg, body)
	case HeartbeatReply:
		n.receiveHeartbeatReply(now, msg, body)
	case SnapshotChunkReply:
		n.receiveChunkReply(now, msg, body)
	case TimeoutNow:
		if n.hard.Admitted && n.role != RoleLeader {
			n.byTransfer = true
			n.startElection(now)
		}
	}
}

// recordLeaderContact follows the leader of the current term and restarts the election timer.
func (n *Node) recordLeaderContact(now time.Time, leader host.ID) {
	n.becomeFollower(now, n.hard.Term, leader)
	n.leaderContact, n.contactedBy = now, leader
	n.timerDue = now.Add(n.electionTimeout())
}

// isVoter reports whether msg comes from a disk that counts towards a majority: one that is
// admitted and that this host's own log lists as current.
func (n *Node) isVoter(msg Message) bool {
	membership := n.log.membership()
	return msg.Admitted && membership != nil && membership.Current[msg.From] == msg.Generation
}

// startPreVote asks the peers whether this host would win an election. A host that is not
// admitted only restarts its election timer.
func (n *Node) startPreVote(now time.Time) {
	n.timerDue = now.Add(n.preVoteInterval(now))
	if !n.hard.Admitted {
		n.becomeFollower(now, n.hard.Term, "")
		return
	}
	n.resetRole()
	n.role, n.leader = RolePreCandidate, ""
	n.votes, n.neverLeads = map[host.ID]bool{}, map[host.ID]bool{}
	for _, p := range n.peers {
		n.send(n.newMessage(p, 0, PreVote{
			Next: n.hard.Term + 1, LastIndex: n.log.last(), LastTerm: n.log.lastTerm(),
		}))
	}
	if !n.boundToLeader(now, n.self) {
		n.countVote(now, n.self)
	}
}

// startElection makes this host a candidate in the next term. The vote requests are sent
// once the candidate's vote for itself is on disk.
func (n *Node) startElection(now time.Time) {
	transfer, leaderless := n.byTransfer, n.isLeaderless()
	n.resetRole()
	n.role, n.leader = RoleCandidate, ""
	n.hard.Term++
	n.hard.Vote = n.self
	n.voteSequence = n.writes.lastSequence + 1
	n.votes = map[host.ID]bool{}
	n.timerDue = now.Add(n.preVoteInterval(now))
	for _, p := range n.peers {
		n.sendDurable(n.newMessage(p, 0, Vote{
			LastIndex: n.log.last(), LastTerm: n.log.lastTerm(), Transfer: transfer, Leaderless: leaderless,
		}))
	}
}

// countVote records a vote or pre-vote for this host. On a majority it starts the election
// or becomes leader.
func (n *Node) countVote(now time.Time, from host.ID) {
	n.votes[from] = true
	if len(n.votes) < n.majority() {
		return
	}
	switch n.role {
	case RolePreCandidate:
		n.startElection(now)
	case RoleCandidate:
		n.becomeLeader(now)
	case RoleFollower, RoleLeader:
	}
}

// boundToLeader reports whether this host must not support candidate. This is so on a leader,
// and otherwise for one election timeout after the leader's last message or the start of the
// process, unless the candidate is that leader. The leader's lease depends on it.
func (n *Node) boundToLeader(now time.Time, candidate host.ID) bool {
	if n.role == RoleLeader {
		return true
	}
	return now.Before(n.leaderContact.Add(n.timing.ElectionTimeout)) && candidate != n.leader
}

func (n *Node) receivePreVote(now time.Time, msg Message, body PreVote) {
	if n.role == RoleLeader {
		n.probeNewDisk(now, msg)
	}
	if !n.hard.Admitted {
		return
	}
	upToDate := n.log.upToDate(body.LastIndex, body.LastTerm)
	granted := body.Next > n.hard.Term && !n.boundToLeader(now, msg.From) && upToDate
	neverLeads := n.role == RoleFollower || n.role == RolePreCandidate
	n.sendDurable(n.reply(msg, PreVoteReply{Next: body.Next, Granted: granted, UpToDate: upToDate, NeverLeads: neverLeads}))
}

// receivePreVoteReply counts a reply whose term is not later than this host's. A reply of an
// earlier term counts too, because a PreVote does not raise the voter's term.
func (n *Node) receivePreVoteReply(now time.Time, msg Message, body PreVoteReply) {
	if msg.Term > n.hard.Term {
		n.enterTerm(now, msg)
		return
	}
	if n.role != RolePreCandidate || body.Next != n.hard.Term+1 || !n.isVoter(msg) {
		return
	}
	if body.NeverLeads && msg.Term == n.hard.Term {
		n.neverLeads[msg.From] = body.UpToDate
	}
	switch {
	case body.Granted:
		n.countVote(now, msg.From)
	case n.isLeaderless():
		n.startElection(now)
	}
}

// isLeaderless reports whether this host knows that no host leads in its term, and none ever will, and that it can be elected. All
// hosts, itself included, have said so in messages of this term, which they sent once the term was on their disks. A leader of an earlier
// term has entered this one, so no lease of any leader is left, and nobody has to wait for its end: all hosts have restarted, for example.
func (n *Node) isLeaderless() bool {
	if n.role != RolePreCandidate || len(n.neverLeads) < len(n.peers) {
		return false
	}
	supporters := 1
	for _, upToDate := range n.neverLeads {
		if upToDate {
			supporters++
		}
	}
	return supporters >= n.majority()
}

func (n *Node) receiveVote(now time.Time, msg Message, body Vote) {
	if !n.hard.Admitted || msg.Term < n.hard.Term {
		return
	}
	if !body.Transfer && !body.Leaderless && n.boundToLeader(now, msg.From) {
		return
	}
	if msg.Term > n.hard.Term {
		n.becomeFollower(now, msg.Term, "")
	}
	granted := (n.hard.Vote == "" || n.hard.Vote == msg.From) &&
		n.log.upToDate(body.LastIndex, body.LastTerm)
	if granted {
		n.hard.Vote = msg.From
		n.timerDue = now.Add(n.electionTimeout())
	}
	n.sendDurable(n.reply(msg, VoteReply{Granted: granted}))
}

// newMessage addresses body to the given generation of a peer; 0 means any generation.
func (n *Node) newMessage(to host.ID, generation Generation, body Body) Message {
	return Message{
		From: n.self, To: to, Generation: n.hard.Generation, ToGeneration: generation,
		Term: n.hard.Term, Admitted: n.hard.Admitted, Body: body,
	}
}

// reply addresses body to the sender of msg.
func (n *Node) reply(msg Message, body Body) Message {
	return n.newMessage(msg.From, msg.Generation, body)
}
