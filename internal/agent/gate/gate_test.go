package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func pair(id replica.ID, fence replica.Fence) replica.Replica {
	return replica.Replica{ID: id, Fence: fence, Hosts: []host.ID{"a", "b"}}
}

// serving returns the gate of host a, which is the head of replica r-1 with fence 5
// and has loaded the model.
func serving() *Gate {
	g := New("a")
	g.SetFenceFloor(5)
	g.Join(pair("r-1", 5), nil)
	g.SetEngineState(true, "r-1", 5, true, 100)
	return g
}

// TestLostMemberClosesGateWithinTimeout sends heartbeats and acks over a network that
// delays and reorders them by up to three seconds. The member is lost at a random
// moment. The head is paused around that moment, so that it reads heartbeats late
// that were sent before the loss; they must not keep the gate open.
func TestLostMemberClosesGateWithinTimeout(t *testing.T) {
	opened := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0))
		g := serving()
		lost := time.Duration(rng.IntN(5000)) * time.Millisecond
		slowest := time.Duration(1+rng.IntN(3000)) * time.Millisecond
		delay := func() time.Duration { return time.Duration(rng.Int64N(int64(slowest))) }
		const step = 5 * time.Millisecond
		beats := map[time.Duration][]message.Beat{}
		acks := map[time.Duration][]uint64{}
		paused := lost - time.Duration(rng.IntN(1000))*time.Millisecond
		pause := time.Duration(rng.IntN(4000)) * time.Millisecond
		var due []message.Beat // Received, but not processed yet.
		var sequence, echo uint64
		for at := time.Duration(0); at < 15*time.Second; at += step {
			for _, ack := range acks[at] {
				echo = max(echo, ack)
			}
			due = append(due, beats[at]...)
			if at < lost && at%HeartbeatInterval == 0 {
				sequence++
				arrives := (at + delay()).Truncate(step)
				beats[arrives] = append(beats[arrives], message.Beat{Replica: "r-1", Fence: 5, Host: "b", Sequence: sequence, Echo: echo})
			}
			if at >= paused && at < paused+pause {
				continue
			}
			for _, b := range due {
				ack := g.RecordHeartbeat(epoch.Add(at), &b)
				arrives := (at + delay() + step).Truncate(step)
				if arrives < lost {
					acks[arrives] = append(acks[arrives], ack.Sequence)
				}
			}
			due = nil
			reading := LeaseStatus{Now: epoch.Add(at), Leased: true}
			open := g.CheckAccept(reading, "r-1", 5) == nil
			if !open {
				continue
			}
			opened++
			require.Less(t, at, lost+HeartbeatTimeout, "seed %d: open after the loss", seed)
		}
	}
	require.Positive(t, opened, "the gate never opened")
}

func TestMayPass(t *testing.T) {
	now := LeaseStatus{Now: epoch, Leased: true}
	left := serving()
	left.Leave(pair("r-1", 5))
	tests := []struct {
		name string
		gate *Gate
		at   LeaseStatus
		r    replica.Replica
		want func(error) bool
	}{
		{"newer fence", serving(), now, pair("r-2", 6), nil},
		{"repeated order", serving(), now, pair("r-1", 5), nil},
		{"older fence", serving(), now, pair("r-0", 4), IsErrStaleFence},
		{"same fence for another replica", serving(), now, pair("r-2", 5), IsErrFenceReused},
		{"lapsed lease", serving(), LeaseStatus{Now: epoch}, pair("r-2", 6), IsErrNoLease},
		{"unknown fence floor", New("a"), now, pair("r-2", 6), IsErrFenceUnknown},
		{"replica left before", left, now, pair("r-1", 5), IsErrReplicaLeft},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := test.gate.CheckLoad(test.at, test.r)
			if test.want == nil {
				require.NoError(t, err)
				return
			}
			require.True(t, test.want(err), "%v", err)
		})
	}
}

func TestMayAccept(t *testing.T) {
	beaten := func() *Gate {
		g := serving()
		g.RecordHeartbeat(epoch, &message.Beat{Replica: "r-1", Fence: 5, Host: "b", Sequence: 1})
		g.RecordHeartbeat(epoch, &message.Beat{Replica: "r-1", Fence: 5, Host: "b", Sequence: 2, Echo: 1})
		return g
	}
	tests := []struct {
		code   string
		change func(g *Gate)
		leased bool
		fence  replica.Fence
	}{
		{"", func(*Gate) {}, true, 5},
		{CodeLeaseLapsed, func(*Gate) {}, false, 5},
		{CodeWrongReplica, func(*Gate) {}, true, 4},
		{CodeStaleFence, func(g *Gate) { g.SetFenceFloor(6) }, true, 5},
		{CodeDraining, func(g *Gate) { g.Drain() }, true, 5},
		{CodeDraining, func(g *Gate) { g.Stop() }, true, 5},
		{CodeEngineUnhealthy, func(g *Gate) { g.MarkEngineUnhealthy() }, true, 5},
		{CodeNotLoaded, func(g *Gate) { g.SetEngineState(true, "r-1", 4, true, 100) }, true, 5},
		{CodeNoReplica, func(g *Gate) { g.Leave(pair("r-1", 5)) }, true, 5},
		{CodeNotHead, func(g *Gate) { g.self = "b" }, true, 5},
		{CodeMemberDraining, func(g *Gate) {
			g.RecordHeartbeat(epoch, &message.Beat{Replica: "r-1", Fence: 5, Host: "b", Sequence: 3, Echo: 2, Draining: true})
		}, true, 5},
		{CodeMemberLost, func(g *Gate) { // A restarted member has not echoed an ack yet.
			g.RecordHeartbeat(epoch, &message.Beat{Replica: "r-1", Fence: 5, Host: "b", Sequence: 3, Echo: 2, Incarnation: 9})
		}, true, 5},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint("code ", test.code), func(t *testing.T) {
			g := beaten()
			test.change(g)
			err := g.CheckAccept(LeaseStatus{Now: epoch, Leased: test.leased}, "r-1", test.fence)
			if test.code == "" {
				require.NoError(t, err)
				return
			}
			var closed ErrClosed
			require.ErrorAs(t, err, &closed)
			require.Equal(t, test.code, closed.Code)
		})
	}
}
