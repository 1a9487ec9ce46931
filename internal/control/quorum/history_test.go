package quorum

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomHistories runs random histories of faults, among them disks that take the place of those of other hosts with
// the entries and votes of their own terms, and checks at every action that a term has
// one leader, that committed entries are never lost or changed, that applied logs are equal and
// that reads are linearizable. After all faults are healed, every host must be admitted and apply
// a new command. rapid prints the seed of a history that fails.
func TestRandomHistories(t *testing.T) { runRandomHistories(t, false, anyFault) }

// TestRandomHistoriesWithSuspendedHosts is the same with hosts that are suspended while their clocks stand still. It
// guards against a read that rests on a clock: a lease that is long over, or an answer to an earlier message.
func TestRandomHistoriesWithSuspendedHosts(t *testing.T) { runRandomHistories(t, true, anyFault) }

// TestRandomHistoriesOfReplacedProcesses is the same with faults around replaced processes. Displaced disks come back, or take the place of
// those of other hosts, with the entries and votes of their own terms. It guards against a disk that counts before the log names it.
func TestRandomHistoriesOfReplacedProcesses(t *testing.T) {
	runRandomHistories(t, false, []int{0, 2, 2, 6, 7, 9, 9, 10, 10, 11, 12, 13, 14, 14, 14, 15, 15, 15, 15, 16})
}

func runRandomHistories(t *testing.T, suspends bool, faults []int) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5, 7}).Draw(t, "hosts")
		s := newSimulation(t, n, rapid.Uint64().Draw(t, "seed"))
		s.readsOnResume = suspends
		s.lossy = rapid.Bool().Draw(t, "lossy during the bootstrap")
		s.run(time.Second)
		s.lossy = true
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			if suspends && rapid.IntRange(0, 4).Draw(t, "suspend") == 0 {
				suspendLeader(s)
			}
			injectFault(t, s, faults)
			proposeAndRead(s)
			s.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
		}
		s.settleStrays()
		s.heal()
		s.run(10 * time.Second)
		leader := s.leader()
		if leader == nil {
			t.Fatalf("no leader after healing")
		}
		s.propose(leader, 1)
		s.run(2 * time.Second)
		for _, n := range s.nodes {
			if !n.node.hard.Admitted || int(n.applied) != len(s.committed) || len(s.committed) < 2 {
				t.Fatalf("%s: admitted %v, applied %d of %d", n.id, n.node.hard.Admitted, n.applied, len(s.committed))
			}
		}
	})
}

// suspendLeader suspends the host that leads, right after it was asked for a read, so that it has sent messages
// at the time at which its clock stands still.
func suspendLeader(s *simulation) {
	n := s.leader()
	if n == nil || s.now.Before(n.standsUntil) {
		return
	}
	s.read(n)
	s.suspend(n, time.Duration(500+s.random.IntN(4000))*time.Millisecond)
}

// anyFault has the numbers of all faults of injectFault. faultOfPresentDisk are those by which no host gets back a disk that it had lost.
var (
	anyFault           = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	faultOfPresentDisk = anyFault[:16]
)

// injectFault injects one random fault of some at a random host.
func injectFault(t *rapid.T, s *simulation, faults []int) {
	n := s.nodes[rapid.SampledFrom(s.hosts).Draw(t, "host")]
	switch rapid.SampledFrom(faults).Draw(t, "fault") {
	case 0, 1:
		if !n.down {
			s.crash(n.id)
		}
	case 2, 3, 4:
		if n.down {
			s.boot(n.id)
		}
	case 5:
		loseDisk(s, n)
	case 14:
		displace(s, n)
	case 15:
		moveStray(s, n)
	case 16:
		restorePreviousDisk(s, n)
	case 6:
		s.block(n.id, true, true)
	case 7:
		s.block(n.id, true, false)
	case 8:
		s.block(n.id, false, true)
	case 9, 10:
		s.block(n.id, false, false)
	case 11:
		n.pausedUntil = s.now.Add(time.Duration(s.random.IntN(2000)) * time.Millisecond)
	case 12:
		if !n.down {
			s.step(n, TransferLeadership{})
		}
	case 13:
		if !n.down && n.applied > 0 {
			s.snapshot(n)
		}
	}
}

// loseDisk empties the disk of n, unless a majority would then be without a voting disk.
func loseDisk(s *simulation, n *simNode) {
	if !mayLoseDisk(s, n) {
		return
	}
	s.crash(n.id)
	s.loseDisk(n.id)
}

// mayLoseDisk reports whether a majority keeps a voting disk if n loses its own.
func mayLoseDisk(s *simulation, n *simNode) bool {
	lost := s.nonVotingDisks()
	if s.hasVotingDisk(n) {
		lost++
	}
	return lost <= (len(s.hosts)-1)/2
}

// displace replaces the process of n while it stands still or is cut off for up to three seconds, unless a majority would then be without a
// voting disk. The log has been bootstrapped: until then there is one process for each host.
func displace(s *simulation, n *simNode) {
	if n.down || !n.disk.Hard.Admitted || !mayLoseDisk(s, n) {
		return
	}
	absence := time.Duration(s.random.IntN(3000)) * time.Millisecond
	if s.random.IntN(2) == 0 {
		n.pausedUntil = s.now.Add(absence)
	} else {
		n.cutUntil = s.now.Add(absence)
	}
	s.displace(n)
}

// moveStray gives the disk of a displaced process, with its log and the votes that it gave, to n in place of its own.
func moveStray(s *simulation, n *simNode) {
	for _, stray := range s.strays {
		if stray.id != n.id && s.isDisplaced(stray) && mayLoseDisk(s, n) {
			s.moveStray(stray, n)
			return
		}
	}
}

// restorePreviousDisk gives a host back the disk that it lost last. If its present disk has been
// admitted, that counts as losing a disk.
func restorePreviousDisk(s *simulation, n *simNode) {
	if n.previousDisk.Hard.Generation == 0 || (s.hasVotingDisk(n) && s.nonVotingDisks() >= (len(s.hosts)-1)/2) {
		return
	}
	s.crash(n.id)
	n.disk, n.previousDisk = n.previousDisk, n.disk
	s.boot(n.id)
}

// proposeAndRead proposes and reads at every running host whose role is leader.
func proposeAndRead(s *simulation) {
	for _, id := range s.hosts {
		n := s.nodes[id]
		if !n.down && !s.now.Before(n.pausedUntil) && n.node.role == RoleLeader {
			s.propose(n, 1+s.random.IntN(4))
			s.readAs(n, s.random.IntN(2) == 0)
		}
	}
}
