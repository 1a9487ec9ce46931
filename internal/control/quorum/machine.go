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
	// clockOrigin is the time at which this host's Stamp is 0.
	clockOrigin time.Time

	hard     HardState
	log      entryLog
	commit   Index
	applied  Index
	snapshot Snapshot

	role   Role
	leader host.ID
	// leaderContact is when the leader's last message arrived. For an election timeout after
	// it, this host supports no other candidate.
	leaderContact time.Time
	// timerDue is the time of the next pre-vote or, on a leader, of the next heartbeat.
	timerDue time.Time
	// joinDue is when a host that is not admitted sends its next Join.
	joinDue time.Time
	votes   map[host.ID]bool
	// voteSequence is the sequence of the write that makes the candidate's own vote durable.
	voteSequence uint64
	// byTransfer is true if the leader asked for this candidacy.
	byTransfer bool

	// promises and challenges are the latest that each peer has sent before the founding.
	promises   map[host.ID]Generation
	challenges map[host.ID]Generation
	incoming   incomingSnapshot

	// The fields below are used by a leader only. transferee is the peer to which leadership is
	// being transferred, empty if there is none.
	progress         map[host.ID]*progress
	termStart        Index
	pendingReads     []uint64
	transferee       host.ID
	transferDeadline time.Time
	leaseRevoked     bool

	writes  writes
	actions []Action
}

// incomingSnapshot is a snapshot of which some chunks have been received.
type incomingSnapshot struct {
	term Term
	meta Snapshot
	data []byte
}

// New returns the Raft instance of a host that starts with the state in memory. Before a
// restart, the host may have heard from a leader whose lease still runs, so it supports no
// other candidate for one election timeout from now on.
func New(now time.Time, opts Options, memory RecoveredState) *Node {
	m := &Node{
		self: opts.Self, timing: opts.Timing.withDefaults(), clockOrigin: now,
		random: rand.New(rand.NewPCG(opts.Seed, uint64(memory.Hard.Generation))), //nolint:gosec // Spreads timeouts only.
		hard:   memory.Hard, log: newEntryLog(memory), snapshot: memory.Snapshot,
		commit: memory.Snapshot.Index, applied: memory.Snapshot.Index,
		role: RoleFollower, leaderContact: now, joinDue: now,
		promises: map[host.ID]Generation{}, challenges: map[host.ID]Generation{},
	}
	if m.keptEntries = Index(opts.KeptEntries); m.keptEntries == 0 {
		m.keptEntries = DefaultKeptEntries
	}
	m.writes.hard = m.hard
	if m.hard.Challenge == 0 {
		m.hard.Challenge = m.hard.Generation
	}
	m.writes.stableIndex = m.log.last()
	for _, h := range opts.Hosts {
		if h != opts.Self {
			m.peers = append(m.peers, h)
		}
	}
	slices.Sort(m.peers)
	m.timerDue = now.Add(m.electionTimeout())
	if latest := m.log.membership(); m.hard.Admitted && latest != nil && latest.Current[m.self] != m.hard.Generation {
		m.expel()
	}
	return m
}

// Step handles one event and returns the actions to carry out, in order. now must not go back
// between calls.
func (m *Node) Step(now time.Time, event Event) []Action {
	role, term, leader := m.role, m.hard.Term, m.leader
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case Received:
		m.receive(now, e.Message)
	case Propose:
		m.propose(now, e.Proposals)
	case Read:
		m.read(e.ID)
	case Persisted:
		m.handlePersisted(now, e.Sequence)
	case SnapshotTaken:
		m.compact(e)
	case TransferLeadership:
		m.startTransfer(now)
	}
	m.serveReads(now)
	m.flush()
	if m.role != role || m.hard.Term != term || m.leader != leader {
		m.emit(RoleChanged{Role: m.role, Term: m.hard.Term, Leader: m.leader})
	}
	actions := m.actions
	m.actions = nil
	return actions
}

// NextTick returns the time at which the next Tick is due.
func (m *Node) NextTick() time.Time {
	wake := m.timerDue
	if !m.hard.Admitted && m.joinDue.Before(wake) {
		wake = m.joinDue
	}
	return wake
}

func (m *Node) tick(now time.Time) {
	if !m.hard.Admitted {
		m.sendJoins(now)
	}
	if now.Before(m.timerDue) {
		return
	}
	if m.role == RoleLeader {
		m.leaderTick(now)
		return
	}
	m.startPreVote(now)
}

func (m *Node) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Node) majority() int { return (len(m.peers)+1)/2 + 1 }

