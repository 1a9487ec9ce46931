// Package portal is the control daemon for platforms on which endpoints announce themselves and
// operators send complete configurations with rising versions.
//
// It keeps the configuration in the replicated log, tracks all endpoints by their announcements,
// and sends both to the gateways. The leader also forms replicas.
package portal

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretreach/egretreach/internal/control/bootstrap"
	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/control/journal"
	"github.com/egretreach/egretreach/internal/control/permit"
	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/replication"
	"github.com/egretreach/egretreach/internal/control/voter"
	"github.com/egretreach/egretreach/internal/control/warmup"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

// reopenDelay is the pause before the log is opened again after a failure.
const reopenDelay = time.Second

// EngineClient sends orders and probes in the platform's protocol.
type EngineClient interface {
	// SendOrder sends an order to an engine and returns the engine's answer.
	SendOrder(ctx context.Context, to roster.Endpoint, o formation.Order) formation.Answer
	// Probe checks whether an endpoint is alive.
	Probe(ctx context.Context, to roster.Endpoint) ProbeResult
}

// ProbeResult is the result of a probe.
type ProbeResult uint8

// The results of a probe.
const (
	// ProbeUnreachable means that no connection could be opened in time: the host is down or cut off.
	ProbeUnreachable ProbeResult = iota
	// ProbeSilent means that the endpoint's host accepted the probe and that the endpoint did not
	// answer in time. It may go on.
	ProbeSilent
	// ProbeAlive means that the endpoint answered.
	ProbeAlive
	// ProbeRefused means that the connection was refused, or that another endpoint answers at the
	// address.
	ProbeRefused
)

// Options configure a portal.
type Options struct {
	Self host.ID
	// Address is the address of the API for endpoints and operators.
	Address string
	// Link accepts connections from other processes. LinkAddress is its address.
	Link        *transport.Socket
	LinkAddress string
	Pool        *pool.Pool
	// Seeds are the link addresses of some control hosts.
	Seeds []string
	// Rename makes the links of this process identify it by id, the ID of the voter that it
	// replaces.
	Rename func(id host.ID) error
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	Files      journal.FileSystem
	Folder     string
	// Decode parses an operator's document. Its error says what is invalid.
	Decode  func(document []byte) (*routes.Table, error)
	Engines EngineClient
	// Heartbeat is the interval of an endpoint's announcements.
	Heartbeat time.Duration
	Metrics   *metric.Registry
	// Logger may be nil.
	Logger *log.Logger
}

// Portal is a control daemon. Create it with New, then call Run.
type Portal struct {
	opts      Options
	discovery *bootstrap.Discovery
	// voters knows where the votes of the quorum are. It is empty until they are known.
	voters  *voter.Directory
	machine *portalstate.Machine
	metrics portalMetrics

	mu sync.Mutex
	// log is nil while the replicated log does not run.
	log *replication.Log
	// voterID is this host's ID in the quorum, or "" if it has no vote.
	voterID host.ID
	// leaderlessSince is when this host lost the leader that it knew, or zero while it knows one or has known none.
	leaderlessSince time.Time
	knewLeader      bool
	// linkID is the ID by which links that are opened now identify this process.
	linkID host.ID
	// moves are those of voters to other hosts.
	moves  voter.Moves
	roster roster.Roster
	// unlisted holds what endpoints of services that the configuration doesn't list have announced.
	unlisted roster.Unlisted
	// direct holds the endpoints whose last announcement was sent to this host.
	direct map[string]bool
	// contentChanged is when each endpoint last announced new content.
	contentChanged map[string]time.Time
	// changed is closed and replaced at each change that subscribers or the planner must see.
	changed chan struct{}
	reports map[host.ID]receivedReport
	health  map[string]endpointHealth
	demand  demandAverage
	// holds decides which requests are held back. judgedAt is when it last judged the crashes.
	holds    quarantine.Breaker
	judgedAt time.Time
	// permits divides the limits of endpoints between the gateways. grantedAt is when it last did so here, and
	// permitsReady is closed and replaced when gateways must hear of it.
	permits      permit.Allocator
	grantedAt    time.Time
	permitsReady chan struct{}
	// tracker knows the cold endpoints, and warmUps holds the warm-up limits of the services that have one.
	tracker warmup.Tracker
	warmUps map[string]routes.WarmUp
	// cold are the endpoints that were cold and got requests at coldAt, which is zero after a change.
	cold   []permit.Cold
	coldAt time.Time
	// peerTraffic says that another control host has seen callers' requests.
	peerTraffic bool
	// questions are those of the gateways on the configuration. They have a mutex of their own.
	questions questions
	// departures wait to be kept in the log. They have a mutex of their own.
	departures     departures
	trafficStarted bool
	table          *routes.Table
	stopping       bool
}

