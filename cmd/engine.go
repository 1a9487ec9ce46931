package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/standin/engine"
)

const (
	standInHeaderTimeout = 5 * time.Second
	standInStopTimeout   = 10 * time.Second
)

type engineCommand struct {
	Listen        string        `help:"IP address and TCP port to listen on; port 0 selects a free one." default:"127.0.0.1:0"`
	LoadTime      time.Duration `help:"How long loading a model takes." default:"2s"`
	TokenGap      time.Duration `help:"Time between two tokens of a stream." default:"20ms"`
	PrefillRate   float64       `help:"Prompt tokens processed per second." default:"8000"`
	Capacity      int           `help:"Number of requests decoded at the same time." default:"32"`
	Fences        bool          `help:"Refuse orders with an old fencing number."`
	ChecksOrderer string        `help:"Accept orders only with this token. By default, any order is accepted." placeholder:"TOKEN"`
	CrashMarker   string        `help:"Crash when a prompt contains this text."`
	HangMarker    string        `help:"Never answer a prompt that contains this text."`
	RestartAfter  time.Duration `help:"Time between a crash and the restart; 0 means no restart." default:"5s"`
}

// Run serves a stand-in model engine until a signal ends it.
func (c engineCommand) Run() error {
	e := engine.New(engine.Options{
		LoadTime: c.LoadTime, TokenGap: c.TokenGap, PrefillRate: c.PrefillRate, Capacity: c.Capacity,
		Fences: c.Fences, OrdererToken: c.ChecksOrderer,
		CrashMarker: c.CrashMarker, HangMarker: c.HangMarker, RestartAfter: c.RestartAfter,
	})
	return serveStandIn("engine", c.Listen, e.Handler())
}

// serveStandIn serves the handler of a stand-in at address until SIGINT or SIGTERM. It prints the
// address, since a free port may have been selected.
func serveStandIn(name, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, name)
	}
	fmt.Printf("%s listens on http://%s\n", name, listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standInHeaderTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), standInStopTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, name)
	}
	<-stopped
	return nil
}
