package server

import (
	"net/http"
	"net/http/httptrace"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/agent/plainservice"
	"github.com/egretreach/egretreach/internal/link/message"
)

// limitedEndpoint names a limit in its responses.
type limitedEndpoint struct {
	perSecond float64
	status    int
}

// RoundTrip implements http.RoundTripper.
func (e *limitedEndpoint) RoundTrip(r *http.Request) (*http.Response, error) {
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	h := http.Header{}
	if e.perSecond > 0 {
		h.Set(LimitHeader, strconv.FormatFloat(e.perSecond, 'f', -1, 64))
	}
	return &http.Response{StatusCode: e.status, Header: h, Body: http.NoBody}, nil
}

// TestEndpointGetsNoMoreThanItsLimit guards against an endpoint that gets more work than the limit that it names, and
// against a limit that its reports end or that outlasts the response that ends it.
func TestEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	const perSecond, window = 5.0, 4
	var limit endpointLimit
	endpoint := &limitedEndpoint{perSecond: perSecond, status: http.StatusOK}
	transport := limitTransport{endpoint, &limit, func(r *http.Request) bool { return r.URL.Path == "/work" }}
	ask := func(path string) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://e"+path, http.NoBody)
		require.NoError(t, err)
		response, err := transport.RoundTrip(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	require.NoError(t, limit.admit(time.Now()))
	ask("/work")
	admitted, now := 0, time.Now()
	for i := range 1000 {
		at := now.Add(time.Duration(i) * window * time.Millisecond)
		err := limit.admit(at)
		if err == nil {
			admitted++
			continue
		}
		var limited ErrLimited
		require.ErrorAs(t, err, &limited)
		require.Positive(t, limited.RetryAfter)
		require.LessOrEqual(t, limited.RetryAfter, time.Second)
	}
	require.LessOrEqual(t, admitted, int(1.5*perSecond*window)+5)
	require.GreaterOrEqual(t, admitted, int(perSecond*window))
	endpoint.perSecond = 0
	ask("/report")
	require.NotNil(t, limit.limiter)
	ask("/work")
	require.Nil(t, limit.limiter)
}

// TestInvalidStatusNamesNoLimit guards against the answer of a service in trouble that slows down its later calls, or counts as a sign that
// it serves.
func TestInvalidStatusNamesNoLimit(t *testing.T) {
	endpoint := &limitedEndpoint{perSecond: 5}
	s := New(Options{Services: map[string]string{"records": "http://e"}, ServiceTransport: endpoint})
	call := &message.Dispatch{Call: &message.Call{Method: http.MethodGet, Path: "/a"}}
	endpoint.status = 0
	require.True(t, plainservice.IsErrResponseCut(s.services["records"].Call(t.Context(), call, nil)))
	require.Nil(t, s.serviceLimits["records"].limiter)
	endpoint.status = http.StatusOK
	require.Error(t, s.services["records"].Call(t.Context(), call, failingSink{}))
	require.NotNil(t, s.serviceLimits["records"].limiter)
}

// failingSink takes nothing of an answer.
type failingSink struct{}

func (failingSink) WriteHeader(int, http.Header) error { return errors.New("nothing is taken") }

func (failingSink) WriteData([]byte) error { return nil }
