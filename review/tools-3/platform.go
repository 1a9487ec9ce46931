package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	routeHost   = "ficu95.example"
	routePrefix = "/lohu930/"
	serviceName = "huvo11a"
	// controlTimeout is how long callers of control wait for a response.
	controlTimeout = time.Second
	// maxRedirects is how often callers of control follow a 307.
	maxRedirects = 2
	maxResponse  = 1 << 20
	// clientDeadline is the time for which a client waits.
	clientDeadline = 3 * time.Second
)

// configuration returns a valid configuration with a number of routes, of which the first is that of the clients.
func configuration(version, routes int) []byte {
	var table bytes.Buffer
	for i := range routes {
		prefix := routePrefix
		if i > 0 {
			prefix = fmt.Sprintf("/more%d/", i)
		}
		if i > 0 {
			table.WriteByte(',')
		}
		_, _ = fmt.Fprintf(&table, `{"name":"r-%d","host":%q,"path_prefix":%q,"kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,`+
			`"service":%q,"max_attempts":1,"allow_anonymous":true}`, i, routeHost, prefix, serviceName)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"health_path":"/healthz","max_connections":110,"protocol":"h1",`+
		`"tls":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},"tenants":[]}`, version, table.String(), serviceName)
}

// controlAnswer is a portal's response. address is that of the portal that has responded without a redirect, and version that of a
// configuration in the body.
type controlAnswer struct {
	status, version int
	address         string
}

// callControl calls a portal as servers and operators do, and returns the response.
func callControl(method, address, path string, body []byte) (controlAnswer, error) {
	client := http.Client{Timeout: controlTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	target := &url.URL{Scheme: "http", Host: address, Path: path}
	for range maxRedirects + 1 {
		request, err := http.NewRequestWithContext(context.Background(), method, target.String(), bytes.NewReader(body))
		if err != nil {
			return controlAnswer{}, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			return controlAnswer{}, err
		}
		var document struct {
			Version int `json:"version"`
		}
		text, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
		_ = response.Body.Close()
		if err != nil {
			return controlAnswer{}, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			_ = json.Unmarshal(text, &document) // Other responses have no version.
			return controlAnswer{response.StatusCode, document.Version, target.Host}, nil
		}
		if target, err = url.Parse(response.Header.Get("Location")); err != nil {
			return controlAnswer{}, err
		}
	}
	return controlAnswer{}, errors.New("too many redirects")
}

// operator sends a configuration again, to any portal, until it is acknowledged.
type operator struct {
	record  *record
	targets func() []string
	// version is that of the newest change.
	version int
	acked   atomic.Bool
}

// retryPause is the pause before an operator sends an order again.
const retryPause = 250 * time.Millisecond

// anyTarget returns the address of any portal.
func (o *operator) anyTarget() string {
	targets := o.targets()
	return targets[rand.IntN(len(targets))] //nolint:gosec // Any portal will do.
}

func (o *operator) run(ctx context.Context) {
	body := configuration(1, smallTable)
	for attempt := 1; ctx.Err() == nil; attempt++ {
		address := o.anyTarget()
		a, err := callControl(http.MethodPut, address, "/config", body)
		o.record.add("operator", "PUT /config, attempt %d, to %s: status %d %s", attempt, address, a.status, errorText(err))
		if a.status == http.StatusOK {
			o.acked.Store(true)
			return
		}
		pause(ctx, retryPause)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// server is a sound server of the service. It announces itself to the portals.
type server struct {
	record  *record
	id      string
	targets func() []string
	address string
	ran     atomic.Int64
}

// heartbeatInterval is the interval of the server's announcements.
const heartbeatInterval = 1200 * time.Millisecond

// start starts the server at ip until ctx ends.
func (s *server) start(ctx context.Context, ip string) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	web := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: clientDeadline}
	go func() { _ = web.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = web.Close() })
	go s.announce(ctx)
	return nil
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.ran.Add(1)
	s.record.add("server", "runs %s", id)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "signed."+id)
	_, _ = fmt.Fprintln(w, "done")
}

// announce sends heartbeats, each to the portals in turn until one acknowledges it.
func (s *server) announce(ctx context.Context) {
	born := time.Now().UnixMilli()
	acknowledged := false
	for sequence := 1; ctx.Err() == nil; {
		for _, address := range s.targets() {
			body := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":6,"state":"ready","cold_ms":0,"sequence":%d,"born":%d}`,
				serviceName, s.address, sequence, born)
			sequence++
			a, err := callControl(http.MethodPut, address, "/instances/"+s.id, body)
			now := a.status == http.StatusOK
			if now != acknowledged {
				acknowledged = now
				s.record.add("server", "PUT /instances/%s to %s: status %d %s", s.id, address, a.status, errorText(err))
			}
			if now {
				break
			}
		}
		pause(ctx, heartbeatInterval)
	}
}

// client sends requests to the gateway, one after the other.
type client struct {
	record       *record
	address      string
	sent, served atomic.Int64
}

// requestInterval is the time between two requests of a client.
const requestInterval = 200 * time.Millisecond

func (c *client) run(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		c.send(ctx, fmt.Sprintf("%016x", n))
		pause(ctx, requestInterval)
	}
}

// send sends a request on a new connection.
func (c *client) send(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+routePrefix+"2f", bytes.NewReader([]byte("a sign-off")))
	if err != nil {
		return
	}
	request.Host = routeHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	web := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c.sent.Add(1)
	response, err := web.Do(request)
	if err != nil {
		c.record.add("client", "sends %s: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	c.record.add("client", "sends %s: status %d, %d bytes, signature %q, %v", id, response.StatusCode, len(body), response.Header.Get("X-Response-Signature"), errorText(err))
	if err == nil && response.StatusCode == http.StatusOK && response.Header.Get("X-Response-Signature") != "" {
		c.served.Add(1)
	}
}
