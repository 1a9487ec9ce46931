package portal

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// gossipInterval is the time between two checks for announcements to forward to another control
	// host.
	gossipInterval = 40 * time.Millisecond
	// gossipRetryDelay is the pause before a lost stream to another control host is opened again.
	gossipRetryDelay = 300 * time.Millisecond
	// refreshInterval is the least time between two forwarded announcements of an endpoint that
	// report nothing new.
	refreshInterval = 400 * time.Millisecond
	// maxLeaderless is how long a host that knows no leader acknowledges announcements. After that it may be cut off from the
	// majority, whose leader uses no engine that it does not hear of, and the endpoint should call another host. An election
	// among hosts that reach each other mostly ends sooner.
	maxLeaderless = 500 * time.Millisecond
	// forgetAfter is the time without an announcement after which an endpoint counts as gone. The
	// roster drops it a tombstone's lifetime later.
	forgetAfter = 3 * time.Minute
)

// Announce records an endpoint's announcement. One that says that the endpoint drains or leaves is acknowledged only when it is in the replicated log,
// since the endpoint may say it just once. Announce returns ErrUnavailable if that takes too long, or while the other
// control hosts are not known, because the announcement could not be forwarded to them. It also does so, although it has recorded the
// announcement, once this host has known no leader for maxLeaderless, and for a departure while it may not know the endpoint's service yet.
// What an endpoint of a service that the configuration doesn't list announces is forwarded, but not kept in the log.
func (p *Portal) Announce(ctx context.Context, e roster.Endpoint) error {
	if err := p.recordAnnouncement(e); err != nil {
		return err
	}
	if p.isUnsureDeparture(e) {
		return ErrUnavailable{Reason: "the service is not known here yet"}
	}
	if departing, ok := p.unkeptDeparture(e); ok {
		return p.keepDeparture(ctx, departing)
	}
	return nil
}

func (p *Portal) recordAnnouncement(e roster.Endpoint) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.voterID == "" {
		return ErrUnavailable{Reason: "the other control hosts are not known yet"}
	}
	p.metrics.announcements.Inc(1)
	p.applyAnnouncement(e, time.Now(), true)
	if !p.leaderlessSince.IsZero() && time.Since(p.leaderlessSince) > maxLeaderless {
		return ErrUnavailable{Reason: "no leader is known here"}
	}
	return nil
}

// unkeptDeparture returns the state of the endpoint that has sent e, if e says that it drains or leaves and the replicated log doesn't.
func (p *Portal) unkeptDeparture(e roster.Endpoint) (roster.Endpoint, bool) {
	p.mu.Lock()
	current, known := p.roster.Get(e.ID)
	p.mu.Unlock()
	if !known || e.State == roster.StateReady || current.State == roster.StateReady {
		return roster.Endpoint{}, false
	}
	return current.Endpoint, !p.machine.KeepsDeparture(current.Endpoint, current.LastReady)
}

// applyAnnouncement records an announcement that arrived at seenAt. direct is true if the
// endpoint sent it to this host. mu is held.
func (p *Portal) applyAnnouncement(e roster.Endpoint, seenAt time.Time, direct bool) {
	if err := e.Validate(); err != nil {
		p.skipAnnouncement(e, direct, err)
		return
	}
	if !p.isListed(e) {
		p.setAside(e, seenAt, direct)
		return
	}
	if p.roster.Contradicts(e) {
		p.skipAnnouncement(e, direct, errContradiction)
		return
	}
	if isSignOff(e) {
		p.unlisted.SignOff(e, seenAt)
	}
	if !p.warmUpOf(e.Service).IsSet() {
		e.ColdMs = 0 // It limits nothing, so a change of it is no news.
	}
	old, known := p.roster.Get(e.ID)
	change := p.roster.Announce(e, seenAt)
	if change == roster.ChangeNone {
		return
	}
	p.direct[e.ID] = direct
	current, _ := p.roster.Get(e.ID)
	p.judgeAnnouncement(old, current, direct, seenAt)
	p.clearHealth(e.ID, seenAt)
	if change != roster.ChangeContent {
		return
	}
	p.contentChanged[e.ID] = time.Now()
	line := event.EndpointAnnounced.On(p.opts.Logger).Str("endpoint", current.ID).Str("address", current.Address).
		Uint64("sequence", current.Sequence).Int64("born", current.StartedMs).Uint8("state", uint8(current.State)).Bool("direct", direct)
	if current.Engine {
		line = line.Str("model", current.Model).Strs("staged", current.Staged)
	}
	if current.Member != nil {
		line = line.Str("replica", current.Member.Replica).Uint8("member_state", uint8(current.Member.State)).Int("rank", current.Member.Rank)
	}
	line.Bool("new", !known || old.StartedMs != current.StartedMs).Msg("")
	p.notifyLocked()
}

// errContradiction is the reason for which an announcement that another writer has sent under the ID of an endpoint is left out.
var errContradiction = errors.New("differs from the endpoint in what an endpoint can't change while it runs")

func (p *Portal) skipAnnouncement(e roster.Endpoint, direct bool, err error) {
	event.EndpointSkipped.On(p.opts.Logger).Str("endpoint", strconv.QuoteToASCII(e.ID)).Bool("direct", direct).Err(err).Msg("")
}

