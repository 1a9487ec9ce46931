package portal

import (
	"time"

	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// demandWindow is the time over which demand is averaged: long against the clumps in
	// which callers come, short against a load from the weight store.
	demandWindow = 4 * time.Second
	demandStep   = 500 * time.Millisecond
	demandSteps  = int(demandWindow / demandStep)
)

// demand averages the engine time that callers ask for, by model. The zero value is empty.
type demand struct {
	steps [demandSteps]map[string]time.Duration
	at    int64
	began time.Time
}

// take adds a gateway's report.
func (d *demand) take(report []message.Demand, now time.Time) {
	d.turn(now)
	current := &d.steps[d.at%int64(demandSteps)]
	for _, r := range report {
		if *current == nil {
			*current = map[string]time.Duration{}
		}
		(*current)[r.Model] += r.Work
		if d.began.IsZero() {
			d.began = now
		}
	}
}

// turn drops what is older than the window.
func (d *demand) turn(now time.Time) {
	step := now.UnixNano() / int64(demandStep)
	for d.at < step {
		if step-d.at > int64(demandSteps) {
			d.at = step - int64(demandSteps)
		}
		d.at++
		d.steps[d.at%int64(demandSteps)] = nil
	}
}

// replicas returns how many replicas of each model the work would keep busy. It is empty
// until the window has been filled once.
func (d *demand) replicas(now time.Time) map[string]float64 {
	d.turn(now)
	if d.began.IsZero() || now.Sub(d.began) < demandWindow {
		return nil
	}
	total := map[string]float64{}
	for _, step := range d.steps {
		for model, work := range step {
			total[model] += float64(work) / float64(demandWindow)
		}
	}
	return total
}
