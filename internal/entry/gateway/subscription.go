package gateway

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/clock"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

const (
	// updateTimeout is how long a control host may send no update before the gateway changes to
	// another one. A control host sends at least three updates in this time.
	updateTimeout = time.Second
	// maxLeaderless is how long a control host may know no leader before the gateway changes to
	// another one. Such a host may be disconnected from the others.
	maxLeaderless = 350 * time.Millisecond
	// avoidTime is how long a control host that failed is not tried again.
	avoidTime = 2 * time.Second
	// resubscribeDelay is the time between the end of a subscription and the next attempt.
	resubscribeDelay = 100 * time.Millisecond
	// openTimeout bounds the opening of a link to control.
	openTimeout = 600 * time.Millisecond
	// reportInterval is the time between two reports to control.
	reportInterval = 100 * time.Millisecond
	// maxLateness is the greatest scheduling delay of this process at which missing messages count as a fault of
	// control or of the link.
	maxLateness = 250 * time.Millisecond
	// allowedLateness is the multiple of the scheduling delay that is added to a timeout: a handshake has several steps.
	allowedLateness = 4
)

// subscribe keeps a subscription to the fleet's state at one of the control hosts until ctx
// ends.
func (g *Gateway) subscribe(ctx context.Context) error {
	hosts := &controlHosts{avoidUntil: map[string]time.Time{}}
	for ctx.Err() == nil {
		hosts.seeds = g.currentSeeds()
		address := hosts.choose(time.Now())
		reason := g.subscribeTo(ctx, hosts, address)
		event.ControlLost.On(g.opts.Logger).Str("address", address).Str("reason", reason).Msg("")
		pause.For(ctx, resubscribeDelay)
	}
	return nil
}

// subscribeTo subscribes to one control host, and returns the reason for which the subscription
// ended.
func (g *Gateway) subscribeTo(ctx context.Context, hosts *controlHosts, address string) string {
	opening, cancel := context.WithTimeout(ctx, openTimeout+g.allowance())
	defer cancel()
	stream, err := g.opts.Pool.Open(opening, address)
	if err != nil {
		hosts.avoidUntil[address] = time.Now().Add(avoidTime)
		return err.Error()
	}
	defer stream.Cancel()
	stop := stream.CancelOn(ctx)
	defer stop()
	question := g.nextQuestion(true)
	if err := stream.Send(&message.Subscribe{FailureDomain: string(g.opts.FailureDomain), Question: question.Number}); err != nil {
		return err.Error()
	}
	g.mu.Lock()
	g.observer.Resubscribed()
	g.resubscribed = true
	g.warmUps.serial, g.warmUps.subscribedAt = 0, time.Now()
	g.balancer.ForgetGrants()
	g.mu.Unlock()
	event.ControlFollowed.On(g.opts.Logger).Str("address", address).Msg("")
	ended := make(chan struct{})
	defer close(ended)
	go g.sendReports(stream, ended)
	return g.receiveUpdates(hosts, address, stream)
}

// receiveUpdates applies the updates of one control host until the stream fails, or another control
// host is preferable. It returns the reason.
func (g *Gateway) receiveUpdates(hosts *controlHosts, address string, stream *transport.Stream) string {
	leaderSeen := time.Now()
	defer func() {
		g.subscribed.Store(false)
		g.following.Store(false)
	}()
	for {
		m, err := g.receiveFrame(stream)
		if err != nil {
			hosts.avoidUntil[address] = time.Now().Add(avoidTime)
			g.opts.Pool.Drop(address)
			return err.Error()
		}
		update, ok := m.(*message.Picture)
		if !ok {
			return "unexpected frame"
		}
		g.applyUpdate(update)
		now := time.Now()
		if len(update.Hosts) > 0 {
			hosts.known = update.Hosts
		}
		if update.Leader != "" {
			leaderSeen, hosts.leader = now, update.Leader
		}
		g.subscribed.Store(update.Leader != "")
		g.following.Store(update.Leader == address)
		if now.Sub(leaderSeen) > maxLeaderless {
			hosts.leader, hosts.avoidUntil[address] = "", now.Add(avoidTime)
			return "it knows no leader"
		}
		if hosts.leader != address && hosts.leader != "" && now.After(hosts.avoidUntil[hosts.leader]) {
			return "another host leads"
		}
	}
}

// allowance is the time that is added to the timeouts of control while this process is delayed: the awaited data may
// have arrived already, and the peer waits for answers.
func (g *Gateway) allowance() time.Duration { return allowedLateness * g.lateness.Recent(clock.Now()) }

// receiveFrame waits for the next frame of a control host and returns it. A wait that ends much later than its
// timeout is restarted: it indicates a pause of this process, not a silent control host.
func (g *Gateway) receiveFrame(stream *transport.Stream) (message.Message, error) {
	for {
		deadline := time.Now().Add(updateTimeout + g.allowance())
		if err := stream.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
		err := stream.Await()
		var timeout net.Error
		switch {
		case err == nil:
			if err := stream.SetReadDeadline(time.Now().Add(updateTimeout + g.allowance())); err != nil {
				return nil, err
			}
			return stream.Receive()
		case !errors.As(err, &timeout) || !timeout.Timeout() || time.Since(deadline) <= maxLateness:
			return nil, err
		}
	}
}
