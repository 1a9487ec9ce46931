package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// founded returns a world of three hosts with a leader and one command committed.
func founded(t *testing.T, seed uint64) (*world, *node, []*node) {
	w := newWorld(t, 3, seed)
	w.run(time.Second)
	leader := w.leader()
	require.NotNil(t, leader)
	w.propose(leader, 1)
	w.run(200 * time.Millisecond)
	return w, leader, w.others(leader)
}

func (w *world) others(n *node) []*node {
	var others []*node
	for _, id := range w.hosts {
		if id != n.id {
			others = append(others, w.nodes[id])
		}
	}
	return others
}

// TestEmptyDiskDoesNotVote commits entries at two hosts of three, empties one and
// stops the other. The third and the empty one must elect nobody, since neither
// holds the entries. When the stopped host is back, all three hold them.
func TestEmptyDiskDoesNotVote(t *testing.T) {
	w, leader, others := founded(t, 1)
	lagging, emptied := others[0], others[1]
	w.cut(lagging.id, true, true)
	w.propose(leader, 5)
	w.run(200 * time.Millisecond)
	committed := len(w.committed)
	w.crash(leader.id)
	w.crash(emptied.id)
	w.loseDisk(emptied.id)
	w.cut(lagging.id, false, false)
	w.boot(emptied.id)
	w.run(time.Minute)
	require.Nil(t, w.leader())
	w.boot(leader.id)
	w.run(10 * time.Second)
	require.GreaterOrEqual(t, len(w.committed), committed)
	for _, n := range w.nodes {
		require.True(t, n.machine.hard.Admitted)
		require.Len(t, w.committed, int(n.applied))
	}
}

// TestPausedLeaderServesNoRead pauses a leader while the others elect another one and
// commit. A read that it takes in first when it wakes is not served.
func TestPausedLeaderServesNoRead(t *testing.T) {
	w, paused, _ := founded(t, 13)
	w.read(paused)
	require.Equal(t, 1, w.served)
	paused.frozen = w.now.Add(time.Hour)
	w.run(5 * time.Second)
	w.propose(w.leader(), 1)
	w.run(time.Second)
	require.Equal(t, RoleLeader, paused.machine.role)
	w.read(paused)
	require.Equal(t, 1, w.served)
}

// TestVoteOfALostDisk lets a host vote in a later term and lose its disk before the
// vote arrives. The leader of the earlier term takes the new disk in only with the
// word of a majority of the others, which includes a voter that the candidate still
// needs. So the candidate cannot win without what that leader committed.
func TestVoteOfALostDisk(t *testing.T) {
	w := newWorld(t, 5, 8)
	w.run(time.Second)
	leader := w.leader()
	others := w.others(leader)
	lost, lagging, candidate := others[0], others[2], others[3]
	w.cut(candidate.id, true, true)
	candidate.machine.startElection(w.clock(candidate))
	candidate.frozen = w.now.Add(time.Hour)
	ask := Message{
		From: candidate.id, Term: candidate.machine.hard.Term, Admitted: true,
		Generation: candidate.machine.hard.Generation, Body: Vote{LastIndex: 1, LastTerm: 1},
	}
	vote := func(n *node) Message {
		n.machine.leaderContact = time.Time{}
		ask.To = n.id
		w.step(n, Received{Message: ask})
		require.Equal(t, candidate.id, n.machine.hard.Vote)
		return Message{
			From: n.id, To: candidate.id, Term: ask.Term, Admitted: true,
			Generation: n.machine.hard.Generation, Body: VoteReply{Granted: true},
		}
	}
	w.drop = func(m Message) bool {
		_, entries := m.Body.(Append)
		return entries && m.To == lagging.id
	}
	first := vote(lost)
	w.crash(lost.id)
	w.loseDisk(lost.id)
	w.boot(lost.id)
	w.run(time.Second)
	w.propose(leader, 3)
	w.run(time.Second)
	require.Equal(t, leader, w.leader())
	second := vote(lagging)
	w.step(candidate, Persisted{Sequence: candidate.machine.writes.lastSequence + 1})
	w.step(candidate, Received{Message: first})
	w.step(candidate, Received{Message: second})
	require.Equal(t, RoleLeader, candidate.machine.role)
	w.drop = nil
	w.heal()
	w.run(10 * time.Second)
	require.Zero(t, w.forgetful())
}

