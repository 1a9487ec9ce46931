package quorum

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// tick is the default time step of a simulation.
const tick = 5 * time.Millisecond

// defaultSyncTime is how long a sync takes on a healthy disk.
const defaultSyncTime = 2 * time.Millisecond

var testTiming = Timing{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond, DriftPercent: 10}

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	Fatalf(format string, args ...any)
}

// simulation runs nodes with simulated disks, clocks and network in small time steps. It checks
// the safety of the log at every action.
type simulation struct {
	t      testingT
	random *rand.Rand
	start  time.Time
	now    time.Time
	hosts  []host.ID
	nodes  map[host.ID]*simNode
	// strays are processes that run on with a disk that another one was to replace. They have the host's ID too.
	strays   []*simNode
	inFlight []delayedMessage
	blocked  map[[2]host.ID]bool
	tick     time.Duration
	// drop, if set, reports whether a message is lost.
	drop func(Message) bool
	// lossy is true while messages are dropped, duplicated and reordered at random.
	lossy bool
	// suspended is true once a host was suspended. Leases may overlap from then on, but no read may rest on one.
	suspended bool
	// readsOnResume is true if a host that was suspended is asked for a read before it learns of anything else.
	readsOnResume bool

	leaders     map[Term]*simNode
	committed   []committedEntry
	hashes      []uint64
	readsServed int
	lastID      uint64
}

type simNode struct {
	id   host.ID
	node *Node
	disk RecoveredState
	// previousDisk is the disk before this one.
	previousDisk  RecoveredState
	pendingWrites []pendingPersist
	down          bool
	pausedUntil   time.Time
	// cutUntil is when a process that is cut off can be reached again. Unlike the host's links, those of its successor work.
	cutUntil time.Time
	// suspended is the time that the node's clock has not counted. Until standsUntil it shows stoodAt.
	suspended   time.Duration
	standsUntil time.Time
	stoodAt     time.Time
	// clockRate is how fast the node's clock runs; 1 is the speed of the simulation.
	clockRate   float64
	applied     Index
	hash        uint64
	reads       map[uint64]int
	syncTime    time.Duration
	sent        int
	lastActions []Action
}

// committedEntry is an entry and the term in which the first host applied it.
type committedEntry struct {
	Entry
	appliedIn Term
}

type delayedMessage struct {
	at  time.Time
	to  *simNode
	msg Message
}

type pendingPersist struct {
	at    time.Time
	write Persist
}

func newSimulation(t testingT, n int, seed uint64) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0),
		nodes: map[host.ID]*simNode{}, blocked: map[[2]host.ID]bool{}, leaders: map[Term]*simNode{},
		hashes: []uint64{0}, tick: tick,
	}
	s.now = s.start
	for i := range n {
		id := host.ID(fmt.Sprintf("c%d", i+1))
		s.hosts = append(s.hosts, id)
		rate := 1 + (s.random.Float64()-0.5)*0.08
		s.nodes[id] = &simNode{id: id, clockRate: rate, syncTime: defaultSyncTime}
	}
	for _, id := range s.hosts {
		s.loseDisk(id)
		s.boot(id)
	}
	return s
}

func (s *simulation) loseDisk(id host.ID) {
	s.nodes[id].previousDisk = s.nodes[id].disk
	s.nodes[id].disk = RecoveredState{Hard: HardState{Generation: Generation(s.random.Uint64() | 1)}}
}

func (s *simulation) boot(id host.ID) { s.bootNode(s.nodes[id]) }

func (s *simulation) bootNode(n *simNode) {
	n.down, n.pendingWrites, n.reads = false, nil, map[uint64]int{}
	n.applied, n.hash = n.disk.Snapshot.Index, 0
	if n.applied > 0 {
		n.hash = binary.BigEndian.Uint64(n.disk.Snapshot.Data)
	}
	recovered := n.disk
	recovered.Entries = slices.Clone(recovered.Entries)
	n.node = New(s.clock(n), Options{Self: n.id, Hosts: s.hosts, Timing: testTiming, KeptEntries: 3, Seed: s.random.Uint64()}, recovered)
}

// crash stops a node. A random number of its pending writes, from the first on, reach the disk.
func (s *simulation) crash(id host.ID) { s.crashNode(s.nodes[id]) }

func (s *simulation) crashNode(n *simNode) {
	n.down = true
	for _, p := range n.pendingWrites[:s.random.IntN(len(n.pendingWrites)+1)] {
		n.store(p.write)
	}
	n.pendingWrites = nil
}

