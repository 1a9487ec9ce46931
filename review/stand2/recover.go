package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// recoverTime is recover_s of the small deployments.
	recoverTime = 12 * time.Second
	// judgedTime is how long requests are counted before the fault and after recoverTime.
	judgedTime = 8 * time.Second
	// crowdLead is how long the odd clients are there before the fault, and crowdTail how long after the core is back.
	crowdLead, crowdTail = 3 * time.Second, 3 * time.Second
	// coreDown is how long the processes of the core are down: "back within a second".
	coreDown         = 900 * time.Millisecond
	ordinaryInterval = 100 * time.Millisecond
	heartbeat        = 1200 * time.Millisecond
)

// plainServer is a sound server of a plain service.
type plainServer struct {
	id, address string
	born        int64
	sequence    atomic.Int64
	ran         atomic.Int64
	server      *http.Server
}

func startPlainServer(f *fleet, id string, n int) (*plainServer, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", f.ip(n)+":0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{id: id, address: listener.Addr().String(), born: time.Now().UnixMilli()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Server-Load", "1,0,6")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	s.ran.Add(1)
	w.Header().Set("X-Response-Signature", s.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id+"\n") //nolint:gosec // No browser reads the answer.
}

// announce sends heartbeats to the portals until ctx ends, to the next one after a failure.
func (s *plainServer) announce(ctx context.Context, f *fleet) {
	for portal := 0; ctx.Err() == nil; {
		body := map[string]any{
			"service": "wuno96b", "address": s.address, "zone": "a", "version": "v1", "slots": 6, "state": "ready", "cold_ms": 0,
			"sequence": s.sequence.Add(1), "born": s.born,
		}
		if !f.beat(portal, s.id, body) {
			portal++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeat)
	}
}

// sample is the answer to an ordinary request.
type sample struct {
	sent   time.Duration
	status int
	served bool
}

// ordinaryClients send a request to each gateway every ordinaryInterval until ctx ends.
type ordinaryClients struct {
	mu      sync.Mutex
	samples []sample
}

func (o *ordinaryClients) run(ctx context.Context, f *fleet) {
	ticker := time.NewTicker(ordinaryInterval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		for g := range f.gateways {
			go o.send(f, g, fmt.Sprintf("o%d-%d", g, n))
		}
		<-ticker.C
	}
}

func (o *ordinaryClients) send(f *fleet, gateway int, id string) {
	s := sample{sent: time.Since(f.start)}
	status, body, signature := get(f.gatewayAddress(gateway), "/pufi791/2f", id)
	s.status, s.served = status, status == http.StatusOK && signature != "" && body == "answer to "+id+"\n"
	f.note("request %s to gateway %d: %d %.60q", id, gateway+1, status, body)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.samples = append(o.samples, s)
}

// share returns how many requests were sent in a span, and how many of these were served.
func (o *ordinaryClients) share(from, to time.Duration) (sent, served int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.samples {
		if s.sent < from || s.sent >= to {
			continue
		}
		sent++
		if s.served {
			served++
		}
	}
	return sent, served
}

var client = http.Client{Timeout: 3 * time.Second}

// get sends a request within the pages and returns the status, the body and the signature.
func get(address, path, id string) (status int, body, signature string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+path, nil) //nolint:gosec // A loopback address.
	if err != nil {
		return 0, err.Error(), ""
	}
	r.Host = "ficu95.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "3000", "X-Key": "n2ctnfzs989anu6wsjnb"} {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r) //nolint:gosec // A loopback address.
	if err != nil {
		return 0, err.Error(), ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), ""
	}
	return response.StatusCode, string(data), response.Header.Get("X-Response-Signature")
}

// recoverCase brings about a final fault of the core while some clients ask for models that aren't there, and looks whether ordinary requests are
// served afterwards.
func recoverCase(f *fleet, trouble bool) int {
	if f.startAll(2) != nil || !f.put(engineDocument(1)) {
		f.note("the deployment doesn't start")
		return exitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 3 {
		s, err := startPlainServer(f, fmt.Sprintf("i-%d", i+1), 200+i)
		if err != nil {
			return exitNotRun
		}
		defer func() { _ = s.server.Close() }()
		go s.announce(ctx, f)
	}
	time.Sleep(3 * time.Second)
	var clients ordinaryClients
	go clients.run(ctx, f)
	time.Sleep(judgedTime - crowdLead)
	crowd, endCrowd := context.WithCancel(ctx)
	defer endCrowd()
	var answered sync.Map
	for g := range f.gateways {
		for i := range crowdConnections {
			go oddClient(crowd, f.gatewayAddress(g), g*crowdConnections+i, trouble, &answered)
		}
	}
	time.Sleep(crowdLead)
	fault := time.Since(f.start)
	if !f.killCore() {
		return exitNotRun
	}
	back := time.Since(f.start)
	time.Sleep(crowdTail)
	endCrowd()
	f.note("the odd clients have ended")
	f.noteAnswers(&answered)
	time.Sleep(recoverTime - crowdTail + judgedTime + time.Second)
	return f.judgeRecovery(&clients, fault, back)
}

// killCore is a final fault: all core machines lose power at the same moment, and the last one loses its disk. They start again.
func (f *fleet) killCore() bool {
	last := f.portals[len(f.portals)-1]
	f.note("all processes of the core are killed; the disk of %s is lost", last.name)
	for _, d := range f.portals {
		d.signal(syscall.SIGKILL)
	}
	time.Sleep(coreDown)
	if os.RemoveAll(filepath.Join(f.folder, last.name)) != nil { //nolint:gosec // A folder of its own.
		return false
	}
	for _, d := range f.portals {
		if !d.hasEnded() || f.run(d) != nil {
			return false
		}
	}
	return true
}

// judgeRecovery checks the rule RECOVER.
func (f *fleet) judgeRecovery(clients *ordinaryClients, fault, back time.Duration) int {
	sent, served := clients.share(fault-judgedTime, fault)
	f.note("in the %v before the fault %d of %d ordinary requests were served", judgedTime, served, sent)
	if sent == 0 || 4*served < sent {
		return exitNotRun
	}
	sent, served = clients.share(back+recoverTime, back+recoverTime+judgedTime)
	f.note("of those sent later than %v after the core was back %d of %d were served", recoverTime, served, sent)
	if sent == 0 {
		return exitNotRun
	}
	if 4*served < sent {
		f.note("BROKEN: less than a quarter")
		return exitBroken
	}
	f.note("held")
	return exitHeld
}
