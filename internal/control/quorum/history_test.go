package quorum

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomHistories runs random histories of faults and checks at every action:
// one leader for each term, committed entries never lost or changed, applied logs
// equal, reads linearizable. When all is healed, every host must be admitted and
// apply a new command. rapid prints the seed of a history that fails.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 5, 7}).Draw(t, "hosts")
		w := newWorld(t, n, rapid.Uint64().Draw(t, "seed"))
		w.lossy = rapid.Bool().Draw(t, "lossy at the founding")
		w.run(time.Second)
		w.lossy = true
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			fault(t, w)
			work(w)
			w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
		}
		w.heal()
		w.run(10 * time.Second)
		leader := w.leader()
		if leader == nil {
			t.Fatalf("no leader after healing")
		}
		w.propose(leader, 1)
		w.run(2 * time.Second)
		for _, n := range w.nodes {
			if !n.machine.hard.Admitted || int(n.applied) != len(w.committed) || len(w.committed) < 2 {
				t.Fatalf("%s: admitted %v, applied %d of %d", n.id, n.machine.hard.Admitted, n.applied, len(w.committed))
			}
		}
	})
}

// fault brings one random fault about.
func fault(t *rapid.T, w *world) {
	n := w.nodes[rapid.SampledFrom(w.hosts).Draw(t, "host")]
	switch rapid.IntRange(0, 14).Draw(t, "fault") {
	case 0, 1:
		if !n.down {
			w.crash(n.id)
		}
	case 2, 3, 4:
		if n.down {
			w.boot(n.id)
		}
	case 5:
		loseDisk(w, n)
	case 14:
		returnDisk(w, n)
	case 6:
		w.cut(n.id, true, true)
	case 7:
		w.cut(n.id, true, false)
	case 8:
		w.cut(n.id, false, true)
	case 9, 10:
		w.cut(n.id, false, false)
	case 11:
		n.frozen = w.now.Add(time.Duration(w.random.IntN(2000)) * time.Millisecond)
	case 12:
		if !n.down {
			w.step(n, TransferLeadership{})
		}
	case 13:
		if !n.down && n.applied > 0 {
			w.snapshot(n)
		}
	}
}

// loseDisk empties a disk as long as a majority of disks remember.
func loseDisk(w *world, n *node) {
	lost := w.forgetful()
	if w.remembers(n) {
		lost++
	}
	if lost > (len(w.hosts)-1)/2 {
		return
	}
	w.crash(n.id)
	w.loseDisk(n.id)
}

// returnDisk gives a host the disk back that it lost last. Unless its successor had
// not been taken in yet, that loses the successor.
func returnDisk(w *world, n *node) {
	if n.lost.Hard.Generation == 0 || (w.remembers(n) && w.forgetful() >= (len(w.hosts)-1)/2) {
		return
	}
	w.crash(n.id)
	n.disk, n.lost = n.lost, n.disk
	w.boot(n.id)
}

// work proposes and reads at every host that thinks it leads.
func work(w *world) {
	for _, id := range w.hosts {
		n := w.nodes[id]
		if !n.down && !w.now.Before(n.frozen) && n.machine.role == RoleLeader {
			w.propose(n, 1+w.random.IntN(4))
			w.read(n)
		}
	}
}
