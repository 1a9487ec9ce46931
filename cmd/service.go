package cmd

import "github.com/egretreach/egretreach/internal/standin/service"

type serviceCommand struct {
	Listen string `help:"IP address and port to listen on; port 0 takes a free one." default:"127.0.0.1:0"`
}

// Run serves a stand-in for a plain records service until a signal ends it.
func (c serviceCommand) Run() error {
	return serveStandin("service", c.Listen, service.New().Handler())
}
