package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dialect"
)

// hedgeOf returns a hedge of a request whose first attempt is at an endpoint of another failure domain.
func hedgeOf(req Request) Request {
	req.Hedge, req.AvoidDomain, req.WaitUntil = true, "elsewhere", noon
	return req
}

// TestHedgeNeedsRoomToSpare guards against a hedge that takes the room of a caller's request: the last free slot of a plain endpoint, the
// room of an engine in which another request would be served in time, or the permit of a cold endpoint.
func TestHedgeNeedsRoomToSpare(t *testing.T) {
	b := plain(1)
	slots := b.endpoints["p0"].Slots
	b.SetLoad("p0", dialect.Load{Running: slots - 2, Slots: slots}, noon)
	require.True(t, b.HasRoomForHedge(hedgeOf(plainRequest(noon)), noon))
	b.SetLoad("p0", dialect.Load{Running: slots - 1, Slots: slots}, noon)
	require.False(t, b.HasRoomForHedge(hedgeOf(plainRequest(noon)), noon))
	require.False(t, place(b, noon).Refused, "a caller's request has room")

	b = heads(1)
	head := b.serving(newRequest(100, noon))[0]
	require.True(t, b.HasRoomForHedge(hedgeOf(newRequest(100, noon)), noon))
	b.SetLoad(head.ID, dialect.Load{Running: head.Slots - 1, Slots: head.Slots}, noon)
	require.False(t, b.HasRoomForHedge(hedgeOf(newRequest(100, noon)), noon))

	b = warming(1)
	require.True(t, b.HasRoomForHedge(hedgeOf(plainRequest(noon)), noon))
	b.SetCold(ColdEndpoint{limited("p0"), 3 * time.Second}, ColdGrant{Serial: 1, Permits: 2}, noon)
	require.False(t, b.HasRoomForHedge(hedgeOf(plainRequest(noon)), noon))
	require.False(t, place(b, noon).Refused, "a caller's request has a permit")
}

// TestShortAfterRefusalsAndWhileRequestsWait guards against hedges while callers wait or are refused, against hedges that count as refused
// callers, and against memory for each model that a caller names.
func TestShortAfterRefusalsAndWhileRequestsWait(t *testing.T) {
	b := plain(1)
	slots := b.endpoints["p0"].Slots
	b.SetLoad("p0", dialect.Load{Running: 3 * slots, Slots: slots}, noon)
	req := plainRequest(noon)
	require.False(t, b.Short(req, noon))
	d, w := b.Submit(hedgeOf(req), noon)
	require.True(t, d.Refused)
	require.Nil(t, w)
	require.False(t, b.Short(req, noon))

	waits := req
	waits.WaitUntil = noon.Add(time.Second)
	b.placed = map[scope]throughput{req.scope(): {100, noon}}
	_, w = b.Submit(waits, noon)
	require.NotNil(t, w)
	require.True(t, b.Short(req, noon))
	b.Cancel(w)
	require.False(t, b.Short(req, noon))

	refused := req
	refused.WaitUntil = noon
	d, _ = b.Submit(refused, noon)
	require.True(t, d.Refused)
	require.True(t, b.Short(req, noon.Add(shortTime-1)))
	require.False(t, b.Short(req, noon.Add(shortTime)))

	refused.Model = "unknown"
	b.Submit(refused, noon)
	require.Len(t, b.refusedAt, 1)
}
