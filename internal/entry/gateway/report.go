package gateway

import (
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/pause"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// sendReports sends the gateway's reports to control until ended is closed: one each reportInterval, and one at once if a
// request waits for the answer to its question.
func (g *Gateway) sendReports(stream *transport.Stream, ended <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		urgent := false
		select {
		case <-ended:
			return
		case <-ticker.C:
		case <-g.urgent:
			urgent = true
		}
		report := g.composeReport(time.Now())
		report.Question = g.nextQuestion(urgent)
		if err := g.sendReport(stream, report); err != nil {
			event.ReportFailed.On(g.opts.Logger).Err(err).Msg("")
			stream.Cancel() // Receiving fails as well then, which leads to another subscription.
			return
		}
		if urgent && !pause.For(g.serving, urgentInterval) {
			return
		}
	}
}

// sendReport sends a report. Of one that is larger than a frame it sends what has a fixed size: the gateway's question must not be lost with
// the rest, since without answers to its questions the gateway refuses all requests.
func (g *Gateway) sendReport(stream *transport.Stream, report *message.GatewayReport) error {
	err := stream.Send(report)
	if !message.IsErrFrameTooLarge(err) {
		return err
	}
	event.ReportTooLarge.On(g.opts.Logger).Int("heads", len(report.Heads)).Int("demand", len(report.Demand)).
		Int("crashes", len(report.Evidence.Crashes)).Int("limits", len(report.Limits.Limits)).Err(err).Msg("")
	return stream.Send(&message.GatewayReport{Requests: report.Requests, Question: report.Question})
}

// composeReport returns the next report. It resets the demand and what is reported once.
func (g *Gateway) composeReport(now time.Time) *message.GatewayReport {
	r := &message.GatewayReport{Requests: g.requestCount.Load()}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.balancer.HeadReports(now) {
		r.Heads = append(r.Heads, message.HeadReport{ID: s.ID, Waiting: s.InFlight, WaitingFor: s.WaitingFor, SinceLastData: s.SinceLastData})
	}
	for model, d := range g.demand {
		r.Demand = append(r.Demand, message.Demand{Model: model, EngineTime: balance.EngineTime(d.engine, model, d.usage)})
	}
	clear(g.demand)
	r.Evidence = g.observer.Report(now)
	r.Limits = g.limitReport(now)
	return r
}
