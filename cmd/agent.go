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
	"github.com/egretreach/egretreach/internal/process/daemon"
	"github.com/egretreach/egretreach/internal/process/settings"
)

type agentCommand struct {
	Config string `help:"Settings file." required:"" type:"existingfile"`
}

// Run runs an agent daemon until a signal ends it.
func (c agentCommand) Run() error {
	return runDaemon(c.Config, settings.LoadAgent, func(_ context.Context, file settings.Agent) daemon.Options {
		return daemon.Options{
			Role: host.RoleAgent, Host: file.Host, Link: file.Link, Health: file.Health, Keys: file.Keys,
			Log: file.Log, Stop: file.Stop,
			Build: func(parts daemon.Dependencies) (daemon.Daemon, error) { return buildAgent(file, parts) },
		}
	})
}

func buildAgent(file settings.Agent, parts daemon.Dependencies) (daemon.Daemon, error) {
	opts, err := agentOptions(file, parts)
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
		Shutdown: func(ctx context.Context) { _ = agent.Shutdown(ctx) },
	}, nil
}

func agentOptions(file settings.Agent, parts daemon.Dependencies) (server.Options, error) {
	opts := server.Options{
		Info: host.Info{
			ID: file.Host.ID, FailureDomain: file.Host.FailureDomain, FabricDomain: file.Host.FabricDomain,
			Address: file.Link.Address.String(),
		},
		Services: map[string]string{}, Endpoint: parts.Socket, Pool: pool.New(parts.Socket),
		ControlAddresses: addresses(file.Control), CheckConfig: checkConfig, Logger: parts.Logger,
		Metrics: parts.Metrics,
	}
	for _, e := range file.Endpoints {
		announced := e.Announced()
		if announced.Kind == host.KindEngine {
			announced.Name = string(file.Host.ID)
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

func ordererToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	token, err := os.ReadFile(file)
	return strings.TrimSpace(string(token)), errors.Wrap(err, "orderer token")
}

func checkConfig(yaml []byte) error {
	_, err := config.Parse("accepted configuration", yaml)
	return err
}
