package settings

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
)

// Portal holds the settings of a portal daemon.
type Portal struct {
	Host Host         `yaml:"host"`
	Link PlatformLink `yaml:"link"`
	// API is the IP address and TCP port at which endpoints and operators call the portal.
	API    Address      `yaml:"api" validate:"required"`
	Health Health       `yaml:"health"`
	Keys   OptionalKeys `yaml:"keys"`
	// Seeds lists the API addresses of some portals, through which the others are found. Their links
	// have the same IP addresses and the port of this host's link.
	Seeds []Address `yaml:"seeds" validate:"min=1,max=9"`
	// FirstStart reports that the whole system starts for the first time, with empty disks.
	FirstStart bool `yaml:"first_start"`
	// DataFolder is the folder of the replicated log. It must be on a local disk of the host.
	DataFolder string `yaml:"data_folder" validate:"required"`
	// Heartbeat is the interval at which endpoints announce themselves.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"min=50ms,max=1m"`
	// CallerConnections bounds the open connections of all callers. 0 is the default, which depends on the descriptors of the process.
	CallerConnections int    `yaml:"caller_connections" validate:"min=0,max=1000000"`
	Memory            Memory `yaml:"memory"`
	Log               Log    `yaml:"log"`
	Stop              Stop   `yaml:"stop"`
}

// Gateway holds the settings of a gateway daemon.
type Gateway struct {
	Host Host         `yaml:"host"`
	Link PlatformLink `yaml:"link"`
	// API is the IP address and TCP port that callers use.
	API    Address `yaml:"api" validate:"required"`
	Health Health  `yaml:"health"`
	// Metrics is a second listener for the pages of Health. An empty address disables it.
	Metrics Health       `yaml:"metrics"`
	Keys    OptionalKeys `yaml:"keys"`
	// Seeds lists the API addresses of some portals, through which the others are found. Their links
	// have the same IP addresses and the port of this host's link.
	Seeds   []Address   `yaml:"seeds" validate:"min=1,max=9"`
	Retries RetryLimits `yaml:"repeats"`
	// Hedging says when a slow request is sent to a second endpoint.
	Hedging Hedging `yaml:"hedging"`
	// WhenCutOff selects what the gateway does with requests after it has received no update
	// from a control host for CutOffAfter: serve them by the last configuration, or refuse them.
	WhenCutOff  string        `yaml:"when_cut_off" validate:"oneof=serve refuse"`
	CutOffAfter time.Duration `yaml:"cut_off_after" validate:"min=1s,max=1h"`
	// InForceWithin is how soon an acknowledged configuration must be in force. The gateway refuses requests while
	// its configuration may be older and a portal can be reached.
	InForceWithin time.Duration `yaml:"in_force_within" validate:"min=10ms,max=1h"`
	// BodyMemory bounds the bodies of requests that the gateway holds at once.
	BodyMemory document.Size `yaml:"body_memory" validate:"min=1048576,max=1099511627776"`
	// Regions maps failure domains to the regions that they are in. Endpoints in other domains get no request whose route or team names
	// regions.
	Regions map[string]string `yaml:"regions"`
	// RankedQueue lets requests for services whose routes differ in priority wait by rank and team, and spreads the returns of refused callers.
	RankedQueue bool `yaml:"ranked_queue"`
	// ServeLate says that late responses are worth as much to callers as those in time. It counts with RankedQueue only.
	ServeLate bool    `yaml:"serve_late"`
	Explain   Explain `yaml:"explain"`
	// CallerConnections bounds the open connections of all callers. 0 is the default, which depends on the descriptors of the process.
	CallerConnections int    `yaml:"caller_connections" validate:"min=0,max=1000000"`
	Memory            Memory `yaml:"memory"`
	Log               Log    `yaml:"log"`
	Stop              Stop   `yaml:"stop"`
}

// Explain holds the settings of the page that tells operators where a request would go.
type Explain struct {
	// Token is what operators must send to get the page. An empty token disables it.
	Token string `yaml:"token" validate:"max=256"`
}

// minExplainToken is the least length of Explain.Token, which is all that keeps others from the page.
const minExplainToken = 16

