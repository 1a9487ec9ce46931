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
	standinHeaderTimeout = 5 * time.Second
	standinStopTimeout   = 10 * time.Second
)

type engineCommand struct {
	Listen        string        `help:"IP address and port to listen on; port 0 takes a free one." default:"127.0.0.1:0"`
	LoadTime      time.Duration `help:"How long loading a model takes." default:"2s"`
	TokenGap      time.Duration `help:"Time between tokens of a stream." default:"20ms"`
	PrefillRate   float64       `help:"Prompt tokens per second." default:"8000"`
	Capacity      int           `help:"Requests decoded at once." default:"32"`
	Fences        bool          `help:"Refuse orders with an old fencing number."`
	ChecksOrderer string        `help:"Take orders only with this token." placeholder:"TOKEN"`
	CrashMarker   string        `help:"Crash on a prompt with this text."`
	HangMarker    string        `help:"Never answer a prompt with this text."`
	RestartAfter  time.Duration `help:"Come back this long after a crash; 0 stays down." default:"5s"`
}

// Run serves a stand-in for a model engine until a signal ends it.
func (c engineCommand) Run() error {
	e := engine.New(engine.Options{
		LoadTime: c.LoadTime, TokenGap: c.TokenGap, PrefillRate: c.PrefillRate, Capacity: c.Capacity,
		Fences: c.Fences, OrdererToken: c.ChecksOrderer,
		CrashMarker: c.CrashMarker, HangMarker: c.HangMarker, RestartAfter: c.RestartAfter,
	})
	return serveStandin("engine", c.Listen, e.Handler())
}

// serveStandin serves handler at address until SIGINT or SIGTERM, and prints where.
func serveStandin(name, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, name)
	}
	fmt.Printf("%s listens on http://%s\n", name, listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		ending, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
		defer cancel()
		_ = server.Shutdown(ending)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, name)
	}
	<-stopped
	return nil
}
