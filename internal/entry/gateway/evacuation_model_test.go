package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	modelSeeds = 8
	modelSteps = 4000
	// modelHosts is the number of control hosts, of which modelMajority are a majority.
	modelHosts    = 5
	modelMajority = 3
	modelGateways = 3
)

var modelDomains = []string{"a", "b", "c"}

// modelEntry is an entry of the replicated log.
type modelEntry struct {
	term int
	data []byte
}

// modelHost is a control host: its disk, with a snapshot of the entries up to snapshotAt, and the state machine of its process.
type modelHost struct {
	log        []modelEntry
	snapshot   []byte
	snapshotAt int
	machine    *portalstate.Machine
	// applied is the last entry that the process has applied, and highest the last that machine has ever applied.
	applied, highest int
	// admitted is false from the loss of the disk until the host has all committed entries again.
	admitted, up bool
}

// modelGateway is a gateway with its subscription.
type modelGateway struct {
	*Gateway
	host int
	// queue holds the updates under way, in order and encoded.
	queue [][]byte
	// sent is the revision of the last update that had the set, if subscribed.
	subscribed bool
	sent       uint64
	// asked is the latest question, and needs holds for each the revision of the last change that was acknowledged before it.
	asked, confirmed uint64
	needs            map[uint64]uint64
}

// evacuationModel has control hosts with the real state machine on a simulated log, and real gateways.
type evacuationModel struct {
	t        *testing.T
	random   *rand.Rand
	hosts    []*modelHost
	gateways []*modelGateway
	term     int
	// leader is the index of the leader, or -1.
	leader    int
	committed int
	version   uint64
	// sets are the reference: the set after each committed entry, by its index.
	sets []portalstate.Evacuations
	// acknowledged is the index of the last acknowledged command.
	acknowledged int
}

// TestNoAcknowledgedEvacuationIsLost draws evacuations, withdrawals, configurations, snapshots, restarts, lost disks, changes of leader,
// logs that are opened again, subscriptions and delayed updates. It guards against an acknowledged change that is lost or reverted at a
// control host, and against a gateway that treats its set as confirmed, or sends to a domain, contrary to what was acknowledged.
func TestNoAcknowledgedEvacuationIsLost(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			m := &evacuationModel{t: t, random: rand.New(rand.NewPCG(seed, 7)), leader: -1, sets: make([]portalstate.Evacuations, 1)}
			for range modelHosts {
				m.hosts = append(m.hosts, &modelHost{machine: &portalstate.Machine{}, admitted: true, up: true})
			}
			for range modelGateways {
				m.gateways = append(m.gateways, m.newGateway())
			}
			for range modelSteps {
				m.step()
				m.check()
			}
			require.Greater(t, m.committed, modelSteps/20, "the model makes progress")
			require.NotEmpty(t, m.sets[m.committed].Revision)
		})
	}
}

func (m *evacuationModel) step() {
	h := m.hosts[m.random.IntN(modelHosts)]
	switch m.random.IntN(16) {
	case 0, 1, 2:
		m.propose(portalstate.Evacuation{Domain: modelDomains[m.random.IntN(len(modelDomains))], Active: m.random.IntN(2) == 0}.Encode())
	case 3:
		m.version++
		m.propose(portalstate.Document{Version: m.version, Bytes: []byte(strings.Repeat("x", int(m.version)))}.Encode())
	case 4:
		m.elect()
	case 5, 6, 7:
		m.replicate(h)
	case 8:
		m.takeSnapshot(h)
	case 9:
		m.restart(h)
	case 10:
		m.reopen(h)
	case 11:
		m.loseDisk(h)
	default:
		m.stepGateway(m.gateways[m.random.IntN(modelGateways)])
	}
}

// propose appends a command at the leader. It is acknowledged if a majority of admitted hosts gets it and the leader keeps running.
func (m *evacuationModel) propose(data []byte, err error) {
	require.NoError(m.t, err)
	if m.leader < 0 {
		return
	}
	leader := m.hosts[m.leader]
	leader.log = append(leader.log, modelEntry{m.term, data})
	for _, h := range m.hosts {
		if h != leader && m.random.IntN(3) > 0 {
			m.replicate(h)
		}
	}
	m.commit()
	if m.committed == len(leader.log) && m.random.IntN(8) > 0 {
		m.acknowledged = m.committed
	}
	if m.random.IntN(10) == 0 {
		m.leader = -1
	}
}