func (n *simNode) store(p Persist) {
	if p.Hard != nil {
		n.disk.Hard = *p.Hard
	}
	if p.Snapshot != nil {
		kept := n.disk.Entries
		if p.Reset {
			kept = nil
		}
		for len(kept) > 0 && kept[0].Index <= p.Snapshot.Index {
			kept = kept[1:]
		}
		n.disk.Snapshot, n.disk.Entries = *p.Snapshot, kept
	}
	for _, e := range p.Entries {
		if e.Index <= n.disk.Snapshot.Index {
			continue
		}
		keep := e.Index - n.disk.Snapshot.Index - 1
		n.disk.Entries = append(n.disk.Entries[:keep:keep], e)
	}
}

func (s *simulation) clock(n *simNode) time.Time {
	if s.now.Before(n.standsUntil) {
		return n.stoodAt
	}
	return s.start.Add(time.Duration(float64(s.now.Sub(s.start)-n.suspended) * n.clockRate))
}

// suspend makes a node stand still for a time that its clock does not count.
func (s *simulation) suspend(n *simNode, d time.Duration) {
	s.suspended = true
	n.stoodAt = s.clock(n)
	n.pausedUntil, n.standsUntil = s.now.Add(d), s.now.Add(d)
	n.suspended += d
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(s.tick)
		s.readOnResume()
		s.deliver()
		for _, n := range s.processes() {
			s.runNode(n)
		}
		s.checkLeases()
	}
}

// processes returns all processes, those of the hosts first.
func (s *simulation) processes() []*simNode {
	var all []*simNode
	for _, id := range s.hosts {
		all = append(all, s.nodes[id])
	}
	return append(all, s.strays...)
}

// readOnResume asks each host that has just resumed, and still takes itself for the leader, for a read.
func (s *simulation) readOnResume() {
	for _, id := range s.hosts {
		n := s.nodes[id]
		if !s.readsOnResume || n.standsUntil.IsZero() || s.now.Before(n.standsUntil) {
			continue
		}
		n.standsUntil = time.Time{}
		if !n.down && n.node.role == RoleLeader {
			s.readAs(n, s.random.IntN(2) == 0)
		}
	}
}

func (s *simulation) runNode(n *simNode) {
	if n.down || s.now.Before(n.pausedUntil) {
		return
	}
	for len(n.pendingWrites) > 0 && !s.now.Before(n.pendingWrites[0].at) {
		p := n.pendingWrites[0].write
		n.pendingWrites = n.pendingWrites[1:]
		n.store(p)
		s.step(n, Persisted{Sequence: p.Sequence})
	}
	if !s.clock(n).Before(n.node.NextTick()) {
		s.step(n, Tick{})
	}
}

func (s *simulation) deliver() {
	var later, due []delayedMessage
	for _, p := range s.inFlight {
		switch {
		case s.now.Before(p.at) || s.now.Before(p.to.pausedUntil):
			later = append(later, p)
		case !p.to.down && !s.now.Before(p.to.cutUntil) && !s.blocked[[2]host.ID{p.msg.From, p.msg.To}]:
			due = append(due, p)
		}
	}
	s.inFlight = later
	for _, p := range due {
		if !p.to.down {
			s.step(p.to, Received{Message: p.msg})
		}
	}
}

// post puts a message on its way, to each process that has the ID of the receiver.
func (s *simulation) post(m Message, delay time.Duration) {
	for _, n := range s.processes() {
		if n.id == m.To {
			s.inFlight = append(s.inFlight, delayedMessage{at: s.now.Add(delay), to: n, msg: m})
		}
	}
}

func (s *simulation) step(n *simNode, e Event) {
	n.lastActions = n.node.Step(s.clock(n), e)
	for _, a := range n.lastActions {
		s.perform(n, a)
	}
}

func (s *simulation) perform(n *simNode, action Action) {
	switch a := action.(type) {
	case Persist:
		at := s.now.Add(n.syncTime)
		if s.lossy {
			at = at.Add(time.Duration(s.random.IntN(40)) * time.Millisecond)
		}
		if k := len(n.pendingWrites); k > 0 && n.pendingWrites[k-1].at.After(at) {
			at = n.pendingWrites[k-1].at
		}
		n.pendingWrites = append(n.pendingWrites, pendingPersist{at: at, write: a})
	case Send:
		s.send(n, a.Message)
	case Apply:
		for _, e := range a.Entries {
			s.apply(n, e)
		}
	case Restore:
		n.applied, n.hash = a.Snapshot.Index, binary.BigEndian.Uint64(a.Snapshot.Data)
		s.checkApplied(n)
	case RoleChanged:
		if a.Role == RoleLeader {
			s.checkElected(n, a.Term)
		}
	case ReadReady:
		if int(a.Index) < n.reads[a.ID] {
			s.t.Fatalf("%s: read index %d is below %d, which was committed before the read", n.id, a.Index, n.reads[a.ID])
		}
		s.readsServed++
	}
}

