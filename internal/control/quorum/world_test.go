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

// tick is how far a world's time moves at once, unless it says otherwise.
const tick = 5 * time.Millisecond

var testTiming = Timing{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond, DriftPercent: 10}

// failer is what both *testing.T and *rapid.T can do.
type failer interface {
	Fatalf(format string, args ...any)
}

// world is a network of machines with fake disks, driven in small steps of time.
// It checks the safety of the log at every action.
type world struct {
	t      failer
	random *rand.Rand
	start  time.Time
	now    time.Time
	hosts  []host.ID
	nodes  map[host.ID]*node
	net    []packet
	cuts   map[[2]host.ID]bool
	tick   time.Duration
	// drop, if set, tells which messages are lost.
	drop func(Message) bool
	// lossy messages are dropped, doubled and reordered.
	lossy bool

	leaders   map[Term]host.ID
	committed []committedEntry
	hashes    []uint64
	served    int
	next      uint64
}

type node struct {
	id      host.ID
	machine *Node
	disk    RecoveredState
	// lost is the disk before this one.
	lost   RecoveredState
	writes []pendingPersist
	down   bool
	frozen time.Time
	// rate is that of the node's clock.
	rate    float64
	applied Index
	hash    uint64
	reads   map[uint64]int
	syncs   time.Duration
	sent    int
	last    []Action
}

// committedEntry is an entry and the term in which the first host applied it.
type committedEntry struct {
	Entry
	in Term
}

type packet struct {
	at  time.Time
	msg Message
}

type pendingPersist struct {
	at    time.Time
	write Persist
}

func newWorld(t failer, n int, seed uint64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0),
		nodes: map[host.ID]*node{}, cuts: map[[2]host.ID]bool{}, leaders: map[Term]host.ID{},
		hashes: []uint64{0}, tick: tick,
	}
	w.now = w.start
	for i := range n {
		id := host.ID(fmt.Sprintf("c%d", i+1))
		w.hosts = append(w.hosts, id)
		rate := 1 + (w.random.Float64()-0.5)*0.08
		w.nodes[id] = &node{id: id, rate: rate, syncs: 2 * time.Millisecond}
	}
	for _, id := range w.hosts {
		w.loseDisk(id)
		w.boot(id)
	}
	return w
}

func (w *world) loseDisk(id host.ID) {
	w.nodes[id].lost = w.nodes[id].disk
	w.nodes[id].disk = RecoveredState{Hard: HardState{Generation: Generation(w.random.Uint64() | 1)}}
}

func (w *world) boot(id host.ID) {
	n := w.nodes[id]
	n.down, n.writes, n.reads = false, nil, map[uint64]int{}
	n.applied, n.hash = n.disk.Snapshot.Index, 0
	if n.applied > 0 {
		n.hash = binary.BigEndian.Uint64(n.disk.Snapshot.Data)
	}
	memory := n.disk
	memory.Entries = slices.Clone(memory.Entries)
	n.machine = New(w.clock(n), Options{Self: id, Hosts: w.hosts, Timing: testTiming, KeptEntries: 3, Seed: w.random.Uint64()}, memory)
}

// crash stops a node; of its writes under way only some have reached the disk.
func (w *world) crash(id host.ID) {
	n := w.nodes[id]
	n.down = true
	for _, p := range n.writes[:w.random.IntN(len(n.writes)+1)] {
		n.store(p.write)
	}
	n.writes = nil
}

func (n *node) store(p Persist) {
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

func (w *world) clock(n *node) time.Time {
	return w.start.Add(time.Duration(float64(w.now.Sub(w.start)) * n.rate))
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(w.tick)
		w.deliver()
		for _, id := range w.hosts {
			w.turn(w.nodes[id])
		}
		w.checkLeases()
	}
}

func (w *world) turn(n *node) {
	if n.down || w.now.Before(n.frozen) {
		return
	}
	for len(n.writes) > 0 && !w.now.Before(n.writes[0].at) {
		p := n.writes[0].write
		n.writes = n.writes[1:]
		n.store(p)
		w.step(n, Persisted{Sequence: p.Sequence})
	}
	if !w.clock(n).Before(n.machine.NextTick()) {
		w.step(n, Tick{})
	}
}

func (w *world) deliver() {
	var later, due []packet
	for _, p := range w.net {
		to := w.nodes[p.msg.To]
		switch {
		case w.now.Before(p.at) || w.now.Before(to.frozen):
			later = append(later, p)
		case !to.down && !w.cuts[[2]host.ID{p.msg.From, p.msg.To}]:
			due = append(due, p)
		}
	}
	w.net = later
	for _, p := range due {
		w.step(w.nodes[p.msg.To], Received{Message: p.msg})
	}
}

func (w *world) step(n *node, e Event) {
	n.last = n.machine.Step(w.clock(n), e)
	for _, a := range n.last {
		w.act(n, a)
	}
}

