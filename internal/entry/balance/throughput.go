package balance

import (
	"math"
	"time"
)

const (
	// throughputTime is the time constant of the moving average of placed requests.
	throughputTime = time.Second
	// queueSlack is how many times the requests that are placed on average in the time that a request may wait may be
	// queued before it. Replicas free their slots unevenly.
	queueSlack = 2.0
	// minQueue is how many requests may be queued at least. They use the first slots of an endpoint that returns.
	minQueue = 4
)

// throughput is the moving average of the requests a second that found an endpoint, as of at.
type throughput struct {
	perSecond float64
	at        time.Time
}

// with returns the average with one more request.
func (t throughput) with(now time.Time) throughput {
	return throughput{t.current(now) + 1/throughputTime.Seconds(), now}
}

// current returns the average at now.
func (t throughput) current(now time.Time) float64 {
	return t.perSecond * math.Exp(-now.Sub(t.at).Seconds()/throughputTime.Seconds())
}

// queueFull reports whether so many requests are queued before a request that, by the recent throughput, it is not placed
// before its wait ends. A caller that is refused at once can retry sooner, and a short queue bounds the work of a gateway
// that gets many times its usual traffic. A resumed stream comes before other requests.
func (b *Balancer) queueFull(req Request, now time.Time) bool {
	if req.Resumed {
		return false
	}
	room := queueSlack * b.placed[req.scope()].current(now) * req.WaitUntil.Sub(now).Seconds()
	return float64(b.queuedBefore(req)) >= max(minQueue, room)
}

// queuedBefore returns the number of requests for the same service and model that are tried before req.
func (b *Balancer) queuedBefore(req Request) int {
	count := 0
	for _, w := range b.queue {
		if w.scope() == req.scope() && compareRequests(w.Request, req) <= 0 {
			count++
		}
	}
	return count
}
