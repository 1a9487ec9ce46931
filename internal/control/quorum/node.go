package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Node is the Raft instance of one control host. It is not safe for concurrent use. Create
// it with New.
type Node struct {
	self   host.ID
	peers  []host.ID
	timing Timing
	random *rand.Rand
	// keptEntries is Options.KeptEntries.
	keptEntries Index
	// clockOrigin is the time at which this host's LeaderTime is 0.
	clockOrigin time.Time
	// rounds counts the rounds of heartbeats that this host has sent, in all terms.
	rounds LeaderTime

	hard     HardState
	log      entryLog
	commit   Index
	applied  Index
	snapshot Snapshot

	role   Role
	leader host.ID
	// leaderContact is when the last message of a leader arrived. For an election timeout after it,
	// this host supports no other candidate. contactedBy is that leader, or empty if this host has led since.
	leaderContact time.Time
	contactedBy   host.ID
	// timerDue is the time of the next pre-vote or, on a leader, of the next heartbeat.
	timerDue time.Time
	// joinDue is when a host that is not admitted sends its next Join.
	joinDue time.Time
	votes   map[host.ID]bool
	// neverLeads holds the hosts that have told this pre-candidate that they never lead in its term, and whether its log is up to
	// date for them.
	neverLeads map[host.ID]bool
	// voteSequence is the sequence of the write that makes the candidate's own vote durable.
	voteSequence uint64
	// byTransfer is true if the leader asked for this candidacy.
	byTransfer bool

	// promises and challenges are the latest that each peer has sent before the bootstrap.
	promises   map[host.ID]Generation
	challenges map[host.ID]Generation
	incoming   incomingSnapshot

	// The fields below are used by a leader only. termStart is the index of the first entry of its
	// term. roundSentAt is when the latest round of heartbeats was sent. transferee is the peer to
	// which leadership is being transferred, empty if there is none. leaseRevoked is true once that
	// peer has been asked to start an election.
	progress         map[host.ID]*progress
	learners         map[host.ID]*learner
	termStart        Index
	pendingReads     []pendingRead
	roundSentAt      time.Time
	transferee       host.ID
	transferDeadline time.Time
	leaseRevoked     bool

	writes  writes
	actions []Action
}

// pendingRead is a read that a leader has not answered. A majority must answer a message with stamp round or a later
// one, which was sent after the read was asked. It is 0 until such a message is sent.
type pendingRead struct {
	id    uint64
	round LeaderTime
	lazy  bool
}

// incomingSnapshot is a snapshot of which some chunks have been received.
type incomingSnapshot struct {
	term Term
	meta Snapshot
	data []byte
}

// New returns the Raft instance of a host that starts with the recovered state. Before a
// restart, the host may have answered a leader whose lease still runs, so it supports no
// candidate for one election timeout from now on.
func New(now time.Time, opts Options, recovered RecoveredState) *Node {
	n := &Node{
		self: opts.Self, timing: opts.Timing.withDefaults(), clockOrigin: now,
		random: rand.New(rand.NewPCG(opts.Seed, uint64(recovered.Hard.Generation))), //nolint:gosec // Spreads timeouts only.
		hard:   recovered.Hard, log: newEntryLog(recovered), snapshot: recovered.Snapshot,
		commit: recovered.Snapshot.Index, applied: recovered.Snapshot.Index,
		role: RoleFollower, leaderContact: now, joinDue: now,
		promises: map[host.ID]Generation{}, challenges: map[host.ID]Generation{},
	}
	if n.keptEntries = Index(opts.KeptEntries); n.keptEntries == 0 {
		n.keptEntries = DefaultKeptEntries
	}
	n.writes.hard, n.writes.stableHard = n.hard, n.hard
	if n.hard.Challenge == 0 {
		n.hard.Challenge = n.hard.Generation
	}
	n.writes.stableIndex = n.log.last()
	for _, h := range opts.Hosts {
		if h != opts.Self {
			n.peers = append(n.peers, h)
		}
	}
	slices.Sort(n.peers)
	n.timerDue = now.Add(n.preVoteInterval(now))
	if latest := n.log.membership(); n.hard.Admitted && latest != nil && latest.Current[n.self] != n.hard.Generation {
		n.expel()
	}
	return n
}

// Step handles one event at the time now and returns the actions to carry out, in order.
func (n *Node) Step(now time.Time, event Event) []Action {
	role, term, leader := n.role, n.hard.Term, n.leader
	switch e := event.(type) {
	case Tick:
		n.tick(now)
	case Received:
		n.receive(now, e.Message)
	case Propose:
		n.propose(now, e.Proposals)
	case Read:
		n.read(now, e)
	case Persisted:
		n.handlePersisted(now, e.Sequence)
	case SnapshotTaken:
		n.compact(e)
	case TransferLeadership:
		n.startTransfer(now)
	}
	n.serveReads(now)
	n.flush()
	if n.role != role || n.hard.Term != term || n.leader != leader {
		n.emit(RoleChanged{Role: n.role, Term: n.hard.Term, Leader: n.leader})
	}
	actions := n.actions
	n.actions = nil
	return actions
}

// NextTick returns the time at which the next Tick is due.
func (n *Node) NextTick() time.Time {
	next := n.timerDue
	if !n.hard.Admitted && n.joinDue.Before(next) {
		next = n.joinDue
	}
	if due := n.roundSentAt.Add(readRoundInterval); n.awaitsRound() && due.Before(next) {
		next = due
	}
	return next
}

func (n *Node) tick(now time.Time) {
	if !n.hard.Admitted {
		n.sendJoins(now)
	}
	if now.Before(n.timerDue) {
		n.sendReadRound(now)
		return
	}
	if n.role == RoleLeader {
		n.leaderTick(now)
		return
	}
	n.startPreVote(now)
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) majority() int { return (len(n.peers)+1)/2 + 1 }

