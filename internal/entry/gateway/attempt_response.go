package gateway

import (
	"net/http"
	"time"

	"github.com/egretreach/egretreach/internal/entry/balance"
	"github.com/egretreach/egretreach/internal/entry/upstream"
)

// attemptResponse is what has arrived of the response to an attempt. The zero value is none.
type attemptResponse struct {
	exchange *upstream.Exchange
	// begun says that the header of the response has arrived.
	begun bool
	// streamed says that the first event has arrived, at firstEventAt.
	streamed     bool
	firstEventAt time.Time
	// lastingAt is when the last event was recorded that shows that the endpoint continues the response.
	lastingAt time.Time
	// events reads the events of a stream. readAhead says that firstEvent and firstErr are the
	// result of its first call, which has yet to be forwarded.
	events     *upstream.EventReader
	readAhead  bool
	firstEvent upstream.Event
	firstErr   error
	// body and bodyErr are the result of readBody, once bodyRead is set.
	bodyRead, bodyWhole bool
	body                []byte
	bodyErr             error
}

// classifyError sets the result of an attempt that got no response header, and returns its
// outcome.
func (a *attempt) classifyError(err error) outcome {
	switch {
	case upstream.IsErrNotSent(err):
		a.call.stats.sends--
		a.result = balance.ResultUnreachable
		switch {
		case a.withheld != "", a.call.r.Context().Err() != nil:
			a.result = balance.ResultCanceled
		case upstream.IsConnectionRefused(err):
			a.result = balance.ResultConnectionRefused
		}
		return outcomeNotRun
	case a.result == 0:
		a.result = balance.ResultInvalidResponse
	}
	return outcomeUnknown
}

// classifyResponse sets the attempt's result by the header of a response, and returns its
// outcome.
func (a *attempt) classifyResponse(response *http.Response) (outcome, error) {
	c := a.call
	names := c.g.opts.Dialect.Headers
	a.begun = true
	c.dataReceived(a.endpoint.ID)
	if !a.belongsToRequest(response) {
		a.result = balance.ResultInvalidResponse
		return outcomeUnknown, errUnusableResponse{"the answer belongs to another request"}
	}
	a.recordNotices(response)
	if load, ok := c.g.opts.Dialect.ParseLoad(response.Header.Get(names.Load)); ok {
		c.g.mu.Lock()
		c.g.balancer.SetLoad(a.endpoint.ID, load, time.Now())
		c.g.mu.Unlock()
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		a.result = balance.ResultWrongEndpoint
		return outcomeNotRun, errUnusableResponse{"another endpoint answers there"}
	}
	if response.Header.Get(names.NotRun) != "" {
		a.result = balance.ResultOverloaded
		return outcomeNotRun, errUnusableResponse{"the endpoint did not take it"}
	}
	if response.Header.Get(names.Signature) == "" {
		a.result = balance.ResultInvalidResponse
		return outcomeUnknown, errUnusableResponse{"the answer is not signed"}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		a.result = balance.ResultServerError
	}
	return outcomeAnswered, nil
}

// belongsToRequest reports whether a response belongs to the request. On a reused connection an endpoint may repeat the response to an
// earlier request, so a refusal without an ID is accepted only on a new connection.
func (a *attempt) belongsToRequest(response *http.Response) bool {
	names := a.call.g.opts.Dialect.Headers
	if echo := response.Header.Get(names.RequestID); echo != "" {
		return echo == a.call.id
	}
	isRefusal := response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(names.NotRun) != ""
	return a.call.id == "" || isRefusal && !a.exchange.Reused()
}

// eventReader returns the reader of the stream's events.
func (a *attempt) eventReader() *upstream.EventReader {
	if a.events == nil {
		a.events = upstream.NewEventReader(a.exchange)
	}
	return a.events
}

// nextEvent returns the next event, or the one that awaitProof has read ahead.
func (a *attempt) nextEvent() (upstream.Event, error) {
	if a.readAhead {
		a.readAhead = false
		return a.firstEvent, a.firstErr
	}
	return a.eventReader().Next()
}

// readBody reads the response's body, up to maxBufferedResponse and as far as it may be held. bodyWhole then says
// whether that is all. Further calls return the same.
func (a *attempt) readBody() ([]byte, error) {
	if a.bodyRead {
		return a.body, a.bodyErr
	}
	a.bodyRead = true
	a.body, a.bodyWhole, a.bodyErr = a.exchange.ReadUpTo(maxBufferedResponse)
	if a.bodyErr != nil && (a.result == 0 || a.result == balance.ResultServerError) {
		a.result = balance.ResultInvalidResponse
	}
	return a.body, a.bodyErr
}

// errUnusableResponse is a response that cannot be given to the caller. Its reason can be sent
// to the caller if no other attempt follows.
type errUnusableResponse struct{ reason string }

func (e errUnusableResponse) Error() string { return e.reason }