// TestExpelledDiskStartsOver shows a disk that the log names another one in its place
// and then the old one again, neither committed. Between the two another disk may
// have voted as this host, so this one may not vote until it is named anew.
func TestExpelledDiskStartsOver(t *testing.T) {
	w, leader, others := founded(t, 10)
	b := others[0]
	old := b.machine.hard.Generation
	listed := *b.machine.log.membership()
	replaced := listed.With(b.id, 77)
	last, term := b.machine.log.last(), b.machine.hard.Term
	w.step(b, Received{Message: Message{
		From: leader.id, To: b.id, Generation: leader.machine.hard.Generation, Term: term, Admitted: true,
		Body: Append{PrevIndex: last, PrevTerm: b.machine.log.lastTerm(), Commit: last, Entries: []Entry{
			{Index: last + 1, Term: term, Kind: EntryMembership, Membership: &replaced},
			{Index: last + 2, Term: term, Kind: EntryMembership, Membership: &listed},
		}},
	}})
	require.False(t, b.machine.hard.Admitted)
	require.NotEqual(t, old, b.machine.hard.Generation)
}

// TestSilentHostReturns cuts a follower off for an hour, wholly or one way, and also
// a candidate that had just entered a new term. The leader keeps its office.
func TestSilentHostReturns(t *testing.T) {
	for _, c := range []struct {
		name      string
		out, in   bool
		candidate bool
	}{
		{"cut", true, true, false},
		{"cannot send", true, false, false},
		{"cannot hear", false, true, false},
		{"candidate", true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, leader, others := founded(t, 2)
			silent, term := others[0], leader.machine.hard.Term
			w.cut(silent.id, c.out, c.in)
			if c.candidate {
				silent.machine.startElection(w.clock(silent))
			}
			w.tick = testTiming.HeartbeatInterval / 2
			w.run(time.Hour)
			w.tick = tick
			w.propose(leader, 1)
			w.heal()
			w.run(10 * time.Second)
			require.Equal(t, leader, w.leader())
			if !c.candidate {
				require.Equal(t, term, leader.machine.hard.Term)
			}
			require.Len(t, w.committed, int(silent.applied))
		})
	}
}

// TestLeaderCutOffStepsDown sees a leader that hears no majority give up its office
// within an election timeout and a heartbeat.
func TestLeaderCutOffStepsDown(t *testing.T) {
	w, leader, _ := founded(t, 3)
	leader.rate = 1
	w.cut(leader.id, false, true)
	w.run(testTiming.ElectionTimeout + testTiming.HeartbeatInterval + 2*tick)
	require.NotEqual(t, RoleLeader, leader.machine.role)
}

// TestLeaseEndsBeforeTheNextLeader cuts a leader with a slow clock off from peers
// with fast ones, in every direction, while a voter restarts or the leader hands
// over. No two hosts may hold a lease at one time.
func TestLeaseEndsBeforeTheNextLeader(t *testing.T) {
	for _, c := range []string{"cut", "cannot send", "cannot hear", "voter restarts", "transfer"} {
		t.Run(c, func(t *testing.T) {
			for seed := range uint64(20) {
				w, leader, others := founded(t, seed)
				slowClock(w, leader)
				w.tick = time.Millisecond
				for _, n := range w.nodes {
					n.syncs = 0
				}
				w.run(testTiming.HeartbeatInterval * 2)
				switch c {
				case "cut":
					w.cut(leader.id, true, true)
				case "cannot send":
					w.cut(leader.id, true, false)
				case "cannot hear":
					w.cut(leader.id, false, true)
				case "voter restarts":
					w.cuts[[2]host.ID{leader.id, others[0].id}] = true
					w.run(time.Second)
					w.cut(leader.id, true, true)
					w.crash(others[1].id)
					w.boot(others[1].id)
				case "transfer":
					w.step(leader, TransferLeadership{})
					w.run(w.tick)
					w.cut(leader.id, true, true)
				}
				w.run(2 * time.Second)
				require.NotEqual(t, leader, w.leader(), "seed %d", seed)
			}
		})
	}
}

