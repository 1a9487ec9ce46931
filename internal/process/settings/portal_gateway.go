package settings

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
)

// Portal is the settings of a portal daemon.
type Portal struct {
	Host Host         `yaml:"host"`
	Link PlatformLink `yaml:"link"`
	// API is the address that endpoints and operators call.
	API    Address      `yaml:"api" validate:"required"`
	Health Health       `yaml:"health"`
	Keys   OptionalKeys `yaml:"keys"`
	// Seeds are the API addresses of some portals. Their links are at the same IP numbers
	// and at the port of this host's link.
	Seeds []Address `yaml:"seeds" validate:"min=1,max=9"`
	// FirstStart says that the whole system starts for the first time, with empty disks.
	FirstStart bool `yaml:"first_start"`
	// DataFolder holds the replicated log. It must be on a disk of the host.
	DataFolder string `yaml:"data_folder" validate:"required"`
	// Heartbeat is the time between two announcements of an endpoint.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=50ms,max=1m"`
	Log       Log           `yaml:"log"`
	Stop      Stop          `yaml:"stop"`
}

// Gateway is the settings of a gateway daemon.
type Gateway struct {
	Host Host         `yaml:"host"`
	Link PlatformLink `yaml:"link"`
	// API is the address that callers reach.
	API    Address `yaml:"api" validate:"required"`
	Health Health  `yaml:"health"`
	// Metrics is a second listener for the pages of Health.
	Metrics Health       `yaml:"metrics"`
	Keys    OptionalKeys `yaml:"keys"`
	// Seeds are the API addresses of some portals. Their links are at the same IP numbers
	// and at the port of this host's link.
	Seeds   []Address   `yaml:"seeds" validate:"min=1,max=9"`
	Retries RetryLimits `yaml:"repeats"`
	// WhenCutOff says what a gateway does that no control host has told anything for
	// CutOffAfter: serve by the configuration that it has, or refuse.
	WhenCutOff  string        `yaml:"when_cut_off" validate:"oneof=serve refuse"`
	CutOffAfter time.Duration `yaml:"cut_off_after" validate:"min=1s,max=1h"`
	Log         Log           `yaml:"log"`
	Stop        Stop          `yaml:"stop"`
}

// PlatformLink is a Link whose network may be private.
type PlatformLink struct {
	// Address is the IP address and UDP port that the other processes reach.
	Address Address `yaml:"address" validate:"required"`
	// Offload lets the socket use UDP segmentation offload and ECN.
	Offload bool `yaml:"offload"`
	// PrivateNetwork says that no keys are provided and every process that can reach the
	// link is trusted.
	PrivateNetwork bool `yaml:"private_network"`
}

// Link returns the part that all daemons have.
func (l PlatformLink) Link() Link { return Link{Address: l.Address, Offload: l.Offload} }

// OptionalKeys are Keys that a private network does without.
type OptionalKeys struct {
	Folder        string        `yaml:"folder"`
	CheckInterval time.Duration `yaml:"check_every" validate:"min=1s,max=24h"`
}

// RetryLimits bound what all gateways together send a second time to one service.
type RetryLimits struct {
	// Ratio is the repeats for each request.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=10"`
	// Burst is the number beyond that in Window.
	Burst  float64       `yaml:"slack" validate:"min=0,max=1000000"`
	Window time.Duration `yaml:"window" validate:"min=100ms,max=1h"`
}

// The values of Gateway.WhenCutOff.
const (
	WhenCutOffRefuse = "refuse"
	WhenCutOffServe  = "serve"
)

const (
	defaultHeartbeat   = time.Second
	defaultCutOffAfter = 10 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryBurst  = 20
	defaultRetryWindow = 10 * time.Second
)

// DefaultPortal is in force where a file says nothing.
func DefaultPortal() Portal {
	stop := defaultStop()
	stop.ShutdownDelay = 0
	return Portal{Keys: OptionalKeys(defaultKeys()), Log: defaultLog(), Stop: stop, Heartbeat: defaultHeartbeat}
}

// DefaultGateway is in force where a file says nothing.
func DefaultGateway() Gateway {
	return Gateway{
		Keys: OptionalKeys(defaultKeys()), Log: defaultLog(), Stop: defaultStop(),
		Retries:    RetryLimits{Ratio: defaultRetryRatio, Burst: defaultRetryBurst, Window: defaultRetryWindow},
		WhenCutOff: WhenCutOffServe, CutOffAfter: defaultCutOffAfter,
	}
}

// LoadPortal reads and checks the settings file of a portal.
func LoadPortal(file string) (Portal, error) {
	data, err := read(file)
	if err != nil {
		return Portal{}, err
	}
	return ParsePortal(file, data)
}

// ParsePortal reads and checks the settings of a portal. Relative paths start at the
// folder of file.
func ParsePortal(file string, data []byte) (Portal, error) {
	s := DefaultPortal()
	err := parse(file, data, &s, func(doc *document.Document) {
		checkLink(doc, s.Link.Link())
		checkKeys(doc, s.Link, s.Keys)
	})
	if err != nil {
		return Portal{}, err
	}
	s.Keys.Folder = resolvePath(file, s.Keys.Folder)
	s.DataFolder = resolvePath(file, s.DataFolder)
	return s, nil
}

// LoadGateway reads and checks the settings file of a gateway.
func LoadGateway(file string) (Gateway, error) {
	data, err := read(file)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(file, data)
}

// ParseGateway reads and checks the settings of a gateway. Relative paths start at the
// folder of file.
func ParseGateway(file string, data []byte) (Gateway, error) {
	s := DefaultGateway()
	err := parse(file, data, &s, func(doc *document.Document) {
		checkLink(doc, s.Link.Link())
		checkKeys(doc, s.Link, s.Keys)
	})
	if err != nil {
		return Gateway{}, err
	}
	s.Keys.Folder = resolvePath(file, s.Keys.Folder)
	return s, nil
}

// LinkAddresses returns the link addresses of hosts whose API addresses are given: the
// same IP numbers at the port of this host's link.
func (l PlatformLink) LinkAddresses(apis []Address) []string {
	links := make([]string, 0, len(apis))
	for _, a := range apis {
		links = append(links, a.withPortOf(l.Address).String())
	}
	return links
}

// checkKeys asks for keys unless the network is private.
func checkKeys(doc *document.Document, link PlatformLink, keys OptionalKeys) {
	if keys.Folder == "" && !link.PrivateNetwork {
		doc.Report("keys.folder", "is needed unless link.private_network is true")
	}
}