// PlatformLink is the Link of a portal or gateway, whose network may be private.
type PlatformLink struct {
	// Address is the IP address and UDP port at which other processes reach this one.
	Address Address `yaml:"address" validate:"required"`
	// Offload enables UDP segmentation offload and ECN, which some kernels and networks lack.
	Offload bool `yaml:"offload"`
	// PrivateNetwork reports that no keys are provided and that every process that can reach the
	// link is trusted.
	PrivateNetwork bool `yaml:"private_network"`
}

// Link returns the settings that the links of all daemons have.
func (l PlatformLink) Link() Link { return Link{Address: l.Address, Offload: l.Offload} }

// OptionalKeys are Keys whose folder may be empty on a private network.
type OptionalKeys struct {
	Folder        string        `yaml:"folder"`
	CheckInterval time.Duration `yaml:"check_every" validate:"min=1s,max=24h"`
}

// RetryLimits bound the retries that all gateways together send to one service.
type RetryLimits struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=10"`
	// Burst is the number of further retries allowed in each Window.
	Burst  float64       `yaml:"slack" validate:"min=0,max=1000000"`
	Window time.Duration `yaml:"window" validate:"min=100ms,max=1h"`
}

// Hedging bounds the second attempts for slow requests.
type Hedging struct {
	// Share is the number of extra requests for each request, summed over all gateways. 0 is off.
	Share float64 `yaml:"share" validate:"min=0,max=1"`
	// Quantile is the part of the response times at an endpoint after which a request there is slow.
	Quantile float64 `yaml:"quantile" validate:"min=0.5,max=0.999"`
}

// Values of Gateway.WhenCutOff.
const (
	WhenCutOffRefuse = "refuse"
	WhenCutOffServe  = "serve"
)

const (
	defaultHeartbeat   = time.Second
	defaultCutOffAfter = 10 * time.Second
	defaultInForce     = 2 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryBurst  = 20
	defaultRetryWindow = 10 * time.Second
	defaultBodyMemory  = 32 << 20

	defaultHedgeQuantile = 0.95
)

// DefaultPortal returns the settings that apply to keys that a file leaves out.
func DefaultPortal() Portal {
	stop := defaultStop()
	stop.ShutdownDelay = 0
	return Portal{Keys: OptionalKeys(defaultKeys()), Log: defaultLog(), Stop: stop, Heartbeat: defaultHeartbeat}
}

// DefaultGateway returns the settings that apply to keys that a file leaves out.
func DefaultGateway() Gateway {
	return Gateway{
		Keys: OptionalKeys(defaultKeys()), Log: defaultLog(), Stop: defaultStop(),
		Retries:    RetryLimits{Ratio: defaultRetryRatio, Burst: defaultRetryBurst, Window: defaultRetryWindow},
		Hedging:    Hedging{Quantile: defaultHedgeQuantile},
		WhenCutOff: WhenCutOffServe, CutOffAfter: defaultCutOffAfter,
		InForceWithin: defaultInForce, BodyMemory: defaultBodyMemory,
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

// ParsePortal reads and checks the settings of a portal. Relative paths are resolved
// against the folder of file.
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
	s.Stop = s.Stop.withinGrace()
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

// ParseGateway reads and checks the settings of a gateway. Relative paths are resolved
// against the folder of file.
func ParseGateway(file string, data []byte) (Gateway, error) {
	s := DefaultGateway()
	err := parse(file, data, &s, func(doc *document.Document) {
		checkLink(doc, s.Link.Link())
		checkKeys(doc, s.Link, s.Keys)
		if length := len(s.Explain.Token); length > 0 && length < minExplainToken {
			doc.Report("explain.token", "is shorter than 16 characters")
		}
	})
	if err != nil {
		return Gateway{}, err
	}
	s.Keys.Folder = resolvePath(file, s.Keys.Folder)
	s.Stop = s.Stop.withinGrace()
	return s, nil
}

// LinkAddresses returns the link addresses of the hosts with the given API addresses: the same IP
// addresses with the port of this host's link.
func (l PlatformLink) LinkAddresses(apis []Address) []string {
	links := make([]string, 0, len(apis))
	for _, a := range apis {
		links = append(links, a.withPortOf(l.Address).String())
	}
	return links
}

// checkKeys reports a missing keys folder unless the network is private.
func checkKeys(doc *document.Document, link PlatformLink, keys OptionalKeys) {
	if keys.Folder == "" && !link.PrivateNetwork {
		doc.Report("keys.folder", "is missing; it is required unless link.private_network is true")
	}
}
