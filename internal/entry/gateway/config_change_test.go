package gateway

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/fleet/routes"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

const (
	// configChangeSeeds is how many seeds the test runs in CI.
	configChangeSeeds = 6
	// changeCallers callers send changeRequests requests each, one after the other.
	changeCallers  = 40
	changeRequests = 12
	streamedEvents = 12
)

// configChanges applies random configurations and changes of endpoints to a gateway while callers
// send requests.
type configChanges struct {
	*fixture
	random *rand.Rand
	// mu guards tables, owners and endpoints.
	mu sync.Mutex
	// tables holds the configurations by their documents.
	tables map[string]*routes.Table
	// owners holds the ID of the endpoint that answers at each address.
	owners    map[string]string
	endpoints []roster.Endpoint
	version   uint64
	started   int64
}

// TestRequestsAreAnsweredWhileConfigurationsChange applies configurations (routes, services, weights,
// teams, keys, timeouts and limits) and changes of endpoints while requests and streams run and wait.
// Each request must end with a complete response, or with a correct refusal. It guards against a
// handler that fails, a lock that is not released and a connection that ends without an answer.
func TestRequestsAreAnsweredWhileConfigurationsChange(t *testing.T) {
	for seed := range uint64(configChangeSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runConfigChanges(t, seed) })
		})
	}
}

func runConfigChanges(t *testing.T, seed uint64) {
	c := newConfigChanges(t, seed)
	defer c.answerQuestions()()
	var serverLog bytes.Buffer
	c.g.server = c.g.newServer(log.New(&serverLog, "", 0))
	listener := memnet.NewListener("gateway")
	go func() { _ = c.g.server.Serve(framingListener{listener}) }()
	transport := &http.Transport{DialContext: listener.Dial, DisableCompression: true, MaxIdleConnsPerHost: changeCallers}
	c.client = &http.Client{Transport: transport}

	var callers sync.WaitGroup
	for i := range changeCallers {
		random := rand.New(rand.NewPCG(seed, uint64(i)+2))
		callers.Go(func() { c.call(i, random) })
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	c.changeUntil(done)
	transport.CloseIdleConnections()
	_ = c.g.server.Close()
	c.g.upstream.CloseExpired(time.Now().Add(time.Hour))
	time.Sleep(time.Second) // Handlers and endpoints finish their work for the last responses.

	require.True(t, c.g.mu.TryLock(), "the gateway's lock is held")
	defer c.g.mu.Unlock()
	require.Zero(t, c.g.balancer.Waiting())
	require.Empty(t, c.g.balancer.HeadReports(time.Now()), "requests counted as in flight")
	require.Empty(t, serverLog.String())
}

func newConfigChanges(t *testing.T, seed uint64) *configChanges {
	c := &configChanges{
		fixture: newFixture(t), random: rand.New(rand.NewPCG(seed, 1)),
		tables: map[string]*routes.Table{}, owners: map[string]string{}, version: 10, started: 10,
	}
	c.g.opts.Dialect.ParseTable = c.parseTable
	for i := range 2 {
		c.addEndpoint("llm", fmt.Sprint("h", i))
		c.addEndpoint("plain", fmt.Sprint("p", i))
	}
	for address, e := range c.net.endpoints {
		e.script = c.script(address, e)
	}
	c.applyConfig()
	return c
}

// script answers as the endpoint that owns an address: it rejects requests for another one.
func (c *configChanges) script(address string, e *fakeEndpoint) func(net.Conn, *http.Request, string) {
	random := rand.New(rand.NewPCG(c.random.Uint64(), 1))
	return func(conn net.Conn, r *http.Request, _ string) {
		c.mu.Lock()
		owner, delay := c.owners[address], time.Duration(random.IntN(300))*time.Millisecond
		c.mu.Unlock()
		if owner != r.Header.Get("X-Expect") {
			_, _ = io.WriteString(conn, responseHeader(r, http.StatusMisdirectedRequest, "Content-Length: 0\r\n"))
			return
		}
		answer := &fakeEndpoint{}
		if strings.HasPrefix(address, "h") {
			answer.streamEvents(streamedEvents, delay/streamedEvents+time.Millisecond, endStream)
		} else {
			answer.respondWith(http.StatusOK, "whole")
			time.Sleep(delay)
		}
		e.recordRun(r)
		answer.script(conn, r, "")
	}
}

func (c *configChanges) parseTable(document []byte) (*routes.Table, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if table := c.tables[string(document)]; table != nil {
		return table, nil
	}
	return nil, errors.New("unknown document")
}

// addEndpoint puts a new endpoint of a service at an address, in the place of the one before.
func (c *configChanges) addEndpoint(service, address string) {
	c.started++
	e := roster.Endpoint{
		ID: fmt.Sprintf("%s.%d", address, c.started), Service: service, Address: address, FailureDomain: "a",
		Slots: 4, StartedMs: c.started, Sequence: 1,
	}
	if service == "llm" {
		e.Engine, e.Model = true, "m"
		e.Member = &roster.Membership{Replica: "m.1.1", State: roster.MemberOpen}
	}
	c.endpoints = slices.DeleteFunc(c.endpoints, func(old roster.Endpoint) bool { return old.Address == address })
	c.endpoints = append(c.endpoints, e)
	c.mu.Lock()
	c.owners[address] = e.ID
	c.mu.Unlock()
}

// changeUntil applies changes until done is closed.
func (c *configChanges) changeUntil(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.random.IntN(60)) * time.Millisecond):
		}
		switch c.random.IntN(5) {
		case 0:
			c.changeEndpoint()
		default:
			c.applyConfig()
		}
		if c.random.IntN(10) == 0 {
			c.g.removeOldEndpoints(time.Now())
		}
	}
}

