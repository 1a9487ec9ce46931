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

func pairReplica(id replica.ID, fence replica.Fence) replica.Replica {
	return replica.Replica{ID: id, Fence: fence, Hosts: []host.ID{"a", "b"}}
}

// servingGate returns the gate of host a, which is the head of replica r-1 with
// fence 5 and has loaded the model.
func servingGate() *Gate {
	g := New("a")
	g.SetFenceFloor(5)
	g.Join(pairReplica("r-1", 5), nil)
	g.SetEngineState(true, "r-1", 5, true, 100)
	return g
}

// TestLostMemberClosesGateWithinTimeout sends heartbeats and acks over a network that
// delays and reorders them by up to three seconds. The member is lost at a random
// moment. The head is paused around that moment, so that it reads heartbeats late
// that were sent before the loss; they must not keep the gate open.
func TestLostMemberClosesGateWithinTimeout(t *testing.T) {
	openChecks := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0))
		g := servingGate()
		lostAt := time.Duration(rng.IntN(5000)) * time.Millisecond
		maxDelay := time.Duration(1+rng.IntN(3000)) * time.Millisecond
		delay := func() time.Duration { return time.Duration(rng.Int64N(int64(maxDelay))) }
		const step = 5 * time.Millisecond
		heartbeats := map[time.Duration][]message.Beat{}
		acks := map[time.Duration][]uint64{}
		pauseStart := lostAt - time.Duration(rng.IntN(1000))*time.Millisecond
		pause := time.Duration(rng.IntN(4000)) * time.Millisecond
		var received []message.Beat // Arrived, but not processed yet.
		var sequence, echo uint64
		for at := time.Duration(0); at < 15*time.Second; at += step {
			for _, ack := range acks[at] {
				echo = max(echo, ack)
			}
			received = append(received, heartbeats[at]...)
			if at < lostAt && at%HeartbeatInterval == 0 {
				sequence++
				arrives := (at + delay()).Truncate(step)
				heartbeats[arrives] = append(heartbeats[arrives], message.Beat{Replica: "r-1", Fence: 5, Host: "b", Sequence: sequence, Echo: echo})
			}
			if at >= pauseStart && at < pauseStart+pause {
				continue
			}
			for _, b := range received {
				ack := g.RecordHeartbeat(epoch.Add(at), &b)
				arrives := (at + delay() + step).Truncate(step)
				if arrives < lostAt {
					acks[arrives] = append(acks[arrives], ack.Sequence)
				}
			}
			received = nil
			status := LeaseStatus{Now: epoch.Add(at), Leased: true}
			open := g.CheckAccept(status, "r-1", 5) == nil
			if !open {
				continue
			}
			openChecks++
			require.Less(t, at, lostAt+HeartbeatTimeout, "seed %d: gate open too long after the loss", seed)
		}
	}
	require.Positive(t, openChecks, "the gate never opened")
}

func TestCheckLoad(t *testing.T) {
	now := LeaseStatus{Now: epoch, Leased: true}
	left := servingGate()
	left.Leave(pairReplica("r-1", 5))
	tests := []struct {
		name string
		gate *Gate
		at   LeaseStatus
		r    replica.Replica
		want func(error) bool
	}{
		{"newer fence", servingGate(), now, pairReplica("r-2", 6), nil},
		{"repeated order", servingGate(), now, pairReplica("r-1", 5), nil},
		{"older fence", servingGate(), now, pairReplica("r-0", 4), IsErrStaleFence},
		{"same fence for another replica", servingGate(), now, pairReplica("r-2", 5), IsErrFenceReused},
		{"lapsed lease", servingGate(), LeaseStatus{Now: epoch}, pairReplica("r-2", 6), IsErrNoLease},
		{"unknown fence floor", New("a"), now, pairReplica("r-2", 6), IsErrFenceUnknown},
		{"replica left before", left, now, pairReplica("r-1", 5), IsErrReplicaLeft},
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

func TestCheckAccept(t *testing.T) {
	newGate := func() *Gate {
		g := servingGate()
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
		{CodeNoReplica, func(g *Gate) { g.Leave(pairReplica("r-1", 5)) }, true, 5},
		{CodeNotHead, func(g *Gate) { g.host = "b" }, true, 5},
		{CodeMemberDraining, func(g *Gate) {
			g.RecordHeartbeat(epoch, &message.Beat{Replica: "r-1", Fence: 5, Host: "b", Sequence: 3, Echo: 2, Draining: true})
		}, true, 5},
		{CodeMemberLost, func(g *Gate) { // A restarted member has not echoed an ack yet.
			g.RecordHeartbeat(epoch, &message.Beat{Replica: "r-1", Fence: 5, Host: "b", Sequence: 3, Echo: 2, Incarnation: 9})
		}, true, 5},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint("code ", test.code), func(t *testing.T) {
			g := newGate()
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