func (n *Node) electionTimeout() time.Duration {
	return n.timing.ElectionTimeout + time.Duration(n.random.Int64N(int64(n.timing.ElectionTimeout/2)))
}

// preVoteInterval returns the time until the next pre-vote. For one election timeout after its start a host asks more often: it supports
// nobody in that time, but if the others have restarted as well nobody has to wait.
func (n *Node) preVoteInterval(now time.Time) time.Duration {
	if now.Before(n.clockOrigin.Add(n.timing.ElectionTimeout)) {
		return n.electionTimeout() / startupPreVotes
	}
	return n.electionTimeout()
}

// startupPreVotes is how many pre-votes a host starts in its first election timeout, about.
const startupPreVotes = 8

// stamp returns the stamp of a message that is sent now. Each round of heartbeats adds one to the time, so that later
// rounds have greater stamps even if the clock stands still.
func (n *Node) stamp(now time.Time) LeaderTime {
	return LeaderTime(now.Sub(n.clockOrigin)/time.Microsecond) + n.rounds
}

// sendTime returns the time at which a message with a stamp was sent, less a microsecond for each round since.
func (n *Node) sendTime(stamp LeaderTime) time.Time {
	return n.clockOrigin.Add(time.Duration(stamp-n.rounds) * time.Microsecond)
}

// fresh reports whether this disk is not admitted and its log is empty, so that it has never
// held an entry or granted a vote.
func (n *Node) fresh() bool { return !n.hard.Admitted && n.log.last() == 0 }

// becomeFollower makes this host a follower in term; leader is empty if it is not known. Once
// it knows the leader of a term, a host that has not voted in it records its vote for that
// leader, so that no other candidate can get it.
func (n *Node) becomeFollower(now time.Time, term Term, leader host.ID) {
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
	}
	if leader != "" && n.hard.Vote == "" {
		n.hard.Vote = leader
	}
	if n.role != RoleFollower || leader != n.leader {
		n.timerDue = now.Add(n.electionTimeout())
	}
	n.resetRole()
	n.role, n.leader = RoleFollower, leader
}

// resetRole clears the state that only a leader or candidate has and rejects pending reads.
func (n *Node) resetRole() {
	for _, r := range n.pendingReads {
		n.emit(Rejected{ID: r.id, Reason: ReasonNotLeader, Leader: n.leader})
	}
	n.pendingReads, n.progress, n.learners, n.votes, n.neverLeads = nil, nil, nil, nil, nil
	n.roundSentAt = time.Time{}
	n.transferee, n.leaseRevoked, n.byTransfer = "", false, false
}

func (n *Node) propose(now time.Time, proposals []Proposal) {
	for _, p := range proposals {
		if reason := n.rejectReason(p); reason != "" {
			n.emit(Rejected{ID: p.ID, Reason: reason, Leader: n.leader})
			continue
		}
		e := n.appendAsLeader(Entry{Kind: EntryCommand, Command: p.Command})
		n.emit(Accepted{ID: p.ID, Index: e.Index, Term: e.Term})
	}
	if n.role == RoleLeader {
		n.sendEntriesToAll(now)
	}
}

func (n *Node) rejectReason(p Proposal) RejectReason {
	switch {
	case n.role != RoleLeader || n.transferee != "":
		return ReasonNotLeader
	case len(p.Command) > MaxCommandBytes:
		return ReasonTooLarge
	case n.writes.uncommittedBytes+len(p.Command) > maxUncommittedBytes:
		return ReasonBusy
	case n.writes.pendingBytes+len(p.Command) > maxPendingBytes:
		return ReasonBusy
	default:
		return ""
	}
}

// appendAsLeader appends an entry with the next index and the current term to the leader's log.
func (n *Node) appendAsLeader(e Entry) Entry {
	e.Index, e.Term = n.log.last()+1, n.hard.Term
	n.log.append([]Entry{e})
	n.writes.entries = append(n.writes.entries, e)
	n.writes.uncommittedBytes += e.size()
	return e
}

// commitTo advances the commit index, at most to the end of the log, and emits an Apply for
// the newly committed entries.
func (n *Node) commitTo(index Index) {
	index = min(index, n.log.last())
	if index <= n.commit {
		n.checkAdmission()
		return
	}
	entries := n.log.slice(n.commit+1, index)
	n.writes.uncommittedBytes = max(n.writes.uncommittedBytes-totalSize(entries), 0)
	n.commit, n.applied = index, index
	n.emit(Apply{Entries: entries})
	n.checkAdmission()
}

// checkAdmission admits this disk if the committed membership lists it.
func (n *Node) checkAdmission() {
	committed := n.log.membershipAt(n.commit)
	if n.hard.Admitted || committed == nil {
		return
	}
	if committed.Current[n.self] == n.hard.Generation {
		n.admit()
	}
}

func (n *Node) admit() {
	n.hard.Admitted = true
	n.emit(Admitted{Generation: n.hard.Generation})
}

// compact has a snapshot of the application state made durable. It drops the entries that the
// snapshot covers, except the last ones, of which keptEntries and maxKeptBytes limit how many.
func (n *Node) compact(e SnapshotTaken) {
	term, known := n.log.term(e.Index)
	membership := n.log.membershipAt(e.Index)
	if !known || membership == nil || e.Index <= n.snapshot.Index || e.Index > n.applied {
		return
	}
	snapshot := Snapshot{Index: e.Index, Term: term, Membership: *membership, Data: e.Data}
	n.snapshot, n.writes.snapshot = snapshot, &snapshot
	n.log.compact(n.log.droppable(e.Index, n.keptEntries, maxKeptBytes))
}
