package portal

import (
	"time"

	"github.com/egretreach/egretreach/internal/control/formation"
	"github.com/egretreach/egretreach/internal/link/message"
)

// headObservation is what all gateways together have observed of a head.
type headObservation struct {
	waiting int
	// waitingFor is the longest wait of a gateway for data, and sinceLastData the time since any gateway got some.
	waitingFor, sinceLastData time.Duration
}

// with returns the observation with the report of one more gateway, which was made age ago.
func (o headObservation) with(r message.HeadReport, age time.Duration) headObservation {
	sinceLastData := r.SinceLastData
	if sinceLastData == 0 {
		sinceLastData = r.WaitingFor // A gateway of an earlier version.
	}
	if o.waiting == 0 {
		return headObservation{r.Waiting, r.WaitingFor + age, sinceLastData + age}
	}
	return headObservation{
		o.waiting + r.Waiting, max(o.waitingFor, r.WaitingFor+age), min(o.sinceLastData, sinceLastData+age),
	}
}

// report returns the input of the planner. A head is silent for as long as no gateway has got data from it, but not longer than the
// longest wait: an idle head sends nothing. That one gateway of many has just sent its first request to a head shows nothing about the
// head.
func (o headObservation) report() formation.HeadReport {
	return formation.HeadReport{Waiting: o.waiting, SinceLastData: min(o.waitingFor, o.sinceLastData)}
}

// headReports merges the gateways' recent reports on heads. mu is held.
func (p *Portal) headReports(now time.Time) map[string]formation.HeadReport {
	observed := map[string]headObservation{}
	for _, r := range p.reports {
		age := now.Sub(r.at)
		if age > reportTTL {
			continue
		}
		for _, h := range r.Heads {
			if h.Waiting > 0 {
				observed[h.ID] = observed[h.ID].with(h, age)
			}
		}
	}
	merged := make(map[string]formation.HeadReport, len(observed))
	for id, o := range observed {
		merged[id] = o.report()
	}
	return merged
}
