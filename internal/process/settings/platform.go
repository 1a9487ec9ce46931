package settings

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
)

// Portal is the settings of a portal daemon.
type Portal struct {
	Host Host     `yaml:"host"`
	Link OpenLink `yaml:"link"`
	// API is the address that endpoints and operators call.
	API    Address  `yaml:"api" validate:"required"`
	Health Health   `yaml:"health"`
	Keys   LinkKeys `yaml:"keys"`
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
	Host Host     `yaml:"host"`
	Link OpenLink `yaml:"link"`
	// API is the address that callers reach.
	API    Address `yaml:"api" validate:"required"`
	Health Health  `yaml:"health"`
	// Metrics is a second listener for the pages of Health.
	Metrics Health   `yaml:"metrics"`
	Keys    LinkKeys `yaml:"keys"`
	// Seeds are the API addresses of some portals. Their links are at the same IP numbers
	// and at the port of this host's link.
	Seeds   []Address `yaml:"seeds" validate:"min=1,max=9"`
	Repeats Repeats   `yaml:"repeats"`
	// WhenCutOff says what a gateway does that no control host has told anything for
	// CutOffAfter: serve by the configuration that it has, or refuse.
	WhenCutOff  string        `yaml:"when_cut_off" validate:"oneof=serve refuse"`
	CutOffAfter time.Duration `yaml:"cut_off_after" validate:"min=1s,max=1h"`
	Log         Log           `yaml:"log"`
	Stop        Stop          `yaml:"stop"`
}

// OpenLink is a Link whose network may be private.
type OpenLink struct {
	// Address is the IP address and UDP port that the other processes reach.
	Address Address `yaml:"address" validate:"required"`
	// Offload lets the socket use UDP segmentation offload and ECN.
	Offload bool `yaml:"offload"`
	// PrivateNetwork says that no keys are provided and every process that can reach the
	// link is trusted.
	PrivateNetwork bool `yaml:"private_network"`
}

// Link returns the part that all daemons have.
func (l OpenLink) Link() Link { return Link{Address: l.Address, Offload: l.Offload} }

// LinkKeys are Keys that a private network does without.
type LinkKeys struct {
	Folder     string        `yaml:"folder"`
	CheckEvery time.Duration `yaml:"check_every" validate:"min=1s,max=24h"`
}

// Repeats bound what all gateways together send a second time to one service.
type Repeats struct {
	// Ratio is the repeats for each request.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=10"`
	// Slack is the number beyond that in Window.
	Slack  float64       `yaml:"slack" validate:"min=0,max=1000000"`
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
	defaultRepeatRatio = 0.1
	defaultRepeatSlack = 20
	defaultRepeatTime  = 10 * time.Second
)

// DefaultPortal is in force where a file says nothing.
func DefaultPortal() Portal {
	stop := defaultStop()
	stop.Notice = 0
	return Portal{Keys: LinkKeys(defaultKeys()), Log: defaultLog(), Stop: stop, Heartbeat: defaultHeartbeat}
}

// DefaultGateway is in force where a file says nothing.
func DefaultGateway() Gateway {
	return Gateway{
		Keys: LinkKeys(defaultKeys()), Log: defaultLog(), Stop: defaultStop(),
		Repeats:    Repeats{Ratio: defaultRepeatRatio, Slack: defaultRepeatSlack, Window: defaultRepeatTime},
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
	s.Keys.Folder = beside(file, s.Keys.Folder)
	s.DataFolder = beside(file, s.DataFolder)
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
	s.Keys.Folder = beside(file, s.Keys.Folder)
	return s, nil
}

// LinkAddresses returns the link addresses of hosts whose API addresses are given: the
// same IP numbers at the port of this host's link.
func (l OpenLink) LinkAddresses(apis []Address) []string {
	links := make([]string, 0, len(apis))
	for _, a := range apis {
		links = append(links, a.withPortOf(l.Address).String())
	}
	return links
}

// checkKeys asks for keys unless the network is private.
func checkKeys(doc *document.Document, link OpenLink, keys LinkKeys) {
	if keys.Folder == "" && !link.PrivateNetwork {
		doc.Report("keys.folder", "is needed unless link.private_network is true")
	}
}
