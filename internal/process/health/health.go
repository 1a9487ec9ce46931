// Package health serves a daemon's pages /metrics, /healthz and /readyz over HTTP.
package health

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/telemetry/metric"
)

const (
	headerTimeout  = 2 * time.Second
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 8 << 10
	// maxConnections bounds the open connections. They don't count towards those of the daemon's other callers, which therefore can't keep
	// a probe away.
	maxConnections = 32
	// closeTimeout bounds the wait for responses at the end. It is shorter than the time that a planned
	// stop leaves between its end and SIGKILL.
	closeTimeout = 200 * time.Millisecond
)

// Server serves the pages of one daemon. The zero value has no metrics and is always ready.
type Server struct {
	Metrics *metric.Registry
	// Ready returns the reason why the daemon accepts no new work, or nil. A nil Ready means that
	// the daemon is always ready.
	Ready func() error
	// Callers bounds the memory that callers of all listeners take. nil is a budget with the defaults.
	Callers *httpserver.Budget
	// Pages are the daemon's further pages, by the patterns of http.ServeMux.
	Pages map[string]http.Handler
}

// Handler returns the handler of all pages. /healthz always succeeds: a daemon that answers
// is healthy.
func (s Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "healthy") })
	mux.HandleFunc("GET /readyz", s.ready)
	for pattern, page := range s.Pages {
		mux.Handle(pattern, page)
	}
	return mux
}

func (s Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", metric.ContentType)
	_, _ = s.Metrics.WriteTo(w)
}

func (s Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready != nil {
		if err := s.Ready(); err != nil {
			http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	fmt.Fprintln(w, "ready")
}

// Serve serves on listener until ctx ends, and closes it.
func (s Server) Serve(ctx context.Context, listener net.Listener) error {
	handler := s.Handler()
	server := httpserver.New(&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}, handler, httpserver.CallerLimits{Budget: s.Callers, Connections: maxConnections, Reserved: true})
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if server.Stop(closeCtx) != nil {
			_ = server.Close()
		}
	})
	err := server.Serve(listener)
	if err == nil {
		<-stopped
		return nil
	}
	stop()
	return errors.Wrap(err, "health server")
}
