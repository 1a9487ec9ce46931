// Command extraanswer shows that a late extra answer of a server, which says of an earlier request that it was not run,
// is taken for the answer to the present one: the client is told that its request has not run, and it has.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretreach/egretreach/review/rig"
)

const (
	host = "wuny96.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// Every extraEvery-th answer of a faulty server is followed by an extra one: 3 in 100.
	extraEvery = 34
	length     = 45 * time.Second
	clients    = 6
)

func document() string {
	return fmt.Sprintf(`{"version":3,"routes":[{"name":"r-signoff","host":%q,"path_prefix":"/signoff/","kind":"unsafe","timeout_ms":1500,`+
		`"target_latency_ms":300,"priority":2,"service":"records","max_attempts":1,"allow_anonymous":false}],`+
		`"services":[{"name":"records","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],`+
		`"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},"tenants":[{"name":"hule930","api_keys":[%q],"priority":1}]}`,
		host, key)
}

// faultyServer sends an extra answer to some of its requests. It arrives late, where the answer to the next
// request on the connection is expected.
type faultyServer struct {
	rig     *rig.Rig
	server  *rig.Server
	answers atomic.Int64
	extras  atomic.Int64
	mu      sync.Mutex
	held    map[net.Conn]string
}

func (f *faultyServer) after(c net.Conn, request *http.Request) {
	if f.answers.Add(1)%extraEvery == 0 {
		f.mu.Lock()
		f.held[c] = request.Header.Get("X-Request-Id")
		f.mu.Unlock()
	}
}

// before is called when the next request has been read.
func (f *faultyServer) before(c net.Conn, request *http.Request) {
	f.mu.Lock()
	id, held := f.held[c]
	delete(f.held, c)
	f.mu.Unlock()
	if !held {
		return
	}
	f.extras.Add(1)
	f.rig.Record.Logf("server %s has read %s and sends an extra answer to %s: 503, X-Not-Executed", f.server.ID, request.Header.Get("X-Request-Id"), id)
	_, _ = c.Write(rig.Response(http.StatusServiceUnavailable, id, "", "X-Not-Executed: 1\r\n", ""))
}

func test(r *rig.Rig) (bool, error) {
	runs := &rig.Runs{}
	var faulty []*faultyServer
	for i := range 3 {
		s, err := r.NewServer(fmt.Sprintf("i-%08x", 0x9046ff59+i), "records", runs)
		if err != nil {
			return false, err
		}
		if i == 0 && r.Trouble {
			f := &faultyServer{rig: r, server: s, held: map[net.Conn]string{}}
			s.Before, s.After = f.before, f.after
			faulty = append(faulty, f)
		}
		s.Serve()
	}
	if err := r.PutFirst(3, document()); err != nil {
		return false, err
	}
	r.Record.Sayf("the configuration is acknowledged, both gateways are ready")
	var number, posted, refusedAndRun, ranTwice atomic.Int64
	var wait sync.WaitGroup
	for n := range clients {
		wait.Go(func() {
			client, g := rig.NewClient(), r.Gateways[n%len(r.Gateways)]
			for r.Record.Since() < length {
				posted.Add(1)
				if post(r, client, g, runs, number.Add(1), &refusedAndRun) {
					ranTwice.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	extras := int64(0)
	for _, f := range faulty {
		extras += f.extras.Load()
	}
	r.Record.Sayf("sign-offs posted: %d; extra answers: %d; refused with 503 although they ran: %d; sign-offs that therefore ran twice: %d",
		posted.Load(), extras, refusedAndRun.Load(), ranTwice.Load())
	if r.Trouble && extras == 0 {
		return false, errors.New("no extra answer was sent")
	}
	return refusedAndRun.Load() == 0, nil
}

// post posts a sign-off as a client does: a refusal that promises that it has not run is followed by another attempt,
// with an ID of its own. It reports whether the sign-off ran twice.
func post(r *rig.Rig, client *rig.Client, g *rig.Process, runs *rig.Runs, number int64, refusedAndRun *atomic.Int64) bool {
	total := 0
	for attempt := range 2 {
		id := fmt.Sprintf("9c41d0%08x%02x", number, attempt)
		status, answer := client.Send(g, rig.Request{
			ID: id, Method: http.MethodPost, Host: host, Path: fmt.Sprintf("/signoff/%d", number), Key: key, Body: "badge=camping", Timeout: 1500 * time.Millisecond,
		})
		r.Record.Logf("client: %s POST /signoff/%d at %s: %d", id, number, g.Name, status)
		time.Sleep(50 * time.Millisecond)
		ran := len(runs.Of(id))
		total += ran
		if status != http.StatusServiceUnavailable {
			break
		}
		if ran > 0 {
			refusedAndRun.Add(1)
			r.Record.Sayf("%s was answered 503 (%q) and was run by %s", id, answer.Body, runs.Of(id)[0].Server)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return total > 1
}

func main() { os.Exit(rig.Main(3, 2, test)) }
