// Command badid shows what a heartbeat of another writer, whose instance ID is no readable text, does to the
// gateways: they get no configuration any more.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/egretreach/egretreach/review/rig"
)

const (
	host = "wuny96.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// foreignPath is the path of a heartbeat whose ID has bytes that are no UTF-8.
	foreignPath = "/instances/i-%ff%fe%fd%fc"
)

func route(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":1,"service":%q,`+
		`"max_attempts":2,"allow_anonymous":false}`, name, host, prefix, service)
}

func document(version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"records","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false},`+
		`{"name":"archive","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],`+
		`"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},"tenants":[{"name":"hule930","api_keys":[%q],"priority":1}]}`,
		version, routes, key)
}

// clients sends requests to the gateways.
type clients struct {
	rig    *rig.Rig
	client *rig.Client
	number atomic.Int64
}

func (c *clients) send(g *rig.Process, path string) string {
	id := fmt.Sprintf("9c41d07be2%06x", c.number.Add(1))
	status, _ := c.client.Send(g, rig.Request{ID: id, Method: http.MethodGet, Host: host, Path: path, Key: key, Timeout: 1500 * time.Millisecond})
	c.rig.Record.Logf("client: %s GET %s at %s: %d", id, path, g.Name, status)
	return id
}

// steady sends requests on the route that all versions have.
func (c *clients) steady(length time.Duration) {
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(requestInterval) {
		for _, g := range c.rig.Gateways {
			c.send(g, "/kept/1")
		}
	}
}

func startServers(r *rig.Rig, runs *rig.Runs) error {
	for i, service := range []string{"records", "records", "archive", "archive"} {
		s, err := r.NewServer(fmt.Sprintf("i-%08x", 0x9046ff59+i), service, runs)
		if err != nil {
			return err
		}
		s.Serve()
	}
	return nil
}

func test(r *rig.Rig) (bool, error) {
	first := document(3, route("kept", "/kept/", "records")+","+route("moved", "/moved/", "records")+","+route("dropped", "/dropped/", "records"))
	second := document(7, route("kept", "/kept/", "records")+","+route("moved", "/moved/", "archive"))
	runs := &rig.Runs{}
	if err := startServers(r, runs); err != nil {
		return false, err
	}
	if err := r.PutFirst(3, first); err != nil {
		return false, err
	}
	r.Record.Sayf("version 3 is acknowledged, both gateways are ready")
	c := &clients{rig: r, client: rig.NewClient()}
	c.steady(3 * time.Second)
	if r.Trouble {
		go foreignWriter(r)
	}
	c.steady(5 * time.Second)
	if !r.PutUntil(7, second, 5*time.Second) {
		return false, errors.New("version 7 is not acknowledged")
	}
	acknowledged := time.Now()
	r.Record.Sayf("version 7 is acknowledged; it drops one route and moves another to the service archive")
	c.steady(rig.ConfigBound + margin)
	broken := 0
	for time.Since(acknowledged) < testLength {
		for _, g := range r.Gateways {
			broken += c.probe(g, runs, acknowledged)
		}
		time.Sleep(requestInterval)
	}
	r.Record.Sayf("requests handled as only the older version allows: %d", broken)
	return broken == 0, nil
}

const (
	requestInterval = 100 * time.Millisecond
	// margin is the time by which a request must be too late to count.
	margin = 500 * time.Millisecond
	// testLength is the time after the acknowledgement until which requests are sent.
	testLength = 15 * time.Second
)

// probe sends requests on the routes that have changed, and returns how many ran as only the older version allows.
func (c *clients) probe(g *rig.Process, runs *rig.Runs, acknowledged time.Time) int {
	broken := 0
	after := time.Since(acknowledged)
	for _, path := range []string{"/dropped/1", "/moved/1"} {
		id := c.send(g, path)
		for _, run := range runs.Of(id) {
			if run.Service != "records" {
				continue
			}
			broken++
			c.rig.Record.Logf("%s was sent %.1f s after the acknowledgement of version 7 to %s, and %s of service records ran %s, as only version 3 allows",
				id, after.Seconds(), g.Name, run.Server, path)
		}
	}
	return broken
}

// foreignWriter sends a heartbeat of another writer every heartbeat interval, to one portal after the other.
func foreignWriter(r *rig.Rig) {
	born := time.Now().UnixMilli()
	for n := 0; r.Context.Err() == nil; n++ {
		p := r.Portals[n%len(r.Portals)]
		body := fmt.Sprintf(`{"service":"records","address":%q,"zone":"a","version":"v1","slots":6,"state":"ready","cold_ms":0,"born":%d,"sequence":%d}`,
			"127.0.0.1:9", born, n+1)
		status := r.Beat(http.MethodPut, p, foreignPath, body)
		r.Record.Logf("foreign writer: PUT %s at %s: %d", foreignPath, p.Name, status)
		time.Sleep(rig.HeartbeatInterval)
	}
}

func main() { os.Exit(rig.Main(3, 2, test)) }
