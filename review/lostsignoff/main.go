// Command lostsignoff shows that the sign-off of a server is forgotten if the portal that has acknowledged it is killed right
// after that: the gateways go on sending requests to the server.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egretreach/egretreach/review/rig"
)

const (
	host   = "wuny96.example"
	key    = "n2ctnfzs989anu6wsjnb"
	rounds = 4
	// linger is how long a server goes on after drain_ms.
	linger = 9 * time.Second
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 500 * time.Millisecond
	// margin is the time by which a request must be too late to count.
	margin = 500 * time.Millisecond
)

func document() string {
	return fmt.Sprintf(`{"version":3,"routes":[{"name":"r-read","host":%q,"path_prefix":"/read/","kind":"safe","timeout_ms":1500,`+
		`"target_latency_ms":300,"priority":2,"service":"records","max_attempts":2,"allow_anonymous":false}],`+
		`"services":[{"name":"records","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],`+
		`"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},"tenants":[{"name":"hule930","api_keys":[%q],"priority":1}]}`,
		host, key)
}

// sentTimes are the times at which clients sent requests.
type sentTimes struct{ times sync.Map }

func (s *sentTimes) of(id string) time.Time {
	at, _ := s.times.Load(id)
	sent, _ := at.(time.Time)
	return sent
}

func test(r *rig.Rig) (bool, error) {
	runs := &rig.Runs{}
	for i := range 3 {
		s, err := r.NewServer(fmt.Sprintf("i-%08x", 0x9046ff59+i), "records", runs)
		if err != nil {
			return false, err
		}
		s.Serve()
	}
	if err := r.PutFirst(3, document()); err != nil {
		return false, err
	}
	r.Record.Sayf("the configuration is acknowledged, both gateways are ready")
	var sent sentTimes
	var number atomic.Int64
	for n := range 12 {
		go func() {
			client, g := rig.NewClient(), r.Gateways[n%len(r.Gateways)]
			for r.Context.Err() == nil {
				id := fmt.Sprintf("9c41d07be2%06x", number.Add(1))
				sent.times.Store(id, time.Now())
				status, _ := client.Send(g, rig.Request{ID: id, Method: http.MethodGet, Host: host, Path: "/read/1", Key: key, Timeout: 1500 * time.Millisecond})
				r.Record.Logf("client: %s GET /read/1 at %s: %d", id, g.Name, status)
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	late := 0
	for round := range rounds {
		n, err := leave(r, round, runs, &sent)
		if err != nil {
			return false, err
		}
		late += n
	}
	return late == 0, nil
}

// leave lets one server sign off, and kills the portal that has acknowledged that. It returns the number of requests
// that came too late.
func leave(r *rig.Rig, round int, runs *rig.Runs, sent *sentTimes) (int, error) {
	portal := r.Portals[round%len(r.Portals)]
	s, err := r.NewServer(fmt.Sprintf("i-%08x", 0x18ca9fba+round), "records", runs)
	if err != nil {
		return 0, err
	}
	s.Portal = portal
	s.Serve()
	time.Sleep(3 * time.Second)
	s.StopBeats()
	if status := r.Beat(http.MethodDelete, portal, "/instances/"+s.ID, s.SignOffBody()); status != http.StatusOK {
		return 0, fmt.Errorf("the sign-off was answered %d", status)
	}
	acknowledged := time.Now()
	inTouch := acknowledged
	r.Record.Sayf("%s has acknowledged DELETE /instances/%s", portal.Name, s.ID)
	if r.Trouble {
		portal.Stop(syscall.SIGKILL, time.Second)
		time.Sleep(restartDelay)
		if err := portal.Start(); err != nil {
			return 0, err
		}
		inTouch = time.Now().Add(rig.TouchBound)
	}
	from := acknowledged.Add(rig.DrainBound)
	if inTouch.After(from) {
		from = inTouch
	}
	from = from.Add(margin)
	time.Sleep(time.Until(acknowledged.Add(rig.DrainBound + linger)))
	s.Close()
	late := 0
	for _, run := range runs.All() {
		if run.Server == s.ID && sent.of(run.ID).After(from) {
			late++
		}
	}
	r.Record.Sayf("%s got %d requests that were sent later than %.1f s after that, when all machines were in touch again",
		s.ID, late, from.Sub(acknowledged).Seconds())
	return late, nil
}

func main() { os.Exit(rig.Main(3, 2, test)) }
