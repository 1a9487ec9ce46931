package cmd

import (
	"context"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/agent/server"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/pool"
	"github.com/egretreach/egretreach/internal/link/transport"
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/settings"
)

type agentCommand struct {
	Config string `help:"Path of the settings file, such as examples/agent.yaml." required:"" type:"existingfile"`
}

// Run runs an agent daemon until a signal ends it.
func (c agentCommand) Run() error {
	return runDaemon(c.Config, settings.LoadAgent, func(_ context.Context, s settings.Agent) daemon.Options {
		return daemon.Options{
			Name: "agent", Role: host.RoleAgent, Host: s.Host, Link: s.Link, Health: s.Health, Keys: s.Keys,
			Log: s.Log, Stop: s.Stop, Memory: s.Memory,
			Build: func(deps daemon.Dependencies) (daemon.Daemon, error) { return buildAgent(s, deps) },
		}
	})
}

func buildAgent(s settings.Agent, deps daemon.Dependencies) (daemon.Daemon, error) {
	opts, err := agentOptions(s, deps)
	if err != nil {
		return daemon.Daemon{}, err
	}
	agent := server.New(opts)
	return daemon.Daemon{
		Run: agent.Run,
		Ready: func() error {
			if !agent.Ready() {
				return errors.New("no lease, or the agent is stopping")
			}
			return nil
		},
		InFlight: func() int { return agent.InProgress() + deps.Socket.Unreceived() },
		Shutdown: func(ctx context.Context) int {
			err := agent.Shutdown(ctx)
			return agent.InProgress() + transport.UnreceivedAnswers(err)
		},
	}, nil
}

func agentOptions(s settings.Agent, deps daemon.Dependencies) (server.Options, error) {
	opts := server.Options{
		Info: host.Info{
			ID: s.Host.ID, FailureDomain: s.Host.FailureDomain, FabricDomain: s.Host.FabricDomain,
			Address: s.Link.Address.String(),
		},
		Services: map[string]string{}, Socket: deps.Socket, Pool: pool.New(deps.Socket),
		ControlAddresses: addresses(s.Control), CheckConfig: checkConfig, Logger: deps.Logger,
		Metrics: deps.Metrics,
	}
	for _, e := range s.Endpoints {
		announced := e.Announced()
		if announced.Kind == host.KindEngine {
			announced.Name = string(s.Host.ID)
			opts.EngineURL = e.URL.String()
			token, err := ordererToken(e.OrdererTokenFile)
			if err != nil {
				return server.Options{}, err
			}
			opts.OrdererToken = token
		} else {
			opts.Services[announced.Name] = e.URL.String()
		}
		opts.Info.Endpoints = append(opts.Info.Endpoints, announced)
	}
	return opts, nil
}

// ordererToken reads the token that the engine expects with orders, or returns "" if file is "".
func ordererToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	token, err := os.ReadFile(file)
	return strings.TrimSpace(string(token)), errors.Wrap(err, "read orderer token")
}

// checkConfig checks a fleet configuration that control has accepted.
func checkConfig(yaml []byte) error {
	_, err := config.Parse("accepted configuration", yaml)
	return err
}
