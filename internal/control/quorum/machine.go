package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Machine is the state machine of one control host. Use New.
type Machine struct {
	self   host.ID
	peers  []host.ID
	timing Timing
	random *rand.Rand
	// kept is how many entries stay behind a snapshot.
	kept Index
	// epoch is the zero of this machine's stamps.
	epoch time.Time

	hard     HardState
	log      entryLog
	commit   Index
	applied  Index
	snapshot Snapshot

	role   Role
	leader host.ID
	// contact is when the leader was last heard; until Election after it this host
	// supports no other candidate.
	contact time.Time
	// due is the next campaign, or a leader's next heartbeat.
	due time.Time
	// joinDue is the next Join of a host that is not admitted.
	joinDue time.Time
	votes   map[host.ID]bool
	// voteSequence is the write that makes the candidate's own vote durable.
	voteSequence uint64
	// transfer says that the leader asked for this candidacy.
	transfer bool

	// promises and challenges are what the other hosts have sent before the founding.
	promises   map[host.ID]Generation
	challenges map[host.ID]Generation
	incoming   incomingSnapshot

	// State of a leader.
	progress   map[host.ID]*progress
	termStart  Index
	reads      []uint64
	leaving    host.ID
	leavingDue time.Time
	leaseOff   bool

	writes  writes
	actions []Action
}

// incomingSnapshot is a snapshot that arrives in chunks.
type incomingSnapshot struct {
	term Term
	meta Snapshot
	data []byte
}

// New returns the machine of a host that remembers memory. A process that starts
// again may have promised its leader not to vote, so it waits that time out.
func New(now time.Time, opts Options, memory Memory) *Machine {
	m := &Machine{
		self: opts.Self, timing: opts.Timing.withDefaults(), epoch: now,
		random: rand.New(rand.NewPCG(opts.Seed, uint64(memory.Hard.Generation))), //nolint:gosec // Spreads timeouts only.
		hard:   memory.Hard, log: newEntryLog(memory), snapshot: memory.Snapshot,
		commit: memory.Snapshot.Index, applied: memory.Snapshot.Index,
		role: RoleFollower, contact: now, joinDue: now,
		promises: map[host.ID]Generation{}, challenges: map[host.ID]Generation{},
	}
	if m.kept = Index(opts.KeptEntries); m.kept == 0 {
		m.kept = DefaultKeptEntries
	}
	m.writes.hard = m.hard
	if m.hard.Challenge == 0 {
		m.hard.Challenge = m.hard.Generation
	}
	m.writes.stable = m.log.last()
	for _, h := range opts.Hosts {
		if h != opts.Self {
			m.peers = append(m.peers, h)
		}
	}
	slices.Sort(m.peers)
	m.due = now.Add(m.electionTimeout())
	if latest := m.log.membership(); m.hard.Admitted && latest != nil && latest.Current[m.self] != m.hard.Generation {
		m.expel()
	}
	return m
}