// changeEndpoint drains, restarts or replaces an endpoint, or lets it leave.
func (c *configChanges) changeEndpoint() {
	i := c.random.IntN(len(c.endpoints))
	e := &c.endpoints[i]
	e.Sequence++
	switch c.random.IntN(5) {
	case 0:
		e.State = roster.StateDraining
	case 1:
		e.State = roster.StateReady
	case 2:
		e.State = roster.StateLeft
	case 3:
		c.started++
		e.StartedMs, e.State = c.started, roster.StateReady
	case 4:
		c.addEndpoint(e.Service, e.Address)
	}
	c.g.applyUpdate(&message.Picture{Endpoints: slices.Clone(c.endpoints), Gateways: 1 + c.random.IntN(3)})
}

// applyConfig brings a random configuration into force.
func (c *configChanges) applyConfig() {
	c.version++
	document := fmt.Sprint("document-", c.version)
	table := c.randomTable()
	c.mu.Lock()
	c.tables[document] = table
	c.mu.Unlock()
	c.g.applyUpdate(&message.Picture{Version: c.version, Document: []byte(document), Endpoints: slices.Clone(c.endpoints), Gateways: 1})
}

func (c *configChanges) randomTable() *routes.Table {
	t := testTable()
	t.Version = c.version
	t.Teams = []routes.Team{{Name: "team", Keys: []string{"secret"}}, {Name: "other", Keys: []string{fmt.Sprint("key-", c.version)}}}
	for i := range t.Routes {
		r := &t.Routes[i]
		r.Timeout = time.Duration(2000+c.random.IntN(2000)) * time.Millisecond
		r.Objective = time.Duration(100+c.random.IntN(900)) * time.Millisecond
		r.Priority, r.MaxAttempts = c.random.IntN(3), 1+c.random.IntN(3)
		r.Targets = append(r.Targets, routes.Target{Service: "none", Weight: c.random.IntN(2)})
	}
	t.Services = append(t.Services, routes.Service{Name: "none"})
	switch c.random.IntN(8) {
	case 0:
		t.Routes = slices.Delete(t.Routes, 0, 1+c.random.IntN(len(t.Routes)))
	case 1:
		t.Services, t.Routes = t.Services[2:], nil // Both services are removed.
	case 2:
		t.Services[1].Engine = nil
	case 3:
		t.Services[1].Engine = &routes.Engine{}
	case 4:
		t.Teams[0].Keys = []string{"changed"}
	case 5:
		t.Limits.BodyBytes = 1
	}
	return t.WithIndex()
}

// call sends requests as one caller and checks how each ends.
func (c *configChanges) call(caller int, random *rand.Rand) {
	for i := range changeRequests {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		id := fmt.Sprintf("request-%d-%d", caller, i)
		kind := []string{"safe", "unsafe", "stream"}[random.IntN(3)]
		response := c.send(http.MethodPost, "/"+kind+"/x", "body", "X-Request-Id", id)
		c.check(kind, id, response)
	}
}

func (c *configChanges) check(kind, id string, response callerResponse) {
	if response.err != nil {
		c.t.Errorf("%s %s ended without a whole response: %v", kind, id, response.err)
		return
	}
	whole := "whole"
	if kind == "stream" {
		var events strings.Builder
		for i := range streamedEvents {
			events.WriteString(eventText(i + 1))
		}
		whole = events.String()
	}
	switch response.status {
	case http.StatusOK:
		if response.body != whole {
			c.t.Errorf("%s %s: %q", kind, id, response.body)
		}
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		if c.ran(id) {
			c.t.Errorf("%s %s was refused with %d and has run", kind, id, response.status)
		}
	case http.StatusBadGateway:
		// A safe request that took longer than the objective may be cancelled in favour of another attempt.
		if kind != "safe" {
			c.t.Errorf("%s %s: %s", kind, id, response.body)
		}
	default:
		c.t.Errorf("%s %s: status %d after %v: %s", kind, id, response.status, response.took, response.body)
	}
}

// ran reports whether any endpoint began to run a request.
func (c *configChanges) ran(id string) bool {
	for _, e := range c.net.endpoints {
		e.mu.Lock()
		ran := slices.Contains(e.startedIDs, id)
		e.mu.Unlock()
		if ran {
			return true
		}
	}
	return false
}
