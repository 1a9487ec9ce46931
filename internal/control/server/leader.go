package server

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/control/membership"
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/control/quota"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/lease"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// minReconcileInterval is the pause between the end of one run of reconcile and the next.
	minReconcileInterval = 20 * time.Millisecond
	// maxConcurrentProposals limits the proposals of one run of reconcile that wait for the log.
	maxConcurrentProposals = 32
)

// leader is the state that a control host keeps in memory while it is the leader of term.
type leader struct {
	server             *Server
	term               uint64
	reconcileRequested chan struct{}

	mu          sync.Mutex
	table       *membership.Table
	sessions    map[processKey]*session
	orders      *orderTracker
	view        *versionedView
	configCache configCache
	quota       *quota.Allocator
	history     *placementHistory
	// keeper decides which requests are held back since they crash engines.
	breaker quarantine.Breaker
}

func newLeader(s *Server, term uint64) *leader {
	now := time.Now()
	l := &leader{
		server: s, term: term, reconcileRequested: make(chan struct{}, 1),
		table:    membership.New(now, s.timing.LeaseTTL),
		sessions: map[processKey]*session{},
		orders:   newOrderTracker(),
		view:     newVersionedView(),
		history:  newPlacementHistory(),
		quota:    quota.New(now, lease.GrantorDuration(s.timing.LeaseTTL)),
	}
	l.syncMembership(now)
	return l
}

// requestReconcile makes run call reconcile soon. It does not block.
func (l *leader) requestReconcile() {
	select {
	case l.reconcileRequested <- struct{}{}:
	default:
	}
}

// run calls reconcile on every request and change of the replicated state, and at least every
// ReconcileInterval, until ctx ends.
func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(l.server.timing.ReconcileInterval)
	defer ticker.Stop()
	for {
		l.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minReconcileInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.reconcileRequested:
		case <-l.server.store.changed:
		}
	}
}

// reconcile updates the state in memory, requests pushes to the daemons and proposes the resulting
// commands. If there were any, it requests another run.
func (l *leader) reconcile(ctx context.Context) {
	commands := l.planCommands(time.Now())
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentProposals)
	for _, c := range commands {
		group.Go(func() error {
			if _, err := l.server.proposeInTerm(ctx, l.term, c); err != nil {
				event.ProposalFailed.On(l.server.opts.Logger).Str("command", commandName(c)).Err(err).Msg("")
			}
			return nil
		})
	}
	_ = group.Wait()
	if len(commands) > 0 {
		l.requestReconcile()
	}
}

// planCommands updates the state in memory to the time now, requests a push to every session, and
// returns the commands that follow from the state.
func (l *leader) planCommands(now time.Time) []state.Command {
	l.syncMembership(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.table.ExpireLeases(now) {
		event.HostLost.On(l.server.opts.Logger).Str("host", string(id)).Msg("")
	}
	fleet := l.fleetSnapshotLocked(now)
	l.quota.SetTeams(teamNames(fleet.config))
	l.orders.update(fleet)
	l.view.update(fleet)
	l.endSupersededSessions(fleet)
	for _, session := range l.sessions {
		session.requestPush()
	}
	commands := append(admitCommands(l.table.Admissible(now)), l.holdCommands(now, fleet.holds)...)
	if lost := fleet.hostsToForget(); len(lost) > 0 {
		for _, id := range lost {
			l.table.StopGrants(id)
		}
		commands = append(commands, state.Forget{Hosts: lost})
	}
	commands = append(commands, fleet.releaseCommands(l.orders)...)
	commands = append(commands, fleet.advanceCommands()...)
	return append(commands, fleet.placementCommands(l.orders, l.history, l.server.opts.Logger)...)
}

// syncMembership copies the admitted hosts from the replicated state to the membership table and
// drops the others.
func (l *leader) syncMembership(now time.Time) {
	l.server.store.read(func(m *state.Machine) {
		l.mu.Lock()
		defer l.mu.Unlock()
		known := map[host.ID]bool{}
		for _, h := range m.Hosts() {
			known[h.Info.ID] = true
			l.table.RecordAdmitted(now, h.Role, h.Info)
		}
		for _, d := range l.table.Daemons() {
			if !known[d.Info.ID] {
				l.forgetLocked(d.Info.ID)
			}
		}
	})
}

// endSupersededSessions ends the sessions of processes that a later process of their host has
// replaced, and notifies them.
func (l *leader) endSupersededSessions(fleet *fleetSnapshot) {
	for _, h := range fleet.hosts {
		for _, former := range h.FormerIncarnations {
			key := processKey{host: h.Info.ID, incarnation: former}
			if session := l.sessions[key]; session != nil {
				session.endWith(supersededFailure())
				delete(l.sessions, key)
			}
		}
	}
}

// forgetLocked drops a host and closes its sessions. A process of it that is still running has to
// announce itself again.
func (l *leader) forgetLocked(id host.ID) {
	l.table.Forget(id)
	for key, session := range l.sessions {
		if key.host == id {
			session.stream.Cancel()
		}
	}
}

func admitCommands(candidates []membership.Candidate) []state.Command {
	commands := make([]state.Command, len(candidates))
	for i, c := range candidates {
		commands[i] = state.Admit{Role: c.Role, Info: c.Info}
	}
	return commands
}

// confirmLeadership returns nil if this host was the leader of l.term at some moment since the
// call, and has applied every command that was committed before that.
func (l *leader) confirmLeadership(ctx context.Context) error {
	if err := l.server.log.Barrier(ctx); err != nil {
		return err
	}
	if status := l.server.log.Status(); !status.Leading || status.Term != l.term {
		return ErrNotLeader{Leader: status.Leader}
	}
	return nil
}

// fleetSnapshot returns the current fleet snapshot and, by deployment, the reasons for which
// placement waits.
func (l *leader) fleetSnapshot() (*fleetSnapshot, map[string][]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleetSnapshotLocked(time.Now()), l.history.waitReasons
}

// latestConfig returns the latest configuration and its revision.
func (l *leader) latestConfig() (view.Revision, []byte) {
	var revision view.Revision
	var yaml []byte
	l.server.store.read(func(m *state.Machine) { revision, yaml, _ = m.Config(0) })
	return revision, yaml
}

// evacuated returns the evacuated failure domains.
func (l *leader) evacuated() view.Evacuated {
	var set view.Evacuated
	l.server.store.read(func(m *state.Machine) { set = m.Evacuated() })
	return set
}

// endSessions ends all sessions and notifies the daemons that this host is no longer the leader.
func (l *leader) endSessions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, session := range l.sessions {
		session.endWith(l.server.notLeader())
	}
}

func (l *leader) controlStatus(status LogStatus) []message.ControlStatus {
	var all []message.ControlStatus
	for id, address := range l.server.opts.Hosts {
		s := message.ControlStatus{Host: id, Address: address, State: "silent"}
		if match, known := status.Match[id]; known {
			s.State = "follower"
			s.MatchIndex = match
		}
		if id == status.Leader {
			s.State = "leader"
		}
		all = append(all, s)
	}
	return all
}