func (s *simulation) send(n *simNode, m Message) {
	n.sent++
	if s.now.Before(n.cutUntil) {
		return
	}
	if s.drop != nil && s.drop(m) {
		return
	}
	delay := time.Millisecond
	if s.lossy {
		delay = time.Duration(1+s.random.IntN(30)) * time.Millisecond
		switch s.random.IntN(20) {
		case 0:
			return
		case 1:
			late := time.Duration(s.random.IntN(3000)) * time.Millisecond
			s.post(m, late)
		}
	}
	s.post(m, delay)
}

func (s *simulation) apply(n *simNode, e Entry) {
	if e.Index != n.applied+1 {
		s.t.Fatalf("%s applied entry %d after entry %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %d %d %s", n.hash, e.Term, e.Kind, e.Command)
	n.hash = h.Sum64()
	if int(e.Index) == len(s.hashes) {
		s.committed = append(s.committed, committedEntry{Entry: e, appliedIn: n.node.hard.Term})
		s.hashes = append(s.hashes, n.hash)
	}
	s.checkApplied(n)
}

// checkApplied checks that a node has applied the same entries as the first node that applied
// up to the same index.
func (s *simulation) checkApplied(n *simNode) {
	if int(n.applied) >= len(s.hashes) || s.hashes[n.applied] != n.hash {
		s.t.Fatalf("%s applied a different log up to %d", n.id, n.applied)
	}
}

// checkElected checks that a term has one leader and that it holds the entries committed in
// earlier terms.
func (s *simulation) checkElected(n *simNode, term Term) {
	if other, taken := s.leaders[term]; taken && other != n {
		s.t.Fatalf("term %d is led by %s and %s", term, other.id, n.id)
	}
	s.leaders[term] = n
	for _, e := range s.committed {
		got, known := n.node.log.term(e.Index)
		if e.appliedIn < term && e.Index > n.node.commit && (!known || got != e.Term) {
			s.t.Fatalf("%s leads term %d without committed entry %d", n.id, term, e.Index)
		}
	}
}

// checkLeases checks that no two hosts hold a lease at the same time.
func (s *simulation) checkLeases() {
	var leased []host.ID
	for _, n := range s.processes() {
		if !n.down && n.node.Status(s.clock(n)).HasLease {
			leased = append(leased, n.id)
		}
	}
	if len(leased) > 1 && !s.suspended {
		s.t.Fatalf("%v hold leases at the same time", leased)
	}
}

// leader returns the running leader of the highest term, or nil.
func (s *simulation) leader() *simNode {
	var best *simNode
	for _, n := range s.processes() {
		leads := !n.down && n.node.role == RoleLeader
		if leads && (best == nil || n.node.hard.Term > best.node.hard.Term) {
			best = n
		}
	}
	return best
}

func (s *simulation) propose(n *simNode, commands int) {
	var p Propose
	for range commands {
		s.lastID++
		p.Proposals = append(p.Proposals, Proposal{ID: s.lastID, Command: fmt.Appendf(nil, "command %d", s.lastID)})
	}
	s.step(n, p)
}

func (s *simulation) read(n *simNode) { s.readAs(n, false) }

// readAs reads at a node, lazily if lazy is set.
func (s *simulation) readAs(n *simNode, lazy bool) {
	s.lastID++
	n.reads[s.lastID] = len(s.committed)
	s.step(n, Read{ID: s.lastID, Lazy: lazy})
}

func (s *simulation) snapshot(n *simNode) {
	data := binary.BigEndian.AppendUint64(nil, n.hash)
	s.step(n, SnapshotTaken{Index: n.applied, Data: append(data, make([]byte, 2*chunkBytes)...)})
}

// block sets whether the messages that a host sends (out) and receives (in) are lost.
func (s *simulation) block(id host.ID, out, in bool) {
	for _, other := range s.hosts {
		s.blocked[[2]host.ID{id, other}] = out
		s.blocked[[2]host.ID{other, id}] = in
	}
}

func (s *simulation) heal() {
	s.blocked, s.lossy = map[[2]host.ID]bool{}, false
	for _, n := range s.processes() {
		n.pausedUntil, n.cutUntil = time.Time{}, time.Time{}
		if n.down {
			s.bootNode(n)
		}
	}
}

// nonVotingDisks counts the hosts whose disk is not admitted or for which some host's log lists
// another disk.
func (s *simulation) nonVotingDisks() int {
	count := 0
	for _, n := range s.nodes {
		if !s.hasVotingDisk(n) {
			count++
		}
	}
	return count
}

func (s *simulation) hasVotingDisk(n *simNode) bool {
	if !n.disk.Hard.Admitted {
		return false
	}
	for _, other := range s.nodes {
		log := newEntryLog(other.disk)
		m := log.membership()
		if m != nil && m.Current[n.id] != n.disk.Hard.Generation {
			return false
		}
	}
	return true
}
