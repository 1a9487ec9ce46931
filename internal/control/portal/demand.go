package portal

import (
	"time"

	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// demandWindow is the time over which demand is averaged. It is long compared with the bursts
	// in which requests arrive, and short compared with a load from the weight store.
	demandWindow     = 4 * time.Second
	demandBucketTime = 500 * time.Millisecond
	demandBuckets    = int(demandWindow / demandBucketTime)
)

// demandAverage is a moving average of the engine time that requests need, by model. The zero
// value is empty.
type demandAverage struct {
	buckets [demandBuckets]map[string]time.Duration
	bucket  int64
	// firstReport is when the first report arrived since which there has been no gap, and lastReport when the latest did.
	firstReport, lastReport time.Time
	// known is the latest average of a whole window.
	known map[string]float64
}

// demandGap is the time without a report after which the average begins anew: gateways report to the leader, and this host was none.
const demandGap = time.Second

// add adds a gateway's report.
func (d *demandAverage) add(report []message.Demand, now time.Time) {
	d.advance(now)
	if now.Sub(d.lastReport) > demandGap {
		d.firstReport = time.Time{}
	}
	d.lastReport = now
	current := &d.buckets[d.bucket%int64(demandBuckets)]
	for _, r := range report {
		if *current == nil {
			*current = map[string]time.Duration{}
		}
		(*current)[r.Model] += r.EngineTime
		if d.firstReport.IsZero() {
			d.firstReport = now
		}
	}
}

// advance drops the buckets that are older than the window.
func (d *demandAverage) advance(now time.Time) {
	current := now.UnixNano() / int64(demandBucketTime)
	for d.bucket < current {
		if current-d.bucket > int64(demandBuckets) {
			d.bucket = current - int64(demandBuckets)
		}
		d.bucket++
		d.buckets[d.bucket%int64(demandBuckets)] = nil
	}
}

// replicas returns the number of replicas of each model that the work would keep busy. Until a whole window without a gap has
// passed since the first report it returns the average of the last whole window, or nil if there has been none.
func (d *demandAverage) replicas(now time.Time) map[string]float64 {
	d.advance(now)
	if now.Sub(d.lastReport) > demandGap || now.Sub(d.firstReport) < demandWindow {
		return d.known
	}
	d.known = map[string]float64{}
	for _, bucket := range d.buckets {
		for model, work := range bucket {
			d.known[model] += float64(work) / float64(demandWindow)
		}
	}
	return d.known
}