// replicate makes a host's log that of the leader, by a snapshot if the host has lost its disk.
func (m *evacuationModel) replicate(h *modelHost) {
	if m.leader < 0 || !h.up {
		return
	}
	leader := m.hosts[m.leader]
	if h == leader {
		m.commit()
		m.apply(h)
		return
	}
	if h.log == nil && leader.snapshotAt > h.snapshotAt {
		h.snapshot, h.snapshotAt = leader.snapshot, leader.snapshotAt
		require.NoError(m.t, h.machine.Restore(h.snapshot))
		h.applied = max(h.applied, h.snapshotAt)
		h.highest = max(h.highest, h.applied)
	}
	h.log = slices.Clone(leader.log)
	m.commit()
	h.admitted = h.admitted || len(h.log) >= m.committed
	if m.random.IntN(2) == 0 {
		m.apply(h)
	}
}

// commit commits the entries of the leader's term that a majority of admitted hosts has, and with them all before.
func (m *evacuationModel) commit() {
	leader := m.hosts[m.leader]
	for index := len(leader.log); index > m.committed; index-- {
		holders := 0
		for _, h := range m.hosts {
			if h.admitted && len(h.log) >= index && h.log[index-1].term == leader.log[index-1].term {
				holders++
			}
		}
		if leader.log[index-1].term == m.term && holders >= modelMajority {
			m.extendReference(leader.log[m.committed:index])
			m.committed = index
			return
		}
	}
}

// extendReference adds committed entries to the reference, which implements the rules independently.
func (m *evacuationModel) extendReference(entries []modelEntry) {
	for _, e := range entries {
		last := m.sets[len(m.sets)-1]
		var c struct {
			Evacuation *portalstate.Evacuation `cbor:"5,keyasint,omitempty"`
		}
		require.NoError(m.t, cbor.Unmarshal(e.data, &c))
		if c.Evacuation != nil && slices.Contains(last.Domains, c.Evacuation.Domain) != c.Evacuation.Active {
			domains := slices.DeleteFunc(slices.Clone(last.Domains), func(d string) bool { return d == c.Evacuation.Domain })
			if c.Evacuation.Active {
				domains = append(domains, c.Evacuation.Domain)
			}
			slices.Sort(domains)
			last = portalstate.Evacuations{Revision: uint64(len(m.sets)), Domains: domains}
		}
		m.sets = append(m.sets, last)
	}
}

// apply applies the committed entries that a host has.
func (m *evacuationModel) apply(h *modelHost) {
	for h.applied < min(m.committed, len(h.log)) {
		h.applied++
		h.machine.Apply(uint64(h.applied), h.log[h.applied-1].data)
		h.highest = max(h.highest, h.applied)
	}
}

// elect lets the host with the newest log among a random majority of the admitted hosts lead.
func (m *evacuationModel) elect() {
	var votes []int
	for _, i := range m.random.Perm(modelHosts) {
		if h := m.hosts[i]; h.up && h.admitted && len(votes) < modelMajority {
			votes = append(votes, i)
		}
	}
	if m.leader = -1; len(votes) < modelMajority {
		return
	}
	m.term++
	m.leader = slices.MaxFunc(votes, func(a, b int) int {
		la, lb := m.hosts[a].log, m.hosts[b].log
		if ta, tb := lastTerm(la), lastTerm(lb); ta != tb {
			return ta - tb
		}
		return len(la) - len(lb)
	})
	require.GreaterOrEqual(m.t, len(m.hosts[m.leader].log), m.committed, "the model's elections keep what is committed")
}

func lastTerm(log []modelEntry) int {
	if len(log) == 0 {
		return 0
	}
	return log[len(log)-1].term
}

func (m *evacuationModel) takeSnapshot(h *modelHost) {
	if h.applied < h.highest || h.applied <= h.snapshotAt {
		return
	}
	data, err := h.machine.Snapshot()
	require.NoError(m.t, err)
	h.snapshot, h.snapshotAt = data, h.applied
}

// restart starts the process of a host again, with its disk.
func (m *evacuationModel) restart(h *modelHost) {
	if m.leader >= 0 && h == m.hosts[m.leader] {
		m.leader = -1
	}
	h.machine, h.highest = &portalstate.Machine{}, 0
	m.reopen(h)
	for _, g := range m.gateways {
		if m.hosts[g.host] == h {
			g.subscribed = false
		}
	}
}

// reopen opens the log of a host again: the state machine of its process gets the snapshot and the entries after it again.
func (m *evacuationModel) reopen(h *modelHost) {
	h.applied = 0
	if h.snapshotAt > 0 {
		require.NoError(m.t, h.machine.Restore(h.snapshot))
		h.applied = h.snapshotAt
		h.highest = max(h.highest, h.applied)
	}
	if m.random.IntN(2) == 0 {
		m.apply(h)
	}
}

