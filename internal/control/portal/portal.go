// Package portal is the control daemon of platforms on which endpoints announce
// themselves and operators send whole configurations under rising versions.
//
// It keeps the configuration in the replicated log, knows every endpoint from its
// announcements, passes both to the gateways, and on the leader forms replicas.
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
	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/control/replication"
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

// reopenAfter is the pause before a log whose disk failed is opened again.
const reopenAfter = time.Second

// EngineClient carries out what the portal wants of engines, in the platform's manner.
type EngineClient interface {
	// SendOrder gives an order to an engine.
	SendOrder(ctx context.Context, to roster.Endpoint, o formation.Order) formation.Answer
	// Probe asks an endpoint whether it lives.
	Probe(ctx context.Context, to roster.Endpoint) ProbeResult
}

// ProbeResult is what a probe found.
type ProbeResult uint8

// What a probe finds.
const (
	// ProbeTimeout is an endpoint that did not answer in time.
	ProbeTimeout ProbeResult = iota
	// ProbeAlive is an endpoint that answered.
	ProbeAlive
	// ProbeRefused is an address at which nobody listens.
	ProbeRefused
)

// Options describe one portal.
type Options struct {
	Self host.ID
	// Address is the address of the API that endpoints and operators call.
	Address string
	// Link is where other processes reach this one; LinkAddress is its text form.
	Link        *transport.Endpoint
	LinkAddress string
	Pool        *pool.Pool
	// Seeds are the link addresses of some control hosts.
	Seeds []string
	// Rename gives this process's links the ID of its place in the quorum.
	Rename func(id host.ID) error
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	Files      journal.FileSystem
	Folder     string
	// Decode reads an operator's document; its error says what is wrong with it.
	Decode  func(document []byte) (*routes.Table, error)
	Engines EngineClient
	// Heartbeat is the time between two announcements of an endpoint.
	Heartbeat time.Duration
	Metrics   *metric.Registry
	// Logger may be nil.
	Logger *log.Logger
}

// Portal is one control daemon. Use New, then Run.
type Portal struct {
	opts    Options
	council *bootstrap.Discovery
	machine *portalstate.Machine
	meters  meters

	mu       sync.Mutex
	log      *replication.Log
	founders []message.Founder
	// seat is this host's ID in the quorum, and led since when it has led.
	seat host.ID
	led  time.Time
	// granting says that a place is being moved.
	granting bool
	roster   roster.Roster
	// direct are the endpoints whose last announcement came to this host itself.
	direct map[string]bool
	// spoke is when each endpoint last announced something new.
	spoke map[string]time.Time
	// changed is closed at each change that subscribers must see.
	changed  chan struct{}
	reports  map[host.ID]report
	health   map[string]health
	demand   demand
	strikes  strikes
	requests bool
	table    *routes.Table
	stopping bool
}

// New returns a portal.
func New(opts Options) *Portal {
	self := message.Founder{Host: opts.Self, Address: opts.LinkAddress}
	return &Portal{
		opts: opts,
		council: bootstrap.New(bootstrap.Options{
			Self: self, Seeds: opts.Seeds, FirstStart: opts.FirstStart, Pool: opts.Pool, Logger: opts.Logger,
			Store: bootstrap.Store{Files: opts.Files, Folder: opts.Folder},
		}),
		machine: &portalstate.Machine{},
		meters:  newMeters(opts.Metrics),
		direct:  map[string]bool{},
		spoke:   map[string]time.Time{},
		changed: make(chan struct{}),
		reports: map[host.ID]report{},
		health:  map[string]health{},
	}
}

// Run serves until ctx ends.
func (p *Portal) Run(ctx context.Context) error {
	event.ProcessStarted.On(p.opts.Logger).Str("role", "portal").Str("host", string(p.opts.Self)).
		Str("address", p.opts.Address).Bool("fresh", p.opts.FirstStart).Msg("")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.opts.Link.Serve(ctx, p.handle) })
	group.Go(func() error { return p.found(ctx, group) })
	group.Go(func() error { return p.steward(ctx) })
	group.Go(func() error { return p.follow(ctx) })
	err := group.Wait()
	event.ProcessStopped.On(p.opts.Logger).Str("role", "portal").Int("cut", 0).Msg("")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Stop makes the portal hand over the leadership, if it has it.
