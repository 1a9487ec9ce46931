package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	modelName = "daka510000"
	modelSize = 3
	// warmTime is warm_s, loadTime a tenth of load_s as before the first request, and formTime form_ms.
	warmTime, loadTime, formTime = 1100 * time.Millisecond, 1200 * time.Millisecond, 300 * time.Millisecond
	joinTime                     = 200 * time.Millisecond
	modelServers                 = 5
	// watchTime is how long the joins are watched after the heartbeat of the other writer.
	watchTime = 15 * time.Second
)

// fabric is a set of model servers that knows the state of each of them.
type fabric struct {
	f       *fleet
	mu      sync.Mutex
	servers map[string]*modelServer
	broken  int
}

// group is a server's membership.
type group struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`

	members []string
	model   string
}

// modelServer is a sound model server. All but the fixed fields are guarded by fabric.mu.
type modelServer struct {
	fabric      *fabric
	id, address string
	born        int64
	changed     chan struct{}

	sequence  int64
	orders    int64
	highest   int64
	group     *group
	lastModel string
	staged    []string
}

func (b *fabric) start(id string, n int) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", b.f.ip(n)+":0")
	if err != nil {
		return err
	}
	s := &modelServer{fabric: b, id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), changed: make(chan struct{}, 1)}
	b.servers[id] = s
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}).Serve(listener) }()
	return nil
}

// state returns what a server says of itself; mu is held.
func (s *modelServer) state() map[string]any {
	m := map[string]any{"stage": "unified", "models": []any{}, "domain": "d0", "staged": s.staged, "born": s.born}
	if s.group != nil {
		g := *s.group
		m["group"] = g
		m["models"] = []any{map[string]any{"name": g.model, "version": 1, "adapters": []string{}}}
	}
	return m
}

// announce sends heartbeats until ctx ends, at once after a change.
func (s *modelServer) announce(ctx context.Context) {
	for portal := 0; ctx.Err() == nil; {
		s.fabric.mu.Lock()
		body := s.state()
		s.sequence++
		body["sequence"] = s.sequence
		s.fabric.mu.Unlock()
		for name, value := range map[string]any{
			"service": "huvo11a", "address": s.address, "zone": "a", "version": "v1", "slots": 48, "state": "ready", "cold_ms": 0,
		} {
			body[name] = value
		}
		if !s.fabric.f.beat(portal, s.id, body) {
			portal++
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case <-s.changed:
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// beat sends a heartbeat to a portal and reports whether it is acknowledged.
func (f *fleet) beat(portal int, id string, body map[string]any) bool {
	return call(http.MethodPut, f.portalAddress(portal%len(f.portals)), "/instances/"+id, body, time.Second) == http.StatusOK
}

// notify lets a change be announced at once.
func (s *modelServer) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// ServeHTTP implements http.Handler.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		s.fabric.mu.Lock()
		m := s.state()
		m["busy"], m["sequence"], m["waiting"], m["running"], m["kv_used"], m["kv_total"], m["handles"] = false, s.orders, 0, 0, 0, 2470000, 0
		s.fabric.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m)
	case "/order":
		w.WriteHeader(s.order(r))
	default:
		w.Header().Set("X-Instance-Id", s.id)
	}
}

// order is the body of an order.
type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     int64    `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
}

func (s *modelServer) order(r *http.Request) int {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		return http.StatusBadRequest
	}
	s.fabric.mu.Lock()
	defer s.fabric.mu.Unlock()
	status := s.carryOut(o)
	s.fabric.f.note("%s gets the order %+v: %d", s.id, o, status)
	if status == http.StatusAccepted {
		s.orders++
		s.notify()
	}
	return status
}

