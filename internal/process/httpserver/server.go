// Package httpserver provides an HTTP/1.1 server whose planned stop answers or refuses every request
// that it has read.
package httpserver

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/egretreach/egretreach/internal/process/inflight"
)

// Server is an http.Server with a planned stop. Create it with New.
type Server struct {
	server   *http.Server
	requests inflight.Requests
	conns    connections
	// lingering has the connections that callers still read from after the last response.
	lingering *lingering
	// maxKept is the number of open connections above which none is kept after a response.
	maxKept  int
	limits   CallerLimits
	stopping atomic.Bool
	// listener is nil before Serve.
	listener atomic.Pointer[net.Listener]
	// accepted is closed once Serve accepts no more connections.
	accepted chan struct{}
	drain    queueDrain
}

// CallerLimits bound what the callers of a server may take. The zero value has the defaults.
type CallerLimits struct {
	// Budget is shared by the servers of a process. nil is a budget with the defaults.
	Budget *Budget
	// Connections bounds the open connections. 0 is DefaultCallerConnections.
	Connections int
	// Reserved says that the callers of other servers don't keep ordinary connections away by the memory that they hold, as for probes. It
	// needs a low limit on connections.
	Reserved bool
	// OwnBodies says that the handler bounds the bodies of requests by itself.
	OwnBodies bool
}

// withDefaults returns the limits with the defaults in place of zero values.
func (l CallerLimits) withDefaults() CallerLimits {
	if l.Budget == nil {
		l.Budget = NewBudget(BudgetOptions{})
	}
	if l.Connections == 0 {
		l.Connections = DefaultCallerConnections()
	}
	return l
}

// reservedDescriptors are for the links, the log and the listeners of the process.
const reservedDescriptors = 64

// DefaultCallerConnections returns how many connections callers may have by default: for each of them the process can open one to an
// endpoint, and the reserved descriptors are left.
func DefaultCallerConnections() int {
	return max(maxKeptConnections()-reservedDescriptors, reservedDescriptors)
}

// New returns a server with the settings of server, which serves requests by the handler of server
// and, once Stop has been called, by refuse. It changes server, which must not be used otherwise, and sets
// its ConnState and ConnContext. limits may be omitted.
func New(server *http.Server, refuse http.Handler, limits ...CallerLimits) *Server {
	s := &Server{server: server, maxKept: maxKeptConnections(), lingering: newLingering(), accepted: make(chan struct{})}
	for _, l := range limits {
		s.limits = l
	}
	s.limits = s.limits.withDefaults()
	serve := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(serve, refuse, w, r) })
	server.DisableGeneralOptionsHandler = true // All requests are counted and refused alike.
	server.ConnState = s.conns.changed
	server.ConnContext = withConn
	return s
}

// handle serves a request by serve, or by refuse once Stop has been called.
func (s *Server) handle(serve, refuse http.Handler, w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*limitedConn); ok {
		c.headerRead(len(r.TransferEncoding) > 0)
	}
	whole := false
	defer func() {
		if !whole && !r.ProtoAtLeast(1, 1) {
			breakOff(r.Context())
		}
	}()
	accepted := s.requests.Begin()
	defer s.requests.End()
	closing := &closingWriter{ResponseWriter: w, server: s}
	if accepted {
		s.serveAccepted(serve, closing, r)
	} else {
		refuse.ServeHTTP(closing, r)
	}
	closing.begin() // net/http sends the header now if the handler has not.
	whole = true
}

// serveAccepted serves a request, and bounds what its caller takes.
func (s *Server) serveAccepted(serve http.Handler, w http.ResponseWriter, r *http.Request) {
	if s.openCount() > s.maxKept {
		w.Header().Set("Connection", "close")
	}
	if !s.limits.OwnBodies && r.ContentLength != 0 {
		body := &countedBody{ReadCloser: r.Body, budget: s.limits.Budget}
		defer body.release()
		r.Body = body
	}
	withCaller(serve, w, r)
}

// keptShare is the share, one in so many, of the process's descriptors that the kept connections of callers may take. The rest is for
// connections that are in use, and for those to others.
const keptShare = 2

// maxKeptConnections returns the default of Server.maxKept.
func maxKeptConnections() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur/keptShare, math.MaxInt)) //nolint:gosec // At most MaxInt.
}

// Serve serves the connections of listener until Stop or Close is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.listener.Store(&listener)
	defer close(s.accepted)
	err := s.server.Serve(limitedListener{listener, s})
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

const (
	// idleExpiry is how long an idle connection stays open in a planned stop unless a request arrives.
	idleExpiry = 100 * time.Millisecond
	// maxIdleWait is when it is closed at the latest: a busy process may take long to read a request that has arrived.
	maxIdleWait = 2 * time.Second
	// acceptTime is how long connections are still accepted, for requests that callers have sent before they could know of the stop.
	acceptTime = 100 * time.Millisecond
)

// Stop refuses requests, closes connections once they are idle, and accepts no more of them after acceptTime. It returns nil
// once callers have received all responses and all connections are closed, or the error of ctx if it ends first. It
// uses neither the Shutdown nor the SetKeepAlivesEnabled of net/http, which drop requests that have arrived.
func (s *Server) Stop(ctx context.Context) error {
	accepted := s.stopAccepting()
	s.requests.Refuse()
	s.conns.end(idleExpiry)
	for {
		if !awaitIdle(ctx, s.conns.whenIdle()) || !awaitIdle(ctx, s.lingering.conns.WhenIdle()) || !awaitIdle(ctx, accepted) {
			return ctx.Err()
		}
		if s.conns.expireUnused() {
			continue
		}
		if s.conns.count.Count() == 0 { // A request may have been read while a slow caller was waited for.
			return s.Close()
		}
	}
}

// awaitIdle waits until idle is closed or ctx ends. It reports whether idle is closed, also if ctx has ended before.
func awaitIdle(ctx context.Context, idle <-chan struct{}) bool {
	select {
	case <-idle:
		return true
	case <-ctx.Done():
	}
	select {
	case <-idle:
		return true
	default:
		return false
	}
}

// Stopping reports whether Stop has been called. A handler that reads a long body asks it afterwards,
// since Stop refuses only requests whose header arrives later.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Close closes all connections at once.
func (s *Server) Close() error {
	s.lingering.cancel()
	err := s.server.Close()
	<-s.lingering.conns.WhenIdle()
	return err
}

// openCount returns the number of open connections.
func (s *Server) openCount() int { return s.conns.openCount() + s.lingering.conns.Count() }

// Unanswered returns the number of requests being served.
func (s *Server) Unanswered() int { return s.requests.Count() }

// InFlight returns the number of requests being served, and of responses that callers have not received.
func (s *Server) InFlight() int { return s.requests.Count() + s.lingering.unreceived.Count() }

// WhenIdle returns a channel that is closed once no request is being served.
func (s *Server) WhenIdle() <-chan struct{} { return s.requests.WhenIdle() }