// Step takes one event in and returns what is to be done, in order.
func (m *Machine) Step(now time.Time, event Event) []Action {
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
		m.persisted(now, e.Sequence)
	case Taken:
		m.taken(e)
	case Transfer:
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

// Wake returns when the next Tick is due.
func (m *Machine) Wake() time.Time {
	wake := m.due
	if !m.hard.Admitted && m.joinDue.Before(wake) {
		wake = m.joinDue
	}
	return wake
}

func (m *Machine) tick(now time.Time) {
	if !m.hard.Admitted {
		m.join(now)
	}
	if now.Before(m.due) {
		return
	}
	if m.role == RoleLeader {
		m.lead(now)
		return
	}
	m.campaign(now)
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) majority() int { return (len(m.peers)+1)/2 + 1 }

func (m *Machine) electionTimeout() time.Duration {
	return m.timing.Election + time.Duration(m.random.Int64N(int64(m.timing.Election/2)))
}

func (m *Machine) stamp(now time.Time) Stamp { return Stamp(now.Sub(m.epoch) / time.Microsecond) }

func (m *Machine) unstamp(s Stamp) time.Time {
	return m.epoch.Add(time.Duration(s) * time.Microsecond)
}

// fresh reports whether this disk has never held an entry or cast a vote.
func (m *Machine) fresh() bool { return !m.hard.Admitted && m.log.last() == 0 }

// follow enters term, with leader if one is known. In a term whose leader it
// knows, a host gives its vote to none but that leader.
func (m *Machine) follow(now time.Time, term Term, leader host.ID) {
	if term > m.hard.Term {
		m.hard.Term, m.hard.Vote = term, ""
	}
	if leader != "" && m.hard.Vote == "" {
		m.hard.Vote = leader
	}
	if m.role != RoleFollower || leader != m.leader {
		m.due = now.Add(m.electionTimeout())
	}
	m.resign()
	m.role, m.leader = RoleFollower, leader
}

// resign drops what only a leader or candidate holds.
func (m *Machine) resign() {
	for _, id := range m.reads {
		m.emit(Rejected{ID: id, Reason: ReasonNotLeader, Leader: m.leader})
	}
	m.reads, m.progress, m.votes = nil, nil, nil
	m.leaving, m.leaseOff, m.transfer = "", false, false
}

func (m *Machine) propose(now time.Time, proposals []Proposal) {
	for _, p := range proposals {
		if reason := m.refusal(p); reason != "" {
			m.emit(Rejected{ID: p.ID, Reason: reason, Leader: m.leader})
			continue
		}
		e := m.appendOwn(Entry{Kind: EntryCommand, Command: p.Command})
		m.emit(Accepted{ID: p.ID, Index: e.Index, Term: e.Term})
	}
	if m.role == RoleLeader {
		m.sendAll(now)
	}
}

func (m *Machine) refusal(p Proposal) Reason {
	switch {
	case m.role != RoleLeader || m.leaving != "":
		return ReasonNotLeader
	case len(p.Command) > MaxCommandBytes:
		return ReasonTooLarge
	case m.writes.uncommitted+len(p.Command) > maxUncommittedBytes:
		return ReasonBusy
	default:
		return ""
	}
}

// appendOwn adds an entry of the leader's own term.
func (m *Machine) appendOwn(e Entry) Entry {
	e.Index, e.Term = m.log.last()+1, m.hard.Term
	m.log.append([]Entry{e})
	m.writes.entries = append(m.writes.entries, e)
	m.writes.uncommitted += e.size()
	return e
}

// commitTo advances the commit index and hands the entries on.
func (m *Machine) commitTo(index Index) {
	index = min(index, m.log.last())
	if index <= m.commit {
		m.checkAdmission()
		return
	}
	entries := m.log.slice(m.commit+1, index)
	for _, e := range entries {
		m.writes.uncommitted -= e.size()
	}
	m.writes.uncommitted = max(m.writes.uncommitted, 0)
	m.commit, m.applied = index, index
	m.emit(Apply{Entries: entries})
	m.checkAdmission()
}

// checkAdmission admits this disk once a committed membership lists it.
func (m *Machine) checkAdmission() {
	committed := m.log.membershipAt(m.commit)
	if m.hard.Admitted || committed == nil {
		return
	}
	if committed.Current[m.self] == m.hard.Generation {
		m.admit()
	}
}

func (m *Machine) admit() {
	m.hard.Admitted = true
	m.emit(Admitted{Generation: m.hard.Generation})
}

// taken turns a snapshot of the state above into a durable one and forgets the
// entries that it stands for.
func (m *Machine) taken(e Taken) {
	term, known := m.log.term(e.Index)
	membership := m.log.membershipAt(e.Index)
	if !known || membership == nil || e.Index <= m.snapshot.Index || e.Index > m.applied {
		return
	}
	m.snapshot = Snapshot{Index: e.Index, Term: term, Membership: *membership, Data: e.Data}
	m.writes.snapshot = &m.snapshot
	if e.Index > m.kept {
		m.log.compact(e.Index - m.kept)
	}
}