func (w *world) act(n *node, action Action) {
	switch a := action.(type) {
	case Persist:
		at := w.now.Add(n.syncs)
		if w.lossy {
			at = w.now.Add(time.Duration(w.random.IntN(40)) * time.Millisecond)
		}
		if k := len(n.writes); k > 0 && n.writes[k-1].at.After(at) {
			at = n.writes[k-1].at
		}
		n.writes = append(n.writes, pendingPersist{at: at, write: a})
	case Send:
		w.post(n, a.Message)
	case Apply:
		for _, e := range a.Entries {
			w.apply(n, e)
		}
	case Restore:
		n.applied, n.hash = a.Snapshot.Index, binary.BigEndian.Uint64(a.Snapshot.Data)
		w.check(n)
	case RoleChanged:
		if a.Role == RoleLeader {
			w.elected(n, a.Term)
		}
	case ReadReady:
		if int(a.Index) < n.reads[a.ID] {
			w.t.Fatalf("%s read at %d what was committed to %d before", n.id, a.Index, n.reads[a.ID])
		}
		w.served++
	}
}

func (w *world) post(n *node, m Message) {
	n.sent++
	if w.drop != nil && w.drop(m) {
		return
	}
	delay := time.Millisecond
	if w.lossy {
		delay = time.Duration(1+w.random.IntN(30)) * time.Millisecond
		switch w.random.IntN(20) {
		case 0:
			return
		case 1:
			late := time.Duration(w.random.IntN(3000)) * time.Millisecond
			w.net = append(w.net, packet{at: w.now.Add(late), msg: m})
		}
	}
	w.net = append(w.net, packet{at: w.now.Add(delay), msg: m})
}

func (w *world) apply(n *node, e Entry) {
	if e.Index != n.applied+1 {
		w.t.Fatalf("%s applied %d behind %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %d %d %s", n.hash, e.Term, e.Kind, e.Command)
	n.hash = h.Sum64()
	if int(e.Index) == len(w.hashes) {
		w.committed = append(w.committed, committedEntry{Entry: e, in: n.machine.hard.Term})
		w.hashes = append(w.hashes, n.hash)
	}
	w.check(n)
}

// check compares a node's applied log with the first one applied up to there.
func (w *world) check(n *node) {
	if int(n.applied) >= len(w.hashes) || w.hashes[n.applied] != n.hash {
		w.t.Fatalf("%s applied another log up to %d", n.id, n.applied)
	}
}

// elected checks that a term has one leader and that it holds what was committed in
// the terms before.
func (w *world) elected(n *node, term Term) {
	if other, taken := w.leaders[term]; taken && other != n.id {
		w.t.Fatalf("term %d is led by %s and %s", term, other, n.id)
	}
	w.leaders[term] = n.id
	for _, e := range w.committed {
		got, known := n.machine.log.term(e.Index)
		if e.in < term && e.Index > n.machine.commit && (!known || got != e.Term) {
			w.t.Fatalf("%s leads term %d without committed entry %d", n.id, term, e.Index)
		}
	}
}

// checkLeases checks that no two hosts may serve reads at one time.
func (w *world) checkLeases() {
	var leased []host.ID
	for _, id := range w.hosts {
		n := w.nodes[id]
		if !n.down && n.machine.Status(w.clock(n)).HasLease {
			leased = append(leased, id)
		}
	}
	if len(leased) > 1 {
		w.t.Fatalf("%v hold leases at one time", leased)
	}
}

// leader returns the leader of the highest term that runs, or nil.
func (w *world) leader() *node {
	var best *node
	for _, n := range w.nodes {
		leads := !n.down && n.machine.role == RoleLeader
		if leads && (best == nil || n.machine.hard.Term > best.machine.hard.Term) {
			best = n
		}
	}
	return best
}

func (w *world) propose(n *node, commands int) {
	var p Propose
	for range commands {
		w.next++
		p.Proposals = append(p.Proposals, Proposal{ID: w.next, Command: fmt.Appendf(nil, "command %d", w.next)})
	}
	w.step(n, p)
}

func (w *world) read(n *node) {
	w.next++
	n.reads[w.next] = len(w.committed)
	w.step(n, Read{ID: w.next})
}

func (w *world) snapshot(n *node) {
	data := binary.BigEndian.AppendUint64(nil, n.hash)
	w.step(n, SnapshotTaken{Index: n.applied, Data: append(data, make([]byte, 2*chunkBytes)...)})
}

// cut stops all traffic of a host, or only what it sends or receives.
func (w *world) cut(id host.ID, out, in bool) {
	for _, other := range w.hosts {
		w.cuts[[2]host.ID{id, other}] = out
		w.cuts[[2]host.ID{other, id}] = in
	}
}

func (w *world) heal() {
	w.cuts, w.lossy = map[[2]host.ID]bool{}, false
	for _, id := range w.hosts {
		w.nodes[id].frozen = time.Time{}
		if w.nodes[id].down {
			w.boot(id)
		}
	}
}

// forgetful counts the hosts whose disks may not vote, or that some log has named
// another disk for.
func (w *world) forgetful() int {
	count := 0
	for _, n := range w.nodes {
		if !w.remembers(n) {
			count++
		}
	}
	return count
}

func (w *world) remembers(n *node) bool {
	if !n.disk.Hard.Admitted {
		return false
	}
	for _, other := range w.nodes {
		log := newEntryLog(other.disk)
		m := log.membership()
		if m != nil && m.Current[n.id] != n.disk.Hard.Generation {
			return false
		}
	}
	return true
}
