package settings

import (
	"fmt"

	"github.com/egretreach/egretreach/internal/fleet/document"
	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Agent holds the settings of an agent daemon.
type Agent struct {
	Host   Host   `yaml:"host"`
	Link   Link   `yaml:"link"`
	Health Health `yaml:"health"`
	Keys   Keys   `yaml:"keys"`
	// Control lists the link addresses of the control hosts.
	Control []Address `yaml:"control" validate:"min=1,max=7"`
	// Endpoints lists the endpoints that the agent announces: at most one engine and any number
	// of plain services.
	Endpoints []Endpoint `yaml:"endpoints" validate:"min=1,max=100,dive"`
	Memory    Memory     `yaml:"memory"`
	Log       Log        `yaml:"log"`
	Stop      Stop       `yaml:"stop"`
}

// Endpoint is a model engine or a plain service on the agent's host.
type Endpoint struct {
	Kind host.Kind `yaml:"kind" validate:"required,oneof=engine service"`
	// Name is the name of a service. It may be left out for an engine, whose name is the ID of
	// its host.
	Name string `yaml:"name" validate:"omitempty,hostname_rfc1123"`
	URL  URL    `yaml:"url" validate:"required"`
	// ChecksFence reports whether the endpoint itself refuses orders with an old fencing number.
	ChecksFence bool `yaml:"fences"`
	// ChecksOrderer reports whether the endpoint authenticates the sender of an order.
	ChecksOrderer bool `yaml:"checks_orderer"`
	// OrdererTokenFile is the file with the token that such an endpoint expects.
	OrdererTokenFile string `yaml:"orderer_token_file"`
	// Accelerators is the number of accelerators behind an engine.
	Accelerators int `yaml:"accelerators" validate:"min=0,max=1024"`
}

// Announced returns the endpoint in the form in which the agent announces it.
func (e Endpoint) Announced() host.Endpoint {
	return host.Endpoint{
		Name:          e.Name,
		Kind:          e.Kind,
		ChecksFence:   e.ChecksFence,
		ChecksOrderer: e.ChecksOrderer,
		Accelerators:  e.Accelerators,
	}
}

// DefaultAgent returns the settings that apply to keys that a file leaves out.
func DefaultAgent() Agent {
	stop := defaultStop()
	stop.ShutdownDelay = 0
	return Agent{Keys: defaultKeys(), Log: defaultLog(), Stop: stop}
}

// LoadAgent reads and checks the settings file of an agent.
func LoadAgent(file string) (Agent, error) {
	data, err := read(file)
	if err != nil {
		return Agent{}, err
	}
	return ParseAgent(file, data)
}

// ParseAgent reads and checks the settings of an agent. Relative paths are resolved
// against the folder of file.
func ParseAgent(file string, data []byte) (Agent, error) {
	s := DefaultAgent()
	err := parse(file, data, &s, func(doc *document.Document) {
		checkLink(doc, s.Link)
		checkControl(doc, s.Control)
		checkEndpoints(doc, s)
	})
	if err != nil {
		return Agent{}, err
	}
	s.Keys.Folder = resolvePath(file, s.Keys.Folder)
	for i := range s.Endpoints {
		s.Endpoints[i].OrdererTokenFile = resolvePath(file, s.Endpoints[i].OrdererTokenFile)
		if s.Endpoints[i].Kind == host.KindEngine {
			s.Endpoints[i].Name = string(s.Host.ID)
		}
	}
	s.Stop = s.Stop.withinGrace()
	return s, nil
}

func checkEndpoints(doc *document.Document, s Agent) {
	engines := 0
	names := map[string]bool{}
	for i, e := range s.Endpoints {
		key := fmt.Sprintf("endpoints[%d]", i)
		switch e.Kind {
		case host.KindEngine:
			engines++
			checkEngine(doc, key, s, e)
		case host.KindService:
			checkService(doc, key, e)
		}
		if e.Name != "" && names[e.Name] {
			doc.Report(key+".name", "is given twice")
		}
		names[e.Name] = true
		if engines > 1 {
			doc.Report(key+".kind", "is a second engine; a host has at most one")
		}
	}
}

func checkEngine(doc *document.Document, key string, s Agent, e Endpoint) {
	if e.Name != "" && e.Name != string(s.Host.ID) {
		doc.Report(key+".name", "must be left out or equal host.id; an engine has the name of its host")
	}
	if e.ChecksOrderer != (e.OrdererTokenFile != "") {
		doc.Report(key+".orderer_token_file", "must be set if and only if checks_orderer is true")
	}
	if e.Accelerators == 0 {
		doc.Report(key+".accelerators", "is missing")
	}
	if s.Host.FabricDomain == "" {
		doc.Report("host.fabric_domain", "is missing; it is required for a host with an engine")
	}
}

func checkService(doc *document.Document, key string, e Endpoint) {
	if e.Name == "" {
		doc.Report(key+".name", "is missing")
	}
	if e.Accelerators > 0 {
		doc.Report(key+".accelerators", "must be left out; a plain service has no accelerators")
	}
}
