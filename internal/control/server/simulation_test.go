package server

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/lease"
	"github.com/egretreach/egretreach/internal/link/message"
)

// simulation runs a leader without links or goroutines. In each tick of virtual time the agents
// renew, the commands of the leader are applied and the agents execute their orders.
type simulation struct {
	t           require.TestingT
	start       time.Time
	server      *Server
	leader      *leader
	term        uint64
	agents      []*simulatedAgent
	lines       []string
	changeCount int
	routes      string
}

// simulatedAgent is an agent with a real lease. While it is unreachable, it keeps the replicas that
// it holds.
type simulatedAgent struct {
	info        host.Info
	lease       lease.Lease
	held        []message.HeldReplica
	unreachable bool
	// maxFence is the highest fence of the replicas that it has loaded.
	maxFence replica.Fence
}

const simulationTick = 500 * time.Millisecond

func newSimulation(t require.TestingT, agents int) *simulation {
	server, err := New(Options{ID: "c1"})
	require.NoError(t, err)
	s := &simulation{t: t, start: time.Now(), server: server}
	s.electLeader()
	for n := range agents {
		id := host.ID(fmt.Sprint("a", n+1))
		a := &simulatedAgent{info: host.Info{
			ID: id, Incarnation: 1, FabricDomain: "fabric-1", Address: string(id),
			Endpoints: []host.Endpoint{{Name: string(id), Kind: host.KindEngine, Accelerators: 8}},
		}}
		s.agents = append(s.agents, a)
		s.leader.table.Announce(time.Now(), host.RoleAgent, a.info)
	}
	return s
}

// electLeader replaces the leader by one of the next term that knows only the replicated state.
func (s *simulation) electLeader() {
	s.term++
	s.apply(0, state.Lead{Term: s.term})
	s.leader = newLeader(s.server, s.term)
	for _, a := range s.agents {
		a.lease.ForgetPending()
		s.leader.table.Announce(time.Now(), host.RoleAgent, a.info)
	}
}

func (s *simulation) apply(term uint64, c state.Command) state.Result {
	data, err := state.Encode(time.Now(), term, c)
	require.NoError(s.t, err)
	return s.server.store.Apply(0, data).(state.Result)
}

func (s *simulation) configure(yaml string) {
	result := s.apply(0, state.ApplyConfig{
		YAML: []byte(yaml), Base: s.leader.latestRevision(), ChangeID: fmt.Sprint("change-", s.changeCount), Operator: "amal",
	})
	s.changeCount++
	s.log("apply   %+v", result)
}

func (l *leader) latestRevision() view.Revision {
	r, _ := l.latestConfig()
	return r
}

func (s *simulation) log(format string, args ...any) {
	at := fmt.Sprintf("%7.1fs ", time.Since(s.start).Seconds())
	s.lines = append(s.lines, at+fmt.Sprintf(format, args...))
}

func (s *simulation) run(ticks int) {
	for range ticks {
		s.tick()
	}
}

func (s *simulation) tick() {
	time.Sleep(simulationTick)
	for _, a := range s.agents {
		if !a.unreachable {
			s.renew(a)
		}
	}
	for _, c := range s.leader.planCommands(time.Now()) {
		s.applyCommand(c)
	}
	s.leader.planCommands(time.Now())
	for _, a := range s.agents {
		if !a.unreachable {
			s.executeOrders(a)
		}
	}
	s.logRoutes()
}

func (s *simulation) renew(a *simulatedAgent) {
	now := time.Now()
	sequence := a.lease.RecordRenewal(now)
	ok := s.leader.table.Renew(now, message.Renewal{
		Host: a.info.ID, Incarnation: a.info.Incarnation, EngineHealthy: true, Held: slices.Clone(a.held),
	})
	if ok {
		a.lease.ApplyGrant(sequence, s.server.timing.LeaseTTL, 1)
	}
}

// applyCommand applies a command of the leader. For a release it first checks that each agent no
// longer holds the replica or has no valid lease.
func (s *simulation) applyCommand(c state.Command) {
	if release, ok := c.(state.Release); ok {
		for _, claim := range release.Claims {
			s.checkRelease(claim)
		}
	}
	result := s.apply(s.term, c)
	switch c := c.(type) {
	case state.Admit:
		s.log("admit   %s", c.Info.ID)
	case state.Form, state.Swap:
		if formed, ok := result.(state.Formed); ok {
			s.log("%-7s %s fence %d on %v", strings.ToLower(commandName(c)), formed.Replica.ID, formed.Replica.Fence, formed.Replica.Hosts)
		}
	default:
		s.log("%-7s %+v", strings.ToLower(commandName(c)), c)
	}
}