// receiveAnnouncements records the announcements that another control host forwards, until its stream
// ends.
func (p *Portal) receiveAnnouncements(s *transport.Stream, first *message.RosterUpdate) {
	p.discovery.Hear(first.Hosts)
	peer := s.Peer()
	for update := first; ; {
		if peer.Role == host.RoleControl {
			p.learnVoters(update.Hosts, string(peer.Host))
		}
		now := time.Now()
		p.mu.Lock()
		p.peerTraffic = p.peerTraffic || update.Traffic
		for _, h := range update.Heard {
			p.applyAnnouncement(h.Endpoint, now.Add(-h.Age), false)
			p.takeOverCold(h, now)
		}
		p.mu.Unlock()
		next, err := s.Receive()
		if err != nil {
			return
		}
		var ok bool
		if update, ok = next.(*message.RosterUpdate); !ok {
			return
		}
	}
}

// gossip tells another control host what this one knows of endpoints and of the addresses of votes, until ctx ends.
func (p *Portal) gossip(ctx context.Context, peer host.ID) error {
	for ctx.Err() == nil {
		p.gossipUntilMoved(ctx, peer)
		pause.For(ctx, gossipRetryDelay)
	}
	return nil
}

// gossipUntilMoved gossips with a control host until the stream ends or the host has another address.
func (p *Portal) gossipUntilMoved(ctx context.Context, peer host.ID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	address := p.voters.Address(peer)
	go func() {
		defer cancel()
		p.voters.AwaitMove(ctx, peer, address)
	}()
	p.gossipOnce(ctx, address)
}

// sentState is the state of an endpoint that was last sent to another control host or to a
// subscriber.
type sentState struct {
	sequence  uint64
	startedMs int64
	state     roster.State
	// at is the time at which the state was sent to a control host. For a subscriber it is the time
	// of the endpoint's last new content.
	at time.Time
	// takesRequests says that the endpoint was one that gets requests.
	takesRequests bool
}

func (p *Portal) gossipOnce(ctx context.Context, address string) {
	s, err := p.opts.Pool.Open(ctx, address)
	if err != nil {
		return // The host is down or unreachable; the replication package logs such links.
	}
	defer s.Cancel()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.CancelOn(ctx)
	defer stop()
	go func() {
		defer cancel()
		_, _ = s.Receive() // The peer sends nothing, so this returns when the stream ends.
	}()
	all, votes := p.allAnnouncements(), p.voters.Votes()
	if s.Send(&message.RosterUpdate{Heard: all, Hosts: votes, Traffic: p.tellsTraffic()}) != nil {
		return
	}
	sent := map[sentKey]sentState{}
	for _, h := range all {
		sent[keyOf(h.Endpoint)] = sentState{h.Endpoint.Sequence, h.Endpoint.StartedMs, h.Endpoint.State, time.Now(), takesRequests(h.Endpoint)}
	}
	for pause.For(ctx, gossipInterval) {
		update := &message.RosterUpdate{Heard: p.changesSince(sent), Traffic: p.tellsTraffic()}
		if latest := p.voters.Votes(); !slices.Equal(latest, votes) {
			update.Hosts, votes = latest, latest
		}
		if (len(update.Heard) > 0 || len(update.Hosts) > 0) && s.Send(update) != nil {
			return
		}
	}
}

func (p *Portal) allAnnouncements() []message.Heard {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []message.Heard
	for _, e := range p.roster.All() {
		all = append(all, message.Heard{Endpoint: e.Endpoint, Age: time.Since(e.LastSeen), Cold: p.coldRemaining(e.Endpoint, time.Now())})
	}
	for _, e := range p.unlisted.All() {
		all = append(all, message.Heard{Endpoint: e.Endpoint, Age: time.Since(e.LastSeen)})
	}
	return all
}

// sentKey names those announcements that replace each other: another writer may use the ID of an endpoint for another service.
type sentKey struct{ id, service string }

func keyOf(e roster.Endpoint) sentKey { return sentKey{e.ID, e.Service} }

// changesSince returns the announcements that arrived at this host and differ from sent, and
// updates sent. An announcement without new content is returned only once per refreshInterval.
func (p *Portal) changesSince(sent map[sentKey]sentState) []message.Heard {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []message.Heard
	for _, e := range p.directAnnouncements() {
		last := sent[keyOf(e.Endpoint)]
		if last.sequence == e.Sequence && last.startedMs == e.StartedMs && last.state == e.State {
			continue
		}
		if e.Unchanged && now.Sub(last.at) < refreshInterval {
			continue
		}
		sent[keyOf(e.Endpoint)] = sentState{e.Sequence, e.StartedMs, e.State, now, takesRequests(e.Endpoint)}
		changes = append(changes, message.Heard{Endpoint: e.Endpoint, Age: now.Sub(e.LastSeen), Cold: p.coldRemaining(e.Endpoint, now)})
	}
	return changes
}

// directAnnouncements returns the announcements that arrived at this host, those of unlisted services last. mu is held.
func (p *Portal) directAnnouncements() []roster.Entry {
	var entries []roster.Entry
	for _, e := range p.roster.All() {
		if p.direct[e.ID] {
			entries = append(entries, e)
		}
	}
	for _, e := range p.unlisted.All() {
		if e.Direct {
			entries = append(entries, e.Entry)
		}
	}
	return entries
}
