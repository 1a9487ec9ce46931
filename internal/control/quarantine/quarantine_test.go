package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

var start = time.UnixMilli(1_000_000)

func crash(n byte, suspects ...uint64) message.CrashReport {
	return message.CrashReport{CrashID: request.ID{n}, Suspects: suspects}
}

func ExampleState() {
	var s State
	s.Crash(start, crash(1, 7, 8))
	s.Complete(start, []uint64{8})
	s.Crash(start, crash(2, 7, 9))
	for _, q := range s.View(start) {
		fmt.Println(q.BodyHash, "suspect:", q.Suspect)
	}
	// Output:
	// 7 suspect: false
	// 9 suspect: true
}

func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	var s State
	s.Crash(start, crash(1, 7, 7))
	change := s.Crash(start, crash(1, 7))
	require.True(t, change.Duplicate)
	require.True(t, s.View(start)[0].Suspect)
}

func TestExpiredQuarantineBecomesSuspectAndNextIsTwiceAsLong(t *testing.T) {
	var s State
	s.Crash(start, crash(1, 7))
	s.Crash(start, crash(2, 7))
	require.False(t, s.View(start.Add(DefaultQuarantineFor - time.Millisecond))[0].Suspect)
	later := start.Add(DefaultQuarantineFor)
	require.True(t, s.View(later)[0].Suspect)
	s.Crash(later, crash(3, 7))
	require.Equal(t, later.Add(2*DefaultQuarantineFor).UnixMilli(), s.View(later)[0].ExpiresUnixMs)
	s.Complete(later, []uint64{7})
	require.Len(t, s.View(later), 1, "a late completion does not free a quarantined body")
	s.Expire(later.Add(2*DefaultQuarantineFor + DefaultSuspectFor))
	require.Empty(t, s.Entries)
}

func TestClearFreesOneOrAllBodies(t *testing.T) {
	var s State
	s.Crash(start, crash(1, 7, 8, 9))
	s.Crash(start, crash(2, 7))
	require.Equal(t, []uint64{7}, s.Clear(7).Removed)
	require.Equal(t, []uint64{8, 9}, s.Clear(0).Removed)
	require.Empty(t, s.View(start))
}

func TestMaxEntriesEvictsSuspectsBeforeQuarantinedBodies(t *testing.T) {
	s := State{Policy: Policy{MaxEntries: 4, MaxCrashes: 3}}
	s.Crash(start, crash(1, 7))
	s.Crash(start, crash(2, 7))
	for n := range byte(20) {
		at := start.Add(time.Duration(n) * time.Second)
		s.Crash(at, crash(10+n, uint64(100+n), uint64(200+n)))
		require.LessOrEqual(t, len(s.Entries), 4)
		require.LessOrEqual(t, len(s.CrashIDs), 3)
		require.Equal(t, uint64(7), s.View(at)[0].BodyHash)
	}
}

func TestEncodingKeepsState(t *testing.T) {
	var s State
	s.Crash(start, crash(1, 9, 7, 8))
	s.Crash(start, crash(2, 7))
	data, err := cbor.Marshal(s)
	require.NoError(t, err)
	var back State
	require.NoError(t, cbor.Unmarshal(data, &back))
	require.Equal(t, s, back)
	require.True(t, back.Crash(start, crash(2, 8)).Duplicate)
}
