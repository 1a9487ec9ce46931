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

// sim drives the leader's decisions without links or goroutines: agents renew and
// obey once in each tick of virtual time, and the leader's commands are applied.
type sim struct {
	t      require.TestingT
	start  time.Time
	server *Server
	leader *leader
	term   uint64
	agents []*simAgent
	lines  []string
	base   int
	routes string
}

// simAgent is an agent with a daemon's real lease. A silent one keeps what it holds.
type simAgent struct {
	info   host.Info
	lease  lease.Lease
	held   []message.HeldReplica
	silent bool
	// fence is the highest that it has loaded.
	fence replica.Fence
}

const simTick = 500 * time.Millisecond

func newSim(t require.TestingT, agents int) *sim {
	server, err := New(Options{ID: "c1"})
	require.NoError(t, err)
	s := &sim{t: t, start: time.Now(), server: server}
	s.elect()
	for n := range agents {
		id := host.ID(fmt.Sprint("a", n+1))
		a := &simAgent{info: host.Info{
			ID: id, Incarnation: 1, FabricDomain: "fabric-1", Address: string(id),
			Endpoints: []host.Endpoint{{Name: string(id), Kind: host.KindEngine, Accelerators: 8}},
		}}
		s.agents = append(s.agents, a)
		s.leader.table.Announce(time.Now(), host.RoleAgent, a.info)
	}
	return s
}

// elect puts a leader in office that knows only the replicated state.
func (s *sim) elect() {
	s.term++
	s.apply(0, state.Lead{Term: s.term})
	s.leader = newLeader(s.server, s.term)
	for _, a := range s.agents {
		a.lease.ForgetPending()
		s.leader.table.Announce(time.Now(), host.RoleAgent, a.info)
	}
}

func (s *sim) apply(term uint64, c state.Command) state.Result {
	data, err := state.Encode(time.Now(), term, c)
	require.NoError(s.t, err)
	return s.server.store.Apply(0, data).(state.Result)
}

func (s *sim) configure(yaml string) {
	result := s.apply(0, state.ApplyConfig{
		YAML: []byte(yaml), Base: s.leader.revisionNow(), ChangeID: fmt.Sprint("change-", s.base), Operator: "amal",
	})
	s.base++
	s.log("apply   %+v", result)
}

func (l *leader) revisionNow() view.Revision {
	r, _ := l.latestConfig()
	return r
}

func (s *sim) log(format string, args ...any) {
	at := fmt.Sprintf("%7.1fs ", time.Since(s.start).Seconds())
	s.lines = append(s.lines, at+fmt.Sprintf(format, args...))
}

func (s *sim) run(ticks int) {
	for range ticks {
		s.tick()
	}
}

func (s *sim) tick() {
	time.Sleep(simTick)
	for _, a := range s.agents {
		if !a.silent {
			s.renew(a)
		}
	}
	for _, c := range s.leader.planCommands(time.Now()) {
		s.command(c)
	}
	s.leader.planCommands(time.Now())
	for _, a := range s.agents {
		if !a.silent {
			s.obey(a)
		}
	}
	s.view()
}

func (s *sim) renew(a *simAgent) {
	now := time.Now()
	sequence := a.lease.RecordRenewal(now)
	ok := s.leader.table.Renew(now, message.Renewal{
		Host: a.info.ID, Incarnation: a.info.Incarnation, EngineHealthy: true, Held: slices.Clone(a.held),
	})
	if ok {
		a.lease.ApplyGrant(sequence, s.server.timing.LeaseTTL, 1)
	}
}

// command applies a command of the leader. A host is freed only if its agent does
// not hold the claim any more, or has no valid lease.
func (s *sim) command(c state.Command) {
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

func (s *sim) checkRelease(claim state.ReleasedClaim) {
	for _, a := range s.agents {
		holds := slices.ContainsFunc(a.held, func(h message.HeldReplica) bool { return h.Fence == claim.Fence })
		if a.info.ID == claim.Host && holds {
			require.False(s.t, a.lease.Valid(time.Now(), 1), "%s was freed while it serves", a.info.ID)
		}
	}
}

// obey carries out all orders, in their order.
func (s *sim) obey(a *simAgent) {
	for _, o := range s.leader.orders.pending[a.info.ID] {
		s.log("order   %s %s %s fence %d", a.info.ID, o.Action, o.Replica.ID, o.Replica.Fence)
		a.held = slices.DeleteFunc(a.held, func(h message.HeldReplica) bool {
			return o.Action == message.OrderLoad || o.Action == message.OrderRelease && h.Fence == o.Replica.Fence
		})
		if o.Action == message.OrderLoad {
			require.GreaterOrEqual(s.t, o.Replica.Fence, a.fence, "fencing numbers only grow")
			a.fence = o.Replica.Fence
			a.held = append(a.held, message.HeldReplica{Replica: o.Replica.ID, Fence: o.Replica.Fence, Loaded: true})
		}
		s.leader.orders.recordReport(a.info.ID, a.info.Incarnation, message.OrderDone{ID: o.ID, OK: true})
	}
	for i, h := range a.held {
		a.held[i].Serving, a.held[i].Missing = s.gate(a, h)
	}
}

// gate is the serving gate of a head: every member holds the replica and answers.
func (s *sim) gate(a *simAgent, h message.HeldReplica) (bool, []host.ID) {
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
				if r.Has(member.info.ID) && (member.silent || !holds) {
					missing = append(missing, member.info.ID)
				}
			}
		}
	})
	return head && len(missing) == 0, missing
}

// view logs the replicas that entries may use, when they change.
func (s *sim) view() {
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

// TestGoldenSession is a whole session at the state machines: a configuration,
// replicas formed, a member lost and replaced, its return, a change of leader, a
// drained host and a change of adapters. Set UPDATE_GOLDEN to write the file anew.
func TestGoldenSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, 6)
		s.configure(defaultConfig())
		s.run(6)
		s.log("-- a2 falls silent")
		s.agents[1].silent = true
		s.run(40)
		s.log("-- a2 is back")
		s.agents[1].silent = false
		s.run(6)
		s.log("-- another leader")
		s.elect()
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

// TestHostsAreFreedSafely runs random losses, returns, drains and changes of leader.
// The checks stand in sim: a host is freed only after its release or its lease, and
// no agent is ordered to load under a lower fencing number.
func TestHostsAreFreedSafely(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { disturb(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func disturb(t *testing.T, random *rand.Rand) {
	s := newSim(t, 6)
	s.configure(defaultConfig())
	s.run(4)
	for range 25 {
		a := s.agents[random.IntN(len(s.agents))]
		switch random.IntN(4) {
		case 0, 1:
			a.silent = !a.silent
		case 2:
			s.apply(0, state.Drain{Host: a.info.ID, Undo: random.IntN(2) == 0})
		default:
			s.elect()
		}
		s.run(random.IntN(20))
	}
}