// slowClock sets clocks as far apart as the drift margin allows.
func slowClock(w *world, slow *node) {
	now := w.now.Sub(w.start)
	for _, n := range w.nodes {
		local := w.clock(n)
		n.rate = 1.049
		if n == slow {
			n.rate = 0.951
		}
		n.machine.shift(w.start.Add(time.Duration(float64(now) * n.rate)).Sub(local))
	}
}

// shift moves all times that a machine remembers.
func (m *Node) shift(d time.Duration) {
	for _, at := range []*time.Time{&m.clockOrigin, &m.leaderContact, &m.timerDue, &m.joinDue, &m.transferDeadline} {
		*at = at.Add(d)
	}
	for _, p := range m.progress {
		p.lastReply, p.ackedSendTime, p.sentAt, p.advancedAt = p.lastReply.Add(d), p.ackedSendTime.Add(d), p.sentAt.Add(d), p.advancedAt.Add(d)
	}
}

// TestFounderLosesItsDisk empties the founder's disk at each moment of the founding,
// over a network that delays and doubles. One log comes of it.
func TestFounderLosesItsDisk(t *testing.T) {
	for seed := range uint64(300) {
		w := newWorld(t, 3, seed)
		w.lossy = true
		w.run(time.Duration(seed) * 2 * time.Millisecond)
		w.crash("c1")
		w.loseDisk("c1")
		w.boot("c1")
		w.run(4 * time.Second)
		w.heal()
		w.run(4 * time.Second)
		leader := w.leader()
		require.NotNil(t, leader, "seed %d", seed)
		w.propose(leader, 1)
		w.run(time.Second)
		for _, n := range w.nodes {
			require.True(t, n.machine.hard.Admitted, "seed %d: %s", seed, n.id)
			require.Len(t, w.committed, int(n.applied), "seed %d: %s", seed, n.id)
		}
	}
}

// TestLateWordsOfALostFounder delivers messages of a founder's lost disk to a host
// that has since promised to follow the new one. All hosts end in one founding.
func TestLateWordsOfALostFounder(t *testing.T) {
	for _, late := range []string{"join and append", "admit"} {
		t.Run(late, func(t *testing.T) {
			w := newWorld(t, 3, 9)
			w.drop = func(m Message) bool {
				_, join := m.Body.(Join)
				return m.From == "c1" && !join
			}
			w.run(time.Second)
			old, b := w.nodes["c1"].machine, w.nodes["c2"]
			require.True(t, old.hard.Admitted)
			founding := *old.log.membership()
			message := func(body Body) Event {
				return Received{Message: Message{
					From: "c1", To: "c2", Generation: old.hard.Generation, Term: bootstrapTerm, Admitted: true, Body: body,
				}}
			}
			challenge := b.machine.hard.Challenge
			w.drop = func(m Message) bool { return m.From == "c3" || m.To == "c3" }
			w.crash("c1")
			w.loseDisk("c1")
			w.boot("c1")
			w.run(time.Second)
			require.Equal(t, w.nodes["c1"].machine.hard.Generation, b.machine.hard.Promise)
			if late == "admit" {
				w.step(b, message(Admit{BootstrapDisk: founding.BootstrapDisk, Initial: founding.Initial, Echo: challenge}))
			} else {
				w.step(b, message(Join{Fresh: true, Echo: challenge}))
				w.step(b, message(Append{Entries: []Entry{bootstrapEntry(founding)}}))
			}
			w.drop = nil
			w.run(5 * time.Second)
			for _, n := range w.nodes {
				require.Equal(t, w.nodes["c1"].disk.Hard.Generation, n.machine.log.membership().BootstrapDisk, n.id)
			}
		})
	}
}

