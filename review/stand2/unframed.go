package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents is the number of events of each stream, and eventGap the time between two of them.
	streamEvents = 30
	eventGap     = 100 * time.Millisecond
	streamCount  = 12
	// crashAfter is how long the gateway stands still before the server crashes, restartAfter how long the server is down, and freezeTime how
	// long the gateway stands still in all.
	crashAfter, restartAfter, freezeTime = 200 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond
)

// streamServer is a sound server whose answers have no length: they end with their connection.
type streamServer struct {
	f       *fleet
	address string

	mu       sync.Mutex
	id       string
	born     int64
	sequence int64
	starts   int
	listener net.Listener
	conns    map[net.Conn]bool
}

// start starts the process of the server as a new incarnation with a new id.
func (s *streamServer) start(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", s.address)
	if err != nil {
		return err
	}
	s.starts++
	s.id, s.born, s.sequence = fmt.Sprintf("%s-%d", name, s.starts), time.Now().UnixMilli(), 0
	s.address, s.listener, s.conns = listener.Addr().String(), listener, map[net.Conn]bool{}
	s.f.note("server %s starts at %s", s.id, s.address)
	go s.accept(listener, s.id)
	return nil
}

// crash ends the process: the operating system closes its listener and its connections.
func (s *streamServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f.note("server %s crashes with %d open connections", s.id, len(s.conns))
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.id = ""
}

func (s *streamServer) accept(listener net.Listener, id string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			s.serve(c, id)
			_ = c.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.conns, c)
		}()
	}
}

// serve answers one request on a connection.
func (s *streamServer) serve(c net.Conn, id string) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	request := r.Header.Get("X-Request-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", request)
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/lohu930/") {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0 // A new stream.
	}
	s.f.note("server %s runs request %s after event %d", id, request, last)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Response-Signature: %s.%s\r\n"+
		"X-Server-Load: 1,0,48\r\nConnection: close\r\n\r\n", request, id, request)
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(eventGap)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s-%d\n\n", n, request, n); err != nil {
			return
		}
	}
}

// announce sends heartbeats while the server runs, until ctx ends.
func (s *streamServer) announce(ctx context.Context) {
	for portal := 0; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		s.mu.Lock()
		id := s.id
		s.sequence++
		body := map[string]any{
			"service": "wuno96b", "address": s.address, "zone": "a", "version": "v1", "slots": 48, "state": "ready", "cold_ms": 0,
			"sequence": s.sequence, "born": s.born,
		}
		s.mu.Unlock()
		switch {
		case id == "":
		case s.f.beat(portal, id, body):
			time.Sleep(heartbeat)
		default:
			portal++
		}
	}
}

// readStream reads a stream and reports how many events it had in order, and whether it ended as complete.
func (f *fleet) readStream(id string) (events int, complete bool, what string) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.gatewayAddress(0)+"/lohu930/2f", strings.NewReader("{}")) //nolint:gosec // A loopback address.
	if err != nil {
		return 0, false, err.Error()
	}
	r.Host = "ficu95.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "14000")
	r.Header.Set("X-Key", "n2ctnfzs989anu6wsjnb")
	response, err := http.DefaultClient.Do(r) //nolint:gosec // A loopback address.
	if err != nil {
		return 0, false, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	for n := 1; strings.Contains(string(body), fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)); n++ {
		events = n
	}
	if err != nil {
		return events, false, err.Error()
	}
	return events, response.StatusCode == http.StatusOK, response.Status + ", end of the body"
}

// streamDocument returns a configuration with a route of streams that may be resumed, to a plain service.
func streamDocument(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-2yhvz3p","host":"ficu95.example","path_prefix":"/lohu930/","kind":"stream",`+
		`"timeout_ms":14000,"target_latency_ms":1000,"priority":1,"service":"wuno96b","max_attempts":2,"allow_anonymous":false,`+
		`"session_affinity":true,"resume_streams":true,"gap_aim_ms":300}],"services":[%s],%s}`, version, plainService, limitsAndTenants)
}

// unframedCase freezes the gateway while a server crashes and starts again, and looks whether streams that the crash has cut off look complete.
func unframedCase(f *fleet, trouble bool) int {
	if f.startAll(2) != nil || !f.put(streamDocument(1)) {
		f.note("the deployment doesn't start")
		return exitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers := []*streamServer{{f: f, address: f.ip(200) + ":0"}, {f: f, address: f.ip(201) + ":0"}, {f: f, address: f.ip(202) + ":0"}}
	for i, s := range servers {
		if s.start(fmt.Sprintf("i-%d", i+1)) != nil {
			return exitNotRun
		}
		go s.announce(ctx)
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, short := 0, 0
	for i := range streamCount {
		wg.Go(func() {
			id := fmt.Sprintf("s%d", i)
			events, complete, what := f.readStream(id)
			f.note("the client of %s has %d of %d events: %s", id, events, streamEvents, what)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case complete && events == streamEvents:
				whole++
			case complete:
				short++
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		if !f.crashBehindFrozenGateway(servers[0]) {
			return exitNotRun
		}
	}
	wg.Wait()
	f.note("%d streams are whole, %d are shorter and ended as complete, of %d", whole, short, streamCount)
	if short > 0 {
		f.note("BROKEN: a stream ends as complete before its last piece")
		return exitBroken
	}
	f.note("held")
	return exitHeld
}

// crashBehindFrozenGateway freezes the gateway, lets a server crash and start again, and wakes the gateway. With FREEZE=0 the gateway goes on.
func (f *fleet) crashBehindFrozenGateway(s *streamServer) bool {
	if os.Getenv("FREEZE") != "0" {
		f.note("the gateway freezes")
		f.gateways[0].signal(syscall.SIGSTOP)
	}
	time.Sleep(crashAfter)
	s.crash()
	time.Sleep(restartAfter)
	if err := s.start("i-1"); err != nil {
		f.note("the server doesn't start: %v", err)
		return false
	}
	time.Sleep(freezeTime - restartAfter - crashAfter)
	f.note("the gateway wakes")
	f.gateways[0].signal(syscall.SIGCONT)
	return true
}