// New returns a portal.
func New(opts Options) *Portal {
	self := message.Founder{Host: opts.Self, Address: opts.LinkAddress}
	voters := &voter.Directory{Logger: opts.Logger}
	p := &Portal{
		opts:   opts,
		voters: voters,
		linkID: opts.Self,
		discovery: bootstrap.New(bootstrap.Options{
			Self: self, Seeds: opts.Seeds, FirstStart: opts.FirstStart, Voters: voters, Pool: opts.Pool, Logger: opts.Logger,
			Store: bootstrap.Store{Files: opts.Files, Folder: opts.Folder},
		}),
		machine:        &portalstate.Machine{},
		metrics:        newPortalMetrics(opts.Metrics),
		direct:         map[string]bool{},
		contentChanged: map[string]time.Time{},
		changed:        make(chan struct{}),
		permitsReady:   make(chan struct{}),
		reports:        map[host.ID]receivedReport{},
		health:         map[string]endpointHealth{},
		tracker:        warmup.Tracker{FirstStart: opts.FirstStart, MaxSilence: opts.Heartbeat*5/3 + unprobedTimeout},
	}
	replication.RegisterMetrics(opts.Metrics, p.logStatus)
	registerVoterMetrics(opts.Metrics, voters)
	opts.Metrics.GaugeFunc("portal_endpoints_unlisted", "Endpoints of services that the configuration does not list.", p.unlistedCount)
	return p
}

