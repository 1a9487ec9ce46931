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
	// callerDeadline is how long a caller waits, as it tells the gateway.
	callerDeadline = 3 * time.Second
	// answerSlack is how much later than the deadline an answer may come: the way back, and
	// a busy machine.
	answerSlack = time.Second
	// callerPause is the mean time between two requests of one caller.
	callerPause = 40 * time.Millisecond
)

// callKinds are the kinds of requests, each with the part of the path that selects its route.
var callKinds = []string{"safe", "unsafe", "stream"}

// caller sends requests, one after the other, over a connection that it keeps as long as the
// gateway lets it.
type caller struct {
	name    string
	gateway *process
	world   *world
	rng     *rand.Rand
	client  http.Client
	sent    int
}

func newCaller(name string, g *process, w *world, rng *rand.Rand) *caller {
	c := &caller{name: name, gateway: g, world: w, rng: rng}
	c.client.Transport = &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}
	return c
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.once(context.WithoutCancel(ctx), callKinds[c.rng.IntN(len(callKinds))])
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
	}
}

// once sends one request and judges its answer. It reports whether it was answered in full.
func (c *caller) once(ctx context.Context, kind string) bool {
	c.sent++
	id := fmt.Sprintf("%s-%s-%d", c.name, kind, c.sent)
	if kind == "unsafe" {
		c.world.ledger.sent(id)
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+answerSlack)
	defer cancel()
	answer, err := c.send(ctx, kind, id)
	if err != nil {
		c.broke(id, began, err)
		return false
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	switch {
	case answer.StatusCode == http.StatusOK:
		return c.judge(kind, id, began, answer, string(body), err)
	case answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests:
		c.world.ledger.count("refused")
		c.world.ledger.refused(id, strings.TrimSpace(string(body)))
		if answer.Header.Get("Retry-After") == "" {
			c.world.ledger.breaks("%s was refused without a time to come back", id)
		}
	case answer.StatusCode >= http.StatusInternalServerError:
		c.world.ledger.count("failed")
	default:
		c.world.ledger.breaks("%s is proper and got %d %s", id, answer.StatusCode, body)
	}
	return false
}

func (c *caller) send(ctx context.Context, kind, id string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway.api()+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return nil, errors.Wrap(err, "compose request")
	}
	names := platform.Dialect().Headers
	r.Host = standin.RouteHost
	r.GetBody = nil // The client must not send it again by itself.
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.APIKey, standin.TeamKey)
	r.Header.Set(names.Deadline, platform.Dialect().FormatDeadline(callerDeadline))
	return c.client.Do(r)
}

// broke judges a request without an answer: from a process that nothing was done to, it
// must be answered in time.
func (c *caller) broke(id string, began time.Time, err error) {
	c.world.ledger.count("no answer")
	if c.gateway.calm(began.Add(-settleTime)) {
		c.world.ledger.breaks("%s got no answer from %s, which was left alone, after %v: %v", id, c.gateway.name, time.Since(began), err)
	}
}

// judge judges a success.
func (c *caller) judge(kind, id string, began time.Time, answer *http.Response, body string, err error) bool {
	l := c.world.ledger
	ran, finished := l.ranOn(id)
	signature := answer.Header.Get(platform.Dialect().Headers.Signature)
	switch {
	case answer.Header.Get(platform.Dialect().Headers.RequestID) != id || signature == "":
		l.breaks("%s got a success that is not its own: %v", id, answer.Header)
		return false
	case !slices.Contains(ran, signature):
		l.breaks("%s is signed by %s and ran on %v", id, signature, ran)
		return false
	}
	want := wanted(kind, id)
	switch {
	case err == nil && body == want:
		l.count("answered")
		return true
	case err == nil:
		l.breaks("%s looks whole and is not: %d of %d bytes", id, len(body), len(want))
	case !strings.HasPrefix(want, body):
		l.breaks("%s got other bytes than its answer's", id)
	default:
		l.count("broken off")
		if c.gateway.stoppedGently(began) && !finished.IsZero() && c.world.endpointsCalm(began) {
			l.breaks("%s was broken off by the planned stop of %s", id, c.gateway.name)
		}
	}
	return false
}

// wanted is the whole answer to a request.
func wanted(kind, id string) string {
	if kind != "stream" {
		return standin.PlainBody(id)
	}
	var text strings.Builder
	for n := 1; n <= standin.StreamEventCount; n++ {
		text.WriteString(standin.StreamEvent(id, n))
	}
	return text.String()
}
