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
	buckets     [demandBuckets]map[string]time.Duration
	bucket      int64
	firstReport time.Time
}

// add adds a gateway's report.
func (d *demandAverage) add(report []message.Demand, now time.Time) {
	d.advance(now)
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

// replicas returns the number of replicas of each model that the work would keep busy. It returns
// nil until a whole window has passed since the first report.
func (d *demandAverage) replicas(now time.Time) map[string]float64 {
	d.advance(now)
	if d.firstReport.IsZero() || now.Sub(d.firstReport) < demandWindow {
		return nil
	}
	total := map[string]float64{}
	for _, bucket := range d.buckets {
		for model, work := range bucket {
			total[model] += float64(work) / float64(demandWindow)
		}
	}
	return total
}
