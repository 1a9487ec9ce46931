package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/platform"
	"github.com/egretreach/egretreach/platform/standin"
)

const (
	// callerDeadline is the deadline that a caller sends with each request.
	callerDeadline = 3 * time.Second
	// responseSlack is how much later than the deadline a response may arrive, because of the way
	// back and a busy machine.
	responseSlack = time.Second
	// callerPause is the mean pause between a response and the caller's next request.
	callerPause = 40 * time.Millisecond
)

// callKinds lists the kinds of requests. Each is the first part of the path, which selects the route.
var callKinds = []string{"safe", "unsafe", "stream"}

// caller sends requests to a gateway, one after the other, over a kept-alive connection.
type caller struct {
	name    string
	gateway *process
	testbed *testbed
	rng     *rand.Rand
	client  http.Client
	sent    int
}

func newCaller(name string, g *process, t *testbed, rng *rand.Rand) *caller {
	c := &caller{name: name, gateway: g, testbed: t, rng: rng}
	c.client.Transport = &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}
	return c
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sendOnce(context.WithoutCancel(ctx), callKinds[c.rng.IntN(len(callKinds))])
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
	}
}

// sendOnce sends one request and checks its response. It reports whether the response is complete
// and correct.
func (c *caller) sendOnce(ctx context.Context, kind string) bool {
	c.sent++
	id := fmt.Sprintf("%s-%s-%d", c.name, kind, c.sent)
	if kind == "unsafe" {
		c.testbed.recorder.recordUnsafe(id)
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+responseSlack)
	defer cancel()
	resp, err := c.send(ctx, kind, id)
	if err != nil {
		c.checkNoResponse(id, start, err)
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode == http.StatusOK:
		return c.checkSuccess(kind, id, start, resp, string(body), err)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		c.testbed.recorder.count("refused")
		c.testbed.recorder.recordRefusal(id, strings.TrimSpace(string(body)))
		if resp.Header.Get("Retry-After") == "" {
			c.testbed.recorder.reportViolation("%s was refused without a Retry-After header", id)
		}
	case resp.StatusCode >= http.StatusInternalServerError:
		c.testbed.recorder.count("failed")
	default:
		c.testbed.recorder.reportViolation("%s is a valid request and got status %d: %s", id, resp.StatusCode, body)
	}
	return false
}

func (c *caller) send(ctx context.Context, kind, id string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway.apiAddress()+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return nil, errors.Wrap(err, "compose request")
	}
	names := platform.Dialect().Headers
	r.Host = standin.RouteHost
	r.GetBody = nil // Keeps net/http from retrying the request by itself.
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.APIKey, standin.TeamKey)
	r.Header.Set(names.Deadline, platform.Dialect().FormatDeadline(callerDeadline))
	return c.client.Do(r)
}

// checkNoResponse records a request without a response. It is a violation if the gateway was not
// disturbed since settleTime before the request.
func (c *caller) checkNoResponse(id string, start time.Time, err error) {
	c.testbed.recorder.count("no answer")
	if c.gateway.undisturbed(start.Add(-settleTime)) {
		c.testbed.recorder.reportViolation("%s got no response from %s, which was not disturbed, after %v: %v", id, c.gateway.name, time.Since(start), err)
	}
}

// checkSuccess checks a response with status 200, and reports whether it is complete. err is the
// error that ended the read of its body, if any.
func (c *caller) checkSuccess(kind, id string, start time.Time, resp *http.Response, body string, err error) bool {
	r := c.testbed.recorder
	ran, finished := r.ranOn(id)
	signature := resp.Header.Get(platform.Dialect().Headers.Signature)
	switch {
	case resp.Header.Get(platform.Dialect().Headers.RequestID) != id || signature == "":
		r.reportViolation("%s got a response without its request ID or a signature: %v", id, resp.Header)
		return false
	case !slices.Contains(ran, signature):
		r.reportViolation("%s is signed by %s and ran on %v", id, signature, ran)
		return false
	}
	want := expectedBody(kind, id)
	switch {
	case err == nil && body == want:
		r.count("answered")
		return true
	case err == nil:
		r.reportViolation("%s ended without an error with a wrong body: %d of %d bytes", id, len(body), len(want))
	case !strings.HasPrefix(want, body):
		r.reportViolation("%s got bytes that are not part of its response", id)
	default:
		r.count("broken off")
		if c.gateway.onlyPlannedStop(start) && !finished.IsZero() && c.testbed.endpointsUndisturbed(start) {
			r.reportViolation("%s was interrupted by the planned stop of %s", id, c.gateway.name)
		}
	}
	return false
}

// expectedBody returns the complete body of the response to a request.
func expectedBody(kind, id string) string {
	if kind != "stream" {
		return standin.PlainBody(id)
	}
	var text strings.Builder
	for n := 1; n <= standin.StreamEventCount; n++ {
		text.WriteString(standin.StreamEvent(id, n))
	}
	return text.String()
}
