package metric

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Timing is a duration of a request that is measured for each team and class. Its value is part of the
// metric's name.
type Timing string

// The timings of a request.
const (
	QueueWait        Timing = "queue_wait"
	TimeToFirstToken Timing = "time_to_first_token"
	TokenGap         Timing = "token_gap"
	Total            Timing = "total"
)

func (t Timing) help() string {
	switch t {
	case QueueWait:
		return "Time a request waited for admission, in seconds."
	case TimeToFirstToken:
		return "Time from a request's arrival to its first token, in seconds."
	case TokenGap:
		return "Time between two tokens of one answer, in seconds."
	default:
		return "Time from a request's arrival to the end of its answer, in seconds."
	}
}

const (
	// maxTeams bounds the number of teams with timers of their own. All others share the label
	// OtherTeams.
	maxTeams = 64
	// OtherTeams is the label value for the teams beyond maxTeams.
	OtherTeams = "other"
	// reservoirSize and reservoirAlpha configure the sample of a timer: it decays exponentially,
	// so that it mostly represents the last five minutes.
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

type timerKey struct {
	timing Timing
	team   string
	class  team.Class
}

// Timer is a histogram of durations.
type Timer struct {
	histogram metrics.Histogram
	// sum is kept separately, since the histogram sums up only its sample.
	sum metrics.Counter
}

func newTimer() *Timer {
	sample := metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)
	return &Timer{histogram: metrics.NewHistogram(sample), sum: metrics.NewCounter()}
}

// Observe adds one duration.
func (t *Timer) Observe(d time.Duration) {
	t.histogram.Update(int64(d))
	t.sum.Inc(int64(d))
}

// Timer returns the timer of a timing for a team and class. Callers should keep it for the duration of
// a request rather than look it up for each token.
func (r *Registry) Timer(timing Timing, id team.ID, class team.Class) *Timer {
	if r == nil {
		return newTimer()
	}
	key := timerKey{timing: timing, team: r.teamLabel(id), class: class}
	name := string(timing) + "_seconds"
	labels := []Label{{"team", key.team}, {"class", string(class)}}
	series := r.series(kindSummary, name, timing.help(), labels)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.timers[key]; t != nil {
		return t
	}
	t := newTimer()
	r.timers[key] = t
	r.timersBySeries[series] = t
	_ = r.metrics.Register(series, t.histogram)
	return t
}

// Observe adds one duration to the timer of a timing for a team and class.
func (r *Registry) Observe(timing Timing, id team.ID, class team.Class, d time.Duration) {
	r.Timer(timing, id, class).Observe(d)
}

// teamLabel returns the label value for a team: its ID, or OtherTeams if there are timers for maxTeams
// other teams already.
func (r *Registry) teamLabel(id team.ID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.teams[string(id)] {
		return string(id)
	}
	if len(r.teams) >= maxTeams {
		return OtherTeams
	}
	r.teams[string(id)] = true
	return string(id)
}
