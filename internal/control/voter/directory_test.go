package voter

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

func vote(id string, address string, sequence uint64) message.Founder {
	return message.Founder{Host: host.ID(id), Address: address, Sequence: sequence}
}

// TestAddressNeverGoesBack tells the sets of a series of moves in random order, some of them again. It guards against a host that replays old
// moves, or hears them late, and sends to an address that is gone.
func TestAddressNeverGoesBack(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // Chooses the order only.
		set := []message.Founder{vote("a", "a:0", 0), vote("b", "b:0", 0), vote("c", "c:0", 0)}
		var sets [][]message.Founder
		var directory Directory
		directory.Adopt(set, "test")
		for range 10 {
			set = append([]message.Founder{}, set...)
			moved := &set[random.IntN(len(set))]
			moved.Sequence++
			moved.Address = fmt.Sprint(moved.Host, ":", moved.Sequence)
			sets = append(sets, set, set)
		}
		random.Shuffle(len(sets), func(i, k int) { sets[i], sets[k] = sets[k], sets[i] })
		for _, told := range sets {
			before := directory.Votes()
			directory.Learn(told, "test")
			for i, v := range directory.Votes() {
				require.GreaterOrEqual(t, v.Sequence, before[i].Sequence, "seed %d", seed)
			}
		}
		require.Equal(t, set, directory.Votes(), "seed %d", seed)
		require.Equal(t, uint64(10), directory.Moves())
	}
}

// TestSetOfVotesIsFixed guards against a vote that only one host knows, and against a host without a set that takes over a part of one.
func TestSetOfVotesIsFixed(t *testing.T) {
	var directory Directory
	require.Empty(t, directory.Learn([]message.Founder{vote("a", "a:1", 1)}, "test"))
	require.Empty(t, directory.Votes())
	directory.Adopt([]message.Founder{vote("a", "a:1", 1)}, "test")
	require.Equal(t, []host.ID{"a"}, directory.Learn([]message.Founder{vote("x", "x:1", 1), vote("a", "a:2", 2)}, "test"))
	require.Equal(t, []host.ID{"a"}, directory.Hosts())
}

func ExampleDirectory() {
	directory := NewDirectory(map[host.ID]string{"a": "10.0.0.1:7340"})
	directory.Learn([]message.Founder{{Host: "a", Address: "10.0.0.7:7340", Sequence: 2}}, "log")
	directory.Learn([]message.Founder{{Host: "a", Address: "10.0.0.4:7340", Sequence: 1}}, "a replayed entry")
	fmt.Println(directory.Address("a"))
	// Output: 10.0.0.7:7340
}