// Run runs the portal until ctx ends.
func (p *Portal) Run(ctx context.Context) error {
	event.ProcessStarted.On(p.opts.Logger).Str("role", "portal").Str("host", string(p.opts.Self)).
		Str("address", p.opts.Address).Bool("fresh", p.opts.FirstStart).Msg("")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.opts.Link.Serve(ctx, p.handleStream) })
	group.Go(func() error { return p.joinQuorum(ctx) })
	group.Go(func() error { return p.runPlanning(ctx) })
	group.Go(func() error { return p.watchDocument(ctx) })
	group.Go(func() error { return p.keepDepartures(ctx) })
	group.Go(func() error { return p.answerQuestions(ctx, true) })
	group.Go(func() error { return p.answerQuestions(ctx, false) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// receiptTimeout limits how long a planned stop waits until control hosts have received the answers to their calls. It is longer than a link
// lives without a sign of its peer.
const receiptTimeout = 2 * time.Second

// Drain waits up to receiptTimeout until the other control hosts have received the answers to their calls. It returns
// transport.ErrUnreceived if some have not. It is called at the end of a planned stop.
func (p *Portal) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	return p.opts.Link.Drain(ctx)
}

// Stop transfers the leadership to another host if this host is the leader.
func (p *Portal) Stop(ctx context.Context) {
	p.mu.Lock()
	p.stopping = true
	l := p.log
	p.mu.Unlock()
	if l != nil && l.Status().IsLeader() {
		if err := l.TransferLeadership(ctx); err != nil {
			event.LeaderEnded.On(p.opts.Logger).Str("reason", err.Error()).Msg("")
		}
	}
}

// runLog runs the replicated log, and opens it again after a failure, such as that of its disk.
func (p *Portal) runLog(ctx context.Context) error {
	for ctx.Err() == nil {
		err := p.runLogOnce(ctx)
		if ctx.Err() == nil {
			event.LogRestarted.On(p.opts.Logger).Err(err).Msg("")
		}
		pause.For(ctx, reopenDelay)
	}
	return nil
}

func (p *Portal) runLogOnce(ctx context.Context) error {
	logJournal, err := journal.Open(p.opts.Files, p.opts.Folder)
	if err != nil {
		return err
	}
	defer func() { _ = logJournal.Close() }()
	l := replication.New(replication.Options{
		Self: p.currentVoter(), Voters: p.voters, Journal: logJournal, StateMachine: p.machine, Pool: p.opts.Pool,
		Logger: p.opts.Logger, Timing: quorum.Timing{}, OnStatusChange: p.onStatusChange,
	})
	p.mu.Lock()
	p.log = l
	p.mu.Unlock()
	err = l.Run(ctx)
	p.mu.Lock()
	p.log = nil
	p.mu.Unlock()
	return err
}

// currentLog returns the running log, or nil.
func (p *Portal) currentLog() *replication.Log {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log
}

// logStatus returns the status of the running log, or the zero Status.
func (p *Portal) logStatus() replication.Status {
	if l := p.currentLog(); l != nil {
		return l.Status()
	}
	return replication.Status{}
}

// firstFrameTimeout bounds the wait for the first frame of a stream.
const firstFrameTimeout = 5 * time.Second

// handleStream serves one stream that another process opened.
func (p *Portal) handleStream(ctx context.Context, s *transport.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(firstFrameTimeout))
	first, err := s.Receive()
	if err != nil {
		return
	}
	_ = s.SetReadDeadline(time.Time{})
	switch m := first.(type) {
	case *message.Quorum:
		if l := p.currentLog(); l != nil {
			l.Serve(ctx, s, m)
		}
	case *message.FounderQuery:
		_ = s.Answer(p.answerQuery(ctx, m))
	case *message.RosterUpdate:
		p.receiveAnnouncements(s, m)
	case *message.Depart:
		p.serveDepart(ctx, s, m)
	case *message.VersionQuery:
		p.serveVersionQuery(ctx, s, m)
	case *message.Subscribe:
		p.serveSubscriber(ctx, s, m)
	default:
		event.FrameRejected.On(p.opts.Logger).Str("peer", s.Peer().String()).Str("reason", "unexpected kind").Msg("")
	}
}

// apiAddress returns the API address of the control host with the given link address. All control
// hosts use the same ports.
func (p *Portal) apiAddress(link string) string {
	ip, _, err := net.SplitHostPort(link)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(p.opts.Address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(ip, port)
}

// notifyLocked wakes all goroutines that wait for a change. mu is held.
func (p *Portal) notifyLocked() {
	p.coldAt = time.Time{}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Portal) changeNotify() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// watchDocument follows the replicated state: it decodes each document that comes into force, and
// applies the moves of voters, the departures of endpoints and the evacuations.
func (p *Portal) watchDocument(ctx context.Context) error {
	var decodedVersion, appliedDepartures uint64
	var evacuations portalstate.Evacuations
	for {
		changed := p.machine.Changed()
		p.learnMoves()
		appliedDepartures = p.applyDepartures(appliedDepartures)
		evacuations = p.applyEvacuations(evacuations)
		document := p.machine.Current()
		if document.Version > decodedVersion {
			decodedVersion = document.Version
			table, err := p.opts.Decode(document.Bytes)
			if err != nil {
				event.RevisionRefused.On(p.opts.Logger).Uint64("version", document.Version).Err(err).Msg("")
			} else {
				event.ConfigInForce.On(p.opts.Logger).Uint64("revision", document.Version).Msg("")
				p.mu.Lock()
				p.setTable(table)
				p.notifyLocked()
				p.mu.Unlock()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