func (m *Node) electionTimeout() time.Duration {
	return m.timing.ElectionTimeout + time.Duration(m.random.Int64N(int64(m.timing.ElectionTimeout/2)))
}

func (m *Node) toLeaderTime(now time.Time) LeaderTime {
	return LeaderTime(now.Sub(m.clockOrigin) / time.Microsecond)
}

func (m *Node) fromLeaderTime(s LeaderTime) time.Time {
	return m.clockOrigin.Add(time.Duration(s) * time.Microsecond)
}

// fresh reports whether this disk is not admitted and its log is empty.
func (m *Node) fresh() bool { return !m.hard.Admitted && m.log.last() == 0 }

// becomeFollower makes this host a follower in term; leader is empty if it is not known. Once
// it knows the leader of a term, a host that has not voted in it records its vote for that
// leader, so that no other candidate can get it.
func (m *Node) becomeFollower(now time.Time, term Term, leader host.ID) {
	if term > m.hard.Term {
		m.hard.Term, m.hard.Vote = term, ""
	}
	if leader != "" && m.hard.Vote == "" {
		m.hard.Vote = leader
	}
	if m.role != RoleFollower || leader != m.leader {
		m.timerDue = now.Add(m.electionTimeout())
	}
	m.resetRole()
	m.role, m.leader = RoleFollower, leader
}

// resetRole clears the state that only a leader or candidate has and rejects pending reads.
func (m *Node) resetRole() {
	for _, id := range m.pendingReads {
		m.emit(Rejected{ID: id, Reason: ReasonNotLeader, Leader: m.leader})
	}
	m.pendingReads, m.progress, m.votes = nil, nil, nil
	m.transferee, m.leaseRevoked, m.byTransfer = "", false, false
}

func (m *Node) propose(now time.Time, proposals []Proposal) {
	for _, p := range proposals {
		if reason := m.rejectReason(p); reason != "" {
			m.emit(Rejected{ID: p.ID, Reason: reason, Leader: m.leader})
			continue
		}
		e := m.appendAsLeader(Entry{Kind: EntryCommand, Command: p.Command})
		m.emit(Accepted{ID: p.ID, Index: e.Index, Term: e.Term})
	}
	if m.role == RoleLeader {
		m.sendEntriesToAll(now)
	}
}

func (m *Node) rejectReason(p Proposal) RejectReason {
	switch {
	case m.role != RoleLeader || m.transferee != "":
		return ReasonNotLeader
	case len(p.Command) > MaxCommandBytes:
		return ReasonTooLarge
	case m.writes.uncommittedBytes+len(p.Command) > maxUncommittedBytes:
		return ReasonBusy
	default:
		return ""
	}
}

// appendAsLeader appends an entry with the next index and the current term to the leader's log.
func (m *Node) appendAsLeader(e Entry) Entry {
	e.Index, e.Term = m.log.last()+1, m.hard.Term
	m.log.append([]Entry{e})
	m.writes.entries = append(m.writes.entries, e)
	m.writes.uncommittedBytes += e.size()
	return e
}

// commitTo advances the commit index, at most to the end of the log, and emits an Apply for
// the newly committed entries.
func (m *Node) commitTo(index Index) {
	index = min(index, m.log.last())
	if index <= m.commit {
		m.checkAdmission()
		return
	}
	entries := m.log.slice(m.commit+1, index)
	for _, e := range entries {
		m.writes.uncommittedBytes -= e.size()
	}
	m.writes.uncommittedBytes = max(m.writes.uncommittedBytes, 0)
	m.commit, m.applied = index, index
	m.emit(Apply{Entries: entries})
	m.checkAdmission()
}

// checkAdmission admits this disk if the committed membership lists it.
func (m *Node) checkAdmission() {
	committed := m.log.membershipAt(m.commit)
	if m.hard.Admitted || committed == nil {
		return
	}
	if committed.Current[m.self] == m.hard.Generation {
		m.admit()
	}
}

func (m *Node) admit() {
	m.hard.Admitted = true
	m.emit(Admitted{Generation: m.hard.Generation})
}

// compact has a snapshot of the application state made durable. It drops the entries that the
// snapshot covers, except the last keptEntries.
func (m *Node) compact(e SnapshotTaken) {
	term, known := m.log.term(e.Index)
	membership := m.log.membershipAt(e.Index)
	if !known || membership == nil || e.Index <= m.snapshot.Index || e.Index > m.applied {
		return
	}
	m.snapshot = Snapshot{Index: e.Index, Term: term, Membership: *membership, Data: e.Data}
	m.writes.snapshot = &m.snapshot
	if e.Index > m.keptEntries {
		m.log.compact(e.Index - m.keptEntries)
	}
}