// loseDisk empties the disk of a host, as long as two at most are without what is committed.
func (m *evacuationModel) loseDisk(h *modelHost) {
	admitted := 0
	for _, other := range m.hosts {
		if other != h && other.admitted {
			admitted++
		}
	}
	if admitted < modelMajority {
		return
	}
	h.log, h.snapshot, h.snapshotAt, h.admitted = nil, nil, 0, false
	m.restart(h)
}

func (m *evacuationModel) newGateway() *modelGateway {
	g := &modelGateway{Gateway: New(Options{FailureDomain: "a", Dialect: testDialect()}), needs: map[uint64]uint64{}, host: m.random.IntN(modelHosts)}
	var endpoints []roster.Endpoint
	for _, d := range modelDomains {
		endpoints = append(endpoints, roster.Endpoint{ID: d, Service: "plain", Address: d, FailureDomain: d, Slots: 1 << 20, StartedMs: 1, Sequence: 1})
	}
	g.applyUpdate(&message.Picture{Endpoints: endpoints})
	return g
}

func (m *evacuationModel) stepGateway(g *modelGateway) {
	switch m.random.IntN(8) {
	case 0:
		g.host, g.subscribed = m.random.IntN(modelHosts), false
	case 1:
		if m.random.IntN(6) == 0 {
			*g = *m.newGateway()
		}
	case 2, 3:
		g.asked = g.nextQuestion(true).Number
		g.needs[g.asked] = m.sets[m.acknowledged].Revision
		if m.confirms(m.hosts[g.host]) {
			m.send(g, g.asked)
		}
	case 4:
		m.send(g, 0)
	default:
		m.deliver(g)
	}
}

// confirms reports whether a host can answer a question now: the leader with a majority, and another host once it has the leader's revision.
func (m *evacuationModel) confirms(h *modelHost) bool {
	if m.leader < 0 {
		return false
	}
	leader := m.hosts[m.leader]
	if lastTerm(leader.log[:min(m.committed, len(leader.log))]) != m.term || leader.applied < leader.highest {
		return false // A barrier needs a committed entry of the term.
	}
	m.apply(leader)
	answer := leader.machine.Evacuations().Revision
	return h.machine.Evacuations().Revision >= answer && h.machine.Current().Version >= leader.machine.Current().Version
}

// send sends an update as a control host does.
func (m *evacuationModel) send(g *modelGateway, confirmed uint64) {
	h := m.hosts[g.host]
	if !g.subscribed {
		g.queue = nil
	}
	set, document := h.machine.Evacuations(), h.machine.Current()
	u := &message.Picture{
		Version: document.Version, Document: document.Bytes, EvacuationRevision: set.Revision, Confirmed: confirmed, Complete: !g.subscribed,
	}
	if !g.subscribed || g.sent != set.Revision {
		u.Evacuated = &message.Evacuated{Domains: set.Domains}
	}
	g.subscribed, g.sent = true, set.Revision
	frame, err := cbor.Marshal(u)
	require.NoError(m.t, err)
	g.queue = append(g.queue, frame)
}

func (m *evacuationModel) deliver(g *modelGateway) {
	if len(g.queue) == 0 {
		return
	}
	var u message.Picture
	require.NoError(m.t, cbor.Unmarshal(g.queue[0], &u))
	g.queue = g.queue[1:]
	before := g.evacuationRevision
	g.applyUpdate(&u)
	require.GreaterOrEqual(m.t, g.evacuationRevision, before)
	ended, cancel := context.WithCancel(m.t.Context())
	cancel()
	if u.Confirmed > g.confirmed && g.freshness.Wait(ended, u.Confirmed) {
		g.confirmed = u.Confirmed
	}
}

// check requires that all state machines and gateways have a state of the reference, and the confirmed gateways one that is new enough.
func (m *evacuationModel) check() {
	for i, h := range m.hosts {
		require.Equal(m.t, m.sets[h.highest].Revision, h.machine.Evacuations().Revision, "host %d", i)
		require.ElementsMatch(m.t, m.sets[h.highest].Domains, h.machine.Evacuations().Domains, "host %d", i)
	}
	for i, g := range m.gateways {
		require.GreaterOrEqual(m.t, g.evacuationRevision, g.needs[g.confirmed], "gateway %d lacks an acknowledged change", i)
		if g.table.Load() == nil {
			continue
		}
		reference := m.sets[g.evacuationRevision]
		now := time.Now()
		d, _ := g.balancer.Submit(balance.Request{Service: "plain"}, now)
		if d.Endpoint.ID == "" {
			require.Len(m.t, reference.Domains, len(modelDomains), "gateway %d refuses", i)
			continue
		}
		require.False(m.t, reference.Has(d.Endpoint.FailureDomain), "gateway %d sends to %s", i, d.Endpoint.FailureDomain)
		g.balancer.RequestEnded(d.Endpoint.ID, balance.Request{}, false, balance.ResultSuccess, now)
	}
}
