package hedge

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the resolution of the distributions, and bucketCount their size: from 2^-16 to 2^16 seconds, or forecasts.
	bucketsPerDoubling = 4
	bucketCount        = 32 * bucketsPerDoubling
	// decay is the factor of all earlier observations at a new one. It keeps about the latest 500.
	decay = 1 - 1.0/500
	// decayTime is the time in which observations lose most of their weight.
	decayTime = time.Minute
	// minWeight is the weight of observations below which a distribution is not used.
	minWeight = 20
	// maxKeys bounds the distributions of endpoints.
	maxKeys = 1024
	// An endpoint is an outlier if its median is above outlierFactor times that of its service and model. A request there counts as
	// slow after outlierDelay times that median, since its own quantile would hide that it is always slow.
	outlierFactor = 2.0
	outlierDelay  = 4.0
)

// Key identifies a distribution of response times.
type Key struct{ Endpoint, Service, Model string }

// pool returns the key for all endpoints of the service and model.
func (k Key) pool() Key { return Key{Service: k.Service, Model: k.Model} }

// Times holds the recent response times of endpoints. The zero value holds none.
type Times struct{ byKey map[Key]*distribution }

// distribution is a decayed histogram with logarithmic buckets.
type distribution struct {
	weights [bucketCount]float32
	total   float64
	seenAt  time.Time
}

// Observe records the time to the first event, or to the whole response of a plain service, in which case forecast is 0.
func (t *Times) Observe(k Key, forecast, measured time.Duration, now time.Time) {
	value := float64(measured) / float64(unit(forecast))
	t.at(k, now).add(value, now)
	t.at(k.pool(), now).add(value, now)
}

// ObserveAtLeast records an attempt that was cancelled after some time. It counts with that time, unless that is below the median of
// the service and model: the attempt might have been fast.
func (t *Times) ObserveAtLeast(k Key, forecast, elapsed time.Duration, now time.Time) {
	_, median, ok := t.expected(k, 0.5, unit(forecast))
	if ok && elapsed >= median {
		t.Observe(k, forecast, elapsed, now)
	}
}

// unit returns what times are measured in: the forecast, or seconds.
func unit(forecast time.Duration) time.Duration {
	if forecast <= 0 {
		return time.Second
	}
	return forecast
}

// at returns the distribution of a key. It evicts the one that was updated longest ago if there are too many.
func (t *Times) at(k Key, now time.Time) *distribution {
	if d := t.byKey[k]; d != nil {
		return d
	}
	if t.byKey == nil {
		t.byKey = map[Key]*distribution{}
	}
	if len(t.byKey) >= maxKeys {
		t.evict()
	}
	d := &distribution{seenAt: now}
	t.byKey[k] = d
	return d
}

func (t *Times) evict() {
	var oldest Key
	var seenAt time.Time
	for k, d := range t.byKey {
		if seenAt.IsZero() || d.seenAt.Before(seenAt) {
			oldest, seenAt = k, d.seenAt
		}
	}
	delete(t.byKey, oldest)
}

// expected returns the time that a part q of the attempts at an endpoint takes, and the median of its service and model.
func (t *Times) expected(k Key, q float64, per time.Duration) (delay, median time.Duration, ok bool) {
	pool := t.byKey[k.pool()]
	if pool == nil || pool.total < minWeight {
		return 0, 0, false
	}
	middle := pool.quantile(0.5)
	value := pool.quantile(q)
	if own := t.byKey[k]; own != nil && own.total >= minWeight {
		value = own.quantile(q)
		if own.quantile(0.5) > outlierFactor*middle {
			value = min(value, outlierDelay*middle)
		}
	}
	return scale(value, per), scale(middle, per), true
}

func scale(value float64, per time.Duration) time.Duration {
	return time.Duration(value * float64(per))
}

// add adds an observation and lets the earlier ones decay.
func (d *distribution) add(value float64, now time.Time) {
	factor := decay * math.Exp(-max(0, now.Sub(d.seenAt).Seconds())/decayTime.Seconds())
	for i := range d.weights {
		d.weights[i] *= float32(factor)
	}
	d.total = d.total*factor + 1
	d.weights[bucketOf(value)]++
	d.seenAt = now
}

// bucketOf returns the bucket of a value.
func bucketOf(value float64) int {
	if value <= 0 {
		return 0
	}
	i := math.Floor(math.Log2(value)*bucketsPerDoubling) + bucketCount/2
	return int(min(bucketCount-1, max(0, i)))
}

// quantile returns the upper bound of the bucket in which the part q of the observations ends.
func (d *distribution) quantile(q float64) float64 {
	sum := 0.0
	last := 0
	for i, w := range d.weights {
		if w <= 0 {
			continue
		}
		sum, last = sum+float64(w), i
		if sum >= q*d.total {
			break
		}
	}
	return math.Exp2(float64(last+1-bucketCount/2) / bucketsPerDoubling)
}