func (p *Portal) Stop(ctx context.Context) {
	event.ProcessStopping.On(p.opts.Logger).Str("role", "portal").Msg("")
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

// found learns the set of control hosts, then runs the log and tells the others what
// endpoints announce here.
func (p *Portal) found(ctx context.Context, group *errgroup.Group) error {
	set, err := p.council.Run(ctx)
	if err != nil {
		return err
	}
	seat := p.council.VoterID(set)
	if seat != p.opts.Self {
		if err := p.takeSeat(set, seat); err != nil {
			return err
		}
	}
	p.mu.Lock()
	p.founders, p.seat = set, seat
	p.mu.Unlock()
	for _, f := range set {
		if f.Host != seat {
			group.Go(func() error { return p.gossip(ctx, f.Host) })
		}
	}
	return p.runLog(ctx, set)
}

// runLog runs the replicated log, and opens it again when its disk has failed it.
func (p *Portal) runLog(ctx context.Context, set []message.Founder) error {
	peers := map[host.ID]string{}
	for _, f := range set {
		peers[f.Host] = f.Address
	}
	for ctx.Err() == nil {
		for _, f := range p.places() {
			peers[f.Host] = f.Address
		}
		err := p.runLogOnce(ctx, peers)
		if ctx.Err() == nil {
			event.LogRestarted.On(p.opts.Logger).Err(err).Msg("")
		}
		pause.For(ctx, reopenAfter)
	}
	return nil
}

func (p *Portal) runLogOnce(ctx context.Context, peers map[host.ID]string) error {
	kept, err := journal.Open(p.opts.Files, p.opts.Folder)
	if err != nil {
		return err
	}
	defer func() { _ = kept.Close() }()
	l := replication.New(replication.Options{
		Self: p.seat, Hosts: peers, Journal: kept, StateMachine: p.machine, Pool: p.opts.Pool,
		Logger: p.opts.Logger, Timing: quorum.Timing{}, OnStatusChange: p.onLeader,
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

// current returns the running log, or nil.
func (p *Portal) current() *replication.Log {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log
}

// handle serves one call of another process.
func (p *Portal) handle(ctx context.Context, s *transport.Stream) {
	first, err := s.Receive()
	if err != nil {
		return
	}
	switch m := first.(type) {
	case *message.Quorum:
		if l := p.current(); l != nil {
			l.Serve(ctx, s, m)
		}
	case *message.FounderQuery:
		p.considerSeat(ctx, m)
		_ = s.Send(p.council.Answer(m))
	case *message.RosterUpdate:
		p.takeUpdates(s, m)
	case *message.Subscribe:
		p.serveSubscriber(ctx, s, m)
	default:
		event.FrameRejected.On(p.opts.Logger).Str("peer", s.Peer().String()).Str("reason", "unexpected kind").Msg("")
	}
}

// apiAddress returns the API address of the control host with a link address: all
// control hosts use the same ports.
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

// notifyLocked wakes all that wait for a change; mu is held.
func (p *Portal) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Portal) change() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// follow keeps the decoded table up with the document in force.
func (p *Portal) follow(ctx context.Context) error {
	var decoded uint64
	for {
		changed := p.machine.Changed()
		p.moveSeats()
		held := p.machine.Current()
		if held.Version > decoded {
			decoded = held.Version
			table, err := p.opts.Decode(held.Bytes)
			if err != nil {
				event.RevisionRefused.On(p.opts.Logger).Uint64("version", held.Version).Err(err).Msg("")
			} else {
				event.ConfigInForce.On(p.opts.Logger).Uint64("revision", held.Version).Msg("")
				p.mu.Lock()
				p.table = table
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
