package server

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/control/membership"
	"github.com/egretreach/egretreach/internal/control/quota"
	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/lease"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// minStep is the least time between two looks at the fleet.
	minStep = 20 * time.Millisecond
	// maxProposals bounds the proposals that wait for the log at once.
	maxProposals = 32
)

// leader is what a control host holds while it leads.
type leader struct {
	server *Server
	term   uint64
	wake   chan struct{}

	mu       sync.Mutex
	table    *membership.Table
	sessions map[process]*session
	orders   *orderBook
	board    *board
	fleet    configCache
	quota    *quota.Allocator
	seen     *sightings
}

func newLeader(s *Server, term uint64) *leader {
	now := time.Now()
	l := &leader{
		server: s, term: term, wake: make(chan struct{}, 1),
		table:    membership.New(now, s.timing.LeaseTTL),
		sessions: map[process]*session{},
		orders:   newOrderBook(),
		board:    newBoard(),
		seen:     newSightings(),
		quota:    quota.New(now, lease.GrantorDuration(s.timing.LeaseTTL)),
	}
	l.admitFromState(now)
	return l
}

// kick makes the leader look the fleet over soon.
func (l *leader) kick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run looks the fleet over on every event, and every StepEvery if there is none.
func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(l.server.timing.StepEvery)
	defer ticker.Stop()
	for {
		l.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minStep):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
		case <-l.server.store.changed:
		}
	}
}

// step brings the soft state up to date, tells the daemons what has changed and
// proposes what follows.
func (l *leader) step(ctx context.Context) {
	commands := l.observe(time.Now())
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxProposals)
	for _, c := range commands {
		group.Go(func() error {
			if _, err := l.server.proposeFor(ctx, l.term, c); err != nil {
				event.ProposalFailed.On(l.server.opts.Logger).Str("command", commandName(c)).Err(err).Msg("")
			}
			return nil
		})
	}
	_ = group.Wait()
	if len(commands) > 0 {
		l.kick()
	}
}

func (l *leader) observe(now time.Time) []state.Command {
	l.admitFromState(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.table.ExpireLeases(now) {
		event.HostLost.On(l.server.opts.Logger).Str("host", string(id)).Msg("")
	}
	p := l.pictureLocked(now)
	l.quota.SetTeams(teamNames(p.config))
	l.orders.update(p)
	l.board.update(p)
	l.endSuperseded(p)
	for _, session := range l.sessions {
		session.kick()
	}
	commands := admissions(l.table.Admissible(now))
	if gone := p.longGone(); len(gone) > 0 {
		for _, id := range gone {
			l.table.StopGrants(id)
		}
		commands = append(commands, state.Forget{Hosts: gone})
	}
	commands = append(commands, p.releases(l.orders)...)
	commands = append(commands, p.advances()...)
	return append(commands, p.placements(l.orders, l.seen, l.server.opts.Logger)...)
}

// admitFromState tells the membership table who is admitted.
func (l *leader) admitFromState(now time.Time) {
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

// endSuperseded tells the processes that have lost their host's place to a later one.
func (l *leader) endSuperseded(p *picture) {
	for _, h := range p.hosts {
		for _, former := range h.FormerIncarnations {
			key := process{host: h.Info.ID, incarnation: former}
			if session := l.sessions[key]; session != nil {
				session.end(superseded())
				delete(l.sessions, key)
			}
		}
	}
}

// forgetLocked drops a host; a process of it that is back after all has to announce
// itself again.
func (l *leader) forgetLocked(id host.ID) {
	l.table.Forget(id)
	for key, session := range l.sessions {
		if key.host == id {
			session.stream.Cancel()
		}
	}
}

func admissions(candidates []membership.Candidate) []state.Command {
	commands := make([]state.Command, len(candidates))
	for i, c := range candidates {
		commands[i] = state.Admit{Role: c.Role, Info: c.Info}
	}
	return commands
}

// confirm returns nil if this host has led in the leader's own term at some moment
// since the call, and has applied everything committed before.
func (l *leader) confirm(ctx context.Context) error {
	if err := l.server.log.Barrier(ctx); err != nil {
		return err
	}
	if status := l.server.log.Status(); !status.Leading || status.Term != l.term {
		return ErrNotLeader{Leader: status.Leader}
	}
	return nil
}

// picture returns the fleet as it is now, and why placement leaves deployments as
// they are.
func (l *leader) picture() (*picture, map[string][]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pictureLocked(time.Now()), l.seen.waits
}

// config returns the latest configuration.
func (l *leader) config() (view.Revision, []byte) {
	var revision view.Revision
	var yaml []byte
	l.server.store.read(func(m *state.Machine) { revision, yaml, _ = m.Config(0) })
	return revision, yaml
}

// close ends all sessions with the word that this host leads no more.
func (l *leader) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, session := range l.sessions {
		session.end(l.server.notLeader())
	}
}

func (l *leader) controlStatus(log LogStatus) []message.ControlStatus {
	var all []message.ControlStatus
	for id, address := range l.server.opts.Peers {
		s := message.ControlStatus{Host: id, Address: address, State: "silent"}
		if match, heard := log.Match[id]; heard {
			s.State = "follower"
			s.MatchIndex = match
		}
		if id == log.Leader {
			s.State = "leader"
		}
		all = append(all, s)
	}
	return all
}
