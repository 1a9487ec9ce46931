package voter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// TestVoteOfTheLongestSilentVoterIsMoved guards against a vote that is taken from a host that was silent for a shorter time, or from one
// that answers.
func TestVoteOfTheLongestSilentVoterIsMoved(t *testing.T) {
	var m Moves
	now := time.Unix(1_000, 0)
	_, found := m.Lost([]Peer{{Host: "a"}, {Host: "b", SinceLastReply: ReplaceTimeout - 1}}, now)
	require.False(t, found)
	lost, found := m.Lost([]Peer{
		{Host: "a", SinceLastReply: ReplaceTimeout}, {Host: "b", SinceLastReply: ReplaceTimeout + 1}, {Host: "c", SinceLastReply: ReplaceTimeout},
	}, now)
	require.True(t, found)
	require.Equal(t, host.ID("b"), lost)
}

// TestHostThatJoinsKeepsItsVote guards against a second host that gets the vote of a lost one while the first one is sent the log, and
// against a vote that is blocked by a host that died before its disk answered.
func TestHostThatJoinsKeepsItsVote(t *testing.T) {
	var m Moves
	now := time.Unix(1_000, 0)
	silent := Peer{Host: "a", SinceLastReply: time.Minute}
	require.True(t, m.Begin())
	require.False(t, m.Begin(), "two moves at a time")
	m.End("a", now)
	_, found := m.Lost([]Peer{silent}, now.Add(joinTimeout-1))
	require.False(t, found, "its link is being opened")

	joining := silent
	joining.Joining = true
	_, found = m.Lost([]Peer{joining}, now.Add(time.Hour))
	require.False(t, found, "its disk is sent the log")
	lost, found := m.Lost([]Peer{silent}, now.Add(joinTimeout))
	require.True(t, found)
	require.Equal(t, host.ID("a"), lost)
	require.True(t, m.Begin())
}
