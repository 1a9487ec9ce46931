package cmd

import "github.com/egretreach/egretreach/internal/standin/service"

type serviceCommand struct {
	Listen string `help:"IP address and TCP port to listen on; port 0 selects a free one." default:"127.0.0.1:0"`
}

// Run serves a stand-in records service until a signal ends it.
func (c serviceCommand) Run() error {
	return serveStandIn("service", c.Listen, service.New().Handler())
}