// carryOut carries out an order; mu is held.
func (s *modelServer) carryOut(o order) int {
	switch o.Operation {
	case "stage":
		if slices.Contains(s.staged, o.Model) {
			return http.StatusOK
		}
		time.AfterFunc(loadTime, func() { s.update(func() { s.staged = []string{o.Model} }) })
		return http.StatusAccepted
	case "join":
		return s.join(o)
	}
	if s.group == nil || s.group.Name != o.Group || s.group.Epoch != o.Epoch {
		return http.StatusConflict
	}
	g := s.group
	switch o.Operation {
	case "open":
		if g.State == "open" {
			return http.StatusOK
		}
		if g.State != "ready" || g.Rank != 0 {
			return http.StatusConflict
		}
		time.AfterFunc(formTime, func() { s.setState(g, "ready", "open") })
	case "close":
		if g.State != "open" {
			return http.StatusOK
		}
		g.State = "ready" // There are no requests to wait for.
	case "leave":
		s.group = nil
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// join carries out a join, and checks the rule TWO; mu is held.
func (s *modelServer) join(o order) int {
	if g := s.group; g != nil && g.Name == o.Group && g.Epoch == o.Epoch && slices.Equal(g.members, o.Members) {
		return http.StatusOK
	}
	if o.Epoch < s.highest || !slices.Contains(o.Members, s.id) {
		return http.StatusPreconditionFailed
	}
	s.fabric.check(s, o)
	after := loadTime
	switch {
	case s.lastModel == o.Model:
		after = joinTime
	case slices.Contains(s.staged, o.Model):
		after = warmTime
	}
	g := &group{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, s.id), State: "joining", members: o.Members, model: o.Model}
	s.highest, s.group, s.lastModel = o.Epoch, g, o.Model
	time.AfterFunc(after, func() {
		s.update(func() { s.staged = []string{o.Model} })
		s.setState(g, "joining", "ready")
	})
	return http.StatusAccepted
}

// update changes the state of a server.
func (s *modelServer) update(change func()) {
	s.fabric.mu.Lock()
	change()
	s.fabric.mu.Unlock()
	s.notify()
}

// setState changes the state of a membership that is still the server's.
func (s *modelServer) setState(g *group, from, to string) {
	s.update(func() {
		if s.group == g && g.State == from {
			g.State = to
			s.fabric.f.note("%s is %s in %s (epoch %d, rank %d)", s.id, to, g.Name, g.Epoch, g.Rank)
		}
	})
}

// check checks a join that a server takes: the head of its present group must not be open or closing. mu is held.
func (b *fabric) check(s *modelServer, o order) {
	old := s.group
	if old == nil || old.Name == o.Group {
		return
	}
	head := b.servers[old.members[0]]
	if g := head.group; g != nil && g.Name == old.Name && g.Epoch == old.Epoch && (g.State == "open" || g.State == "closing") {
		b.broken++
		b.f.note("BROKEN: %s takes a join of %s while %s, the head of its group %s, is %s", s.id, o.Group, head.id, old.Name, g.State)
	}
}

// openHead returns the head of a group that is open, or nil.
func (b *fabric) openHead() *modelServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		if s.group != nil && s.group.State == "open" && len(s.group.members) == modelSize {
			return s
		}
	}
	return nil
}

// groupCase lets another writer send a heartbeat with fields missing for the head of a group that serves.
func groupCase(f *fleet, trouble bool) int {
	if f.startAll(1) != nil || !f.put(engineDocument(1)) {
		return exitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := &fabric{f: f, servers: map[string]*modelServer{}}
	for i := range modelServers {
		id := fmt.Sprintf("i-%d", i+1)
		if b.start(id, 200+i) != nil {
			return exitNotRun
		}
		go b.servers[id].announce(ctx)
	}
	var head *modelServer
	for end := time.Now().Add(30 * time.Second); head == nil && time.Now().Before(end); head = b.openHead() {
		time.Sleep(100 * time.Millisecond)
	}
	if head == nil {
		f.note("no group is open after 30 s")
		return exitNotRun
	}
	time.Sleep(4 * time.Second)
	if trouble {
		b.mu.Lock()
		body := map[string]any{"service": "huvo11a", "address": head.address, "slots": 48, "state": "ready", "stage": "unified", "sequence": head.sequence + 1, "born": head.born}
		b.mu.Unlock()
		f.note("another writer sends a heartbeat for %s without zone, version, cold_ms, models, domain, staged and group: %v", head.id, body)
		for i := range f.portals {
			f.note("acknowledged by portal %d: %v", i+1, f.beat(i, head.id, body))
		}
	}
	time.Sleep(watchTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.broken > 0 {
		return exitBroken
	}
	f.note("held: no server took a join while the head of its group was open")
	return exitHeld
}