// TestOtherDisksOfAHost has a second disk speak in the name of a host that answers,
// and late words of a lost disk arrive while the host is away. In both cases the
// disk in use stays a voter.
func TestOtherDisksOfAHost(t *testing.T) {
	for _, away := range []bool{false, true} {
		w, leader, others := founded(t, 4)
		named := others[0]
		sent := leader.machine.toLeaderTime(w.clock(leader))
		if away {
			w.cut(named.id, true, true)
			w.run(5 * time.Second)
		}
		for _, body := range []Body{Join{Fresh: true}, HeartbeatReply{Sent: sent}} {
			w.step(leader, Received{Message: Message{
				From: named.id, To: leader.id, Generation: 77, Term: leader.machine.hard.Term, Body: body,
			}})
			require.Equal(t, named.machine.hard.Generation, leader.machine.log.membership().Current[named.id])
		}
		w.heal()
		w.run(5 * time.Second)
		require.Len(t, w.committed, int(named.applied))
	}
}

// TestLateMessages sends a follower a snapshot and entries of the start of what it
// has. What stands behind may have been acknowledged and stays.
func TestLateMessages(t *testing.T) {
	w, leader, others := founded(t, 11)
	b := others[0]
	w.drop = func(m Message) bool { return m.From != leader.id }
	w.propose(leader, 4)
	w.run(testTiming.HeartbeatInterval)
	last, commit := b.machine.log.last(), b.machine.commit
	require.Equal(t, commit+4, last)
	term := leader.machine.hard.Term
	for _, late := range []Body{
		Append{PrevIndex: commit, PrevTerm: term, Commit: commit, Entries: b.machine.log.slice(commit+1, commit+1)},
		SnapshotChunk{Snapshot: Snapshot{Index: commit + 2, Term: term, Membership: *b.machine.log.membership()}},
	} {
		w.step(b, Received{Message: Message{
			From: leader.id, To: b.id, Generation: leader.machine.hard.Generation, Term: term, Body: late,
		}})
		require.Equal(t, last, b.machine.log.last())
	}
	require.Equal(t, commit+2, b.machine.commit)
}

// TestVotersAreBound asks a host that hears its leader for support and for a vote,
// with a log as good as its own. It gives neither and stays in its term.
func TestVotersAreBound(t *testing.T) {
	w, _, others := founded(t, 15)
	voter, candidate := others[0], others[1]
	term, last, lastTerm := voter.machine.hard.Term, voter.machine.log.last(), voter.machine.log.lastTerm()
	for _, ask := range []Body{
		PreVote{Next: term + 1, LastIndex: last, LastTerm: lastTerm},
		Vote{LastIndex: last, LastTerm: lastTerm},
	} {
		w.step(voter, Received{Message: Message{
			From: candidate.id, To: voter.id, Generation: candidate.machine.hard.Generation,
			Term: term + 1, Admitted: true, Body: ask,
		}})
		require.NotContains(t, fmt.Sprintf("%+v", voter.last), "Granted:true")
		require.Equal(t, term, voter.machine.hard.Term)
	}
}

