package rig

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that a server ran.
type Run struct {
	ID, Service, Server, Path string
	At                        time.Time
}

// Runs are the requests that all servers ran.
type Runs struct {
	mu  sync.Mutex
	all []Run
}

// Add adds a run.
func (r *Runs) Add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run)
}

// Of returns the runs of a request.
func (r *Runs) Of(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var of []Run
	for _, run := range r.all {
		if run.ID == id {
			of = append(of, run)
		}
	}
	return of
}

// All returns all runs.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.all...)
}

// Server is a stand-in for a plain server.
type Server struct {
	ID, Service, Zone, Address string
	Slots                      int
	Work                       time.Duration
	Runs                       *Runs
	// Portal is the portal that gets its heartbeats first, or nil for any.
	Portal *Process
	// Before is called with the connection once a request has been read, and After once its response has been written.
	Before, After func(c net.Conn, request *http.Request)

	rig      *Rig
	born     int64
	sequence atomic.Int64
	listener net.Listener
	silent   atomic.Bool
	// running ends with the server.
	running context.Context
	end     context.CancelFunc
}

// NewServer starts a server on an address of its own.
func (r *Rig) NewServer(id, service string, runs *Runs) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(r.Context, "tcp", r.NewIP()+":8120")
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, Service: service, Zone: "a", Address: listener.Addr().String(), Slots: 6, Work: 20 * time.Millisecond, Runs: runs,
		rig: r, born: time.Now().UnixMilli(), listener: listener,
	}
	s.running, s.end = context.WithCancel(r.Context)
	return s, nil
}

// Serve serves requests and sends heartbeats until the case ends.
func (s *Server) Serve() {
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c)
		}
	}()
	go s.beat()
}

// Close ends the server: it stops listening and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.end()
}

// StopBeats ends the heartbeats.
func (s *Server) StopBeats() { s.silent.Store(true) }

// BeatBody returns the body of the next heartbeat.
func (s *Server) BeatBody(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_ms":0,"born":%d,"sequence":%d}`,
		s.Service, s.Address, s.Zone, s.Slots, state, s.born, s.sequence.Add(1))
}

// SignOffBody returns the body of the server's sign-off.
func (s *Server) SignOffBody() string {
	return fmt.Sprintf(`{"born":%d,"sequence":%d}`, s.born, s.sequence.Add(1))
}

// beat sends a heartbeat every HeartbeatInterval, to the next portal if one does not acknowledge it.
func (s *Server) beat() {
	portal := max(0, slices.Index(s.rig.Portals, s.Portal))
	for s.rig.Context.Err() == nil && !s.silent.Load() {
		for range s.rig.Portals {
			if s.rig.Beat(http.MethodPut, s.rig.Portals[portal], "/instances/"+s.ID, s.BeatBody("ready")) == http.StatusOK {
				break
			}
			portal = (portal + 1) % len(s.rig.Portals)
		}
		select {
		case <-s.rig.Context.Done():
		case <-time.After(HeartbeatInterval):
		}
	}
}

func (s *Server) serveConn(c net.Conn) {
	defer c.Close() //nolint:errcheck // Nothing depends on it.
	stop := context.AfterFunc(s.running, func() { _ = c.Close() })
	defer stop()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if s.Before != nil {
			s.Before(c, request)
		}
		if _, err := c.Write(s.answer(request)); err != nil {
			return
		}
		if s.After != nil {
			s.After(c, request)
		}
	}
}

func (s *Server) answer(request *http.Request) []byte {
	id := request.Header.Get("X-Request-Id")
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		return Response(http.StatusMisdirectedRequest, id, "", "X-Not-Executed: 1\r\n", "")
	}
	if request.URL.Path == "/healthz" || request.URL.Path == "/report" {
		return Response(http.StatusOK, id, "", "X-Instance-Id: "+s.ID+"\r\n", "ok")
	}
	s.Runs.Add(Run{ID: id, Service: s.Service, Server: s.ID, Path: request.URL.Path, At: time.Now()})
	s.rig.Record.Logf("server %s (%s) runs %s %s %s", s.ID, s.Service, id, request.Method, request.URL.Path)
	time.Sleep(s.Work)
	return Response(http.StatusOK, id, s.ID, "", "answer to "+id+"\n")
}

// Response returns the bytes of a response. signature may be empty.
func Response(status int, id, signature, header, body string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n", status, http.StatusText(status), id)
	if signature != "" {
		fmt.Fprintf(&out, "X-Response-Signature: %s\r\n", signature)
	}
	fmt.Fprintf(&out, "%sKeep-Alive: timeout=15\r\nContent-Length: %d\r\n\r\n%s", header, len(body), body)
	return out.Bytes()
}