// checkRelease checks that the agent of a released claim does not hold the replica under a valid
// lease.
func (s *simulation) checkRelease(claim state.ReleasedClaim) {
	for _, a := range s.agents {
		holds := slices.ContainsFunc(a.held, func(h message.HeldReplica) bool { return h.Fence == claim.Fence })
		if a.info.ID == claim.Host && holds {
			require.False(s.t, a.lease.Valid(time.Now(), 1), "%s was freed while it holds the replica and a valid lease", a.info.ID)
		}
	}
}

// executeOrders executes the pending orders of an agent and checks that fences do not decrease.
func (s *simulation) executeOrders(a *simulatedAgent) {
	for _, o := range s.leader.orders.pending[a.info.ID] {
		s.log("order   %s %s %s fence %d", a.info.ID, o.Action, o.Replica.ID, o.Replica.Fence)
		a.held = slices.DeleteFunc(a.held, func(h message.HeldReplica) bool {
			return o.Action == message.OrderLoad || o.Action == message.OrderRelease && h.Fence == o.Replica.Fence
		})
		if o.Action == message.OrderLoad {
			require.GreaterOrEqual(s.t, o.Replica.Fence, a.maxFence, "fencing numbers never decrease")
			a.maxFence = o.Replica.Fence
			a.held = append(a.held, message.HeldReplica{Replica: o.Replica.ID, Fence: o.Replica.Fence, Loaded: true})
		}
		s.leader.orders.recordReport(a.info.ID, a.info.Incarnation, message.OrderDone{ID: o.ID, OK: true})
	}
	for i, h := range a.held {
		a.held[i].Serving, a.held[i].Missing = s.servingGate(a, h)
	}
}

// servingGate returns whether the agent is the head of the replica and every member is reachable
// and holds it, and the members for which that is not so.
func (s *simulation) servingGate(a *simulatedAgent, h message.HeldReplica) (bool, []host.ID) {
	var missing []host.ID
	head := false
	s.server.store.read(func(m *state.Machine) {
		for _, r := range m.Replicas() {
			if r.ID != h.Replica {
				continue
			}
			head = r.Head() == a.info.ID
			for _, member := range s.agents {
				holds := slices.ContainsFunc(member.held, func(x message.HeldReplica) bool { return x.Fence == h.Fence })
				if r.Has(member.info.ID) && (member.unreachable || !holds) {
					missing = append(missing, member.info.ID)
				}
			}
		}
	})
	return head && len(missing) == 0, missing
}

// logRoutes logs the replicas in the view of the entries when they have changed.
func (s *simulation) logRoutes() {
	var routes []string
	for id, r := range s.leader.view.routes {
		routes = append(routes, id+"="+string(r.value.Replica.State))
	}
	slices.Sort(routes)
	if now := strings.Join(routes, " "); now != s.routes {
		s.routes = now
		s.log("view    %s", now)
	}
}

// TestGoldenSession compares a simulation with a golden file: a configuration, the formation of
// replicas, the loss, replacement and return of a member, a change of leader, a drained host and a
// change of adapters. Set UPDATE_GOLDEN to rewrite the file.
func TestGoldenSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 6)
		s.configure(defaultConfig())
		s.run(6)
		s.log("-- a2 becomes unreachable")
		s.agents[1].unreachable = true
		s.run(40)
		s.log("-- a2 is back")
		s.agents[1].unreachable = false
		s.run(6)
		s.log("-- a new leader is elected")
		s.electLeader()
		s.run(12)
		s.log("-- an operator drains a4")
		s.apply(0, state.Drain{Host: "a4", Reason: "new power supply"})
		s.run(12)
		s.log("-- an adapter is added")
		s.configure(strings.ReplaceAll(defaultConfig(), "[merit-badges, rack-findings]", "[merit-badges, rack-findings, site-history]"))
		s.run(12)
		got := strings.Join(s.lines, "\n") + "\n"
		const golden = "testdata/session.golden"
		if os.Getenv("UPDATE_GOLDEN") != "" {
			require.NoError(t, os.MkdirAll("testdata", 0o750))
			require.NoError(t, os.WriteFile(golden, []byte(got), 0o600))
		}
		want, err := os.ReadFile(golden)
		require.NoError(t, err)
		require.Equal(t, string(want), got)
	})
}

// TestHostsAreFreedOnlyAfterReleaseOrLease runs random losses, returns, drains and changes of
// leader. simulation checks that a host is freed only after its release or the expiry of its lease,
// and that no agent is ordered to load under a lower fencing number.
func TestHostsAreFreedOnlyAfterReleaseOrLease(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func runRandomFaults(t *testing.T, random *rand.Rand) {
	s := newSimulation(t, 6)
	s.configure(defaultConfig())
	s.run(4)
	for range 25 {
		a := s.agents[random.IntN(len(s.agents))]
		switch random.IntN(4) {
		case 0, 1:
			a.unreachable = !a.unreachable
		case 2:
			s.apply(0, state.Drain{Host: a.info.ID, Undo: random.IntN(2) == 0})
		default:
			s.electLeader()
		}
		s.run(random.IntN(20))
	}
}