// TestVoteNeedsTheLog asks for votes and for support with logs that end early. A host
// that holds more gives neither, even when a leader asked for the candidacy.
func TestVoteNeedsTheLog(t *testing.T) {
	w, _, others := founded(t, 12)
	voter, candidate := others[0], others[1]
	term := voter.machine.hard.Term
	last, lastTerm := voter.machine.log.last(), voter.machine.log.lastTerm()
	for _, short := range []Body{
		PreVote{Next: term + 1, LastIndex: last - 1, LastTerm: lastTerm},
		PreVote{Next: term + 1, LastIndex: last + 9, LastTerm: lastTerm - 1},
		Vote{LastIndex: last - 1, LastTerm: lastTerm, Transfer: true},
		Vote{LastIndex: last + 9, LastTerm: lastTerm - 1, Transfer: true},
	} {
		voter.machine.leaderContact = time.Time{}
		w.step(voter, Received{Message: Message{
			From: candidate.id, To: voter.id, Generation: candidate.machine.hard.Generation,
			Term: term + 1, Admitted: true, Body: short,
		}})
		w.run(tick)
		require.NotEqual(t, candidate.id, voter.machine.hard.Vote)
		for _, p := range w.net {
			reply, granted := p.msg.Body.(PreVoteReply)
			require.False(t, granted && reply.Granted)
		}
	}
}

// TestHostsDiffer founds a log of three hosts while a fourth is set up with five. It
// takes nothing in and says why.
func TestHostsDiffer(t *testing.T) {
	w, leader, others := founded(t, 14)
	wrong := others[0]
	w.loseDisk(wrong.id)
	w.hosts = append(w.hosts, "c4", "c5")
	w.boot(wrong.id)
	w.hosts = w.hosts[:3]
	entries := leader.machine.log.slice(1, 1)
	w.step(wrong, Received{Message: Message{
		From: leader.id, Generation: leader.machine.hard.Generation, Term: bootstrapTerm, Body: Append{Entries: entries},
	}})
	require.Contains(t, wrong.last, HostsDiffer{InitialHosts: w.hosts})
	require.Zero(t, wrong.machine.log.last())
}

// TestTransfer sees the office move without an election timeout, and nothing lost.
func TestTransfer(t *testing.T) {
	w, leader, _ := founded(t, 5)
	w.propose(leader, 10)
	w.step(leader, TransferLeadership{})
	w.run(testTiming.ElectionTimeout / 3)
	next := w.leader()
	require.NotNil(t, next)
	require.NotEqual(t, leader, next)
	w.run(200 * time.Millisecond)
	require.Len(t, w.committed, int(next.applied))
	require.GreaterOrEqual(t, len(w.committed), 12)
}

// TestCatchUpBySnapshot lets hundreds of entries pass a host by. It comes back by a
// snapshot in parts that fit a frame.
func TestCatchUpBySnapshot(t *testing.T) {
	w, leader, others := founded(t, 6)
	away := others[0]
	w.crash(away.id)
	w.propose(leader, 500)
	w.run(time.Second)
	w.snapshot(leader)
	w.run(100 * time.Millisecond)
	w.boot(away.id)
	before := away.machine.snapshot.Index
	w.run(2 * time.Second)
	require.Greater(t, away.machine.snapshot.Index, before)
	require.Len(t, w.committed, int(away.applied))
	chunk := SnapshotChunk{Snapshot: leader.machine.snapshot, Data: make([]byte, chunkBytes)}
	chunk.Snapshot.Data = nil
	raw, err := Message{Body: chunk}.Encode()
	require.NoError(t, err)
	require.Less(t, len(raw), 8<<20)
}

// TestEntriesOfEarlierTerms runs the history of figure 3.7 in Ongaro 2014: an entry
// of an earlier term that a majority holds is not committed by that alone.
func TestEntriesOfEarlierTerms(t *testing.T) {
	w, leader, others := founded(t, 7)
	m := others[0].machine
	commit := m.commit
	m.log.append([]Entry{{Index: m.log.last() + 1, Term: m.hard.Term}})
	held := m.log.last()
	w.crash(leader.id)
	m.hard.Term++
	m.becomeLeader(w.clock(others[0]))
	m.writes.stableIndex = held
	p := m.progress[others[1].id]
	p.admitted, p.match = true, held
	m.advanceCommit(w.clock(others[0]))
	require.Equal(t, commit, m.commit)
}
