package settings

import (
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
)

// Entry holds the settings of an entry daemon.
type Entry struct {
	Host   Host   `yaml:"host"`
	API    API    `yaml:"api"`
	Link   Link   `yaml:"link"`
	Health Health `yaml:"health"`
	Keys   Keys   `yaml:"keys"`
	// Control lists the link addresses of the control hosts.
	Control []Address `yaml:"control" validate:"min=1,max=7"`
	Memory  Memory    `yaml:"memory"`
	Log     Log       `yaml:"log"`
	Stop    Stop      `yaml:"stop"`
}

// API configures the listener for callers' requests.
type API struct {
	// Address is an IP address and TCP port.
	Address Address `yaml:"address" validate:"required"`
	// MaxHeader bounds the header of a request, in bytes.
	MaxHeader document.Size `yaml:"max_header" validate:"min=1024,max=1048576"`
	// HeaderTimeout bounds the time in which a header must arrive.
	HeaderTimeout time.Duration `yaml:"header_timeout" validate:"min=100ms,max=1m"`
	// BodyTimeout bounds the time in which a body must arrive.
	BodyTimeout time.Duration `yaml:"body_timeout" validate:"min=100ms,max=10m"`
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration `yaml:"idle_timeout" validate:"min=1s,max=1h"`
	// MaxConnections bounds the number of open connections of all callers.
	MaxConnections int `yaml:"max_connections" validate:"min=1,max=1000000"`
}

// DefaultEntry returns the settings that apply to keys that a file leaves out.
func DefaultEntry() Entry {
	return Entry{
		API: API{
			MaxHeader:      32 << 10,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    30 * time.Second,
			IdleTimeout:    2 * time.Minute,
			MaxConnections: 10000,
		},
		Keys: defaultKeys(),
		Log:  defaultLog(),
		Stop: defaultStop(),
	}
}

// LoadEntry reads and checks the settings file of an entry.
func LoadEntry(file string) (Entry, error) {
	data, err := read(file)
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(file, data)
}

// ParseEntry reads and checks the settings of an entry. Relative paths are resolved
// against the folder of file.
func ParseEntry(file string, data []byte) (Entry, error) {
	s := DefaultEntry()
	err := parse(file, data, &s, func(doc *document.Document) {
		checkLink(doc, s.Link)
		checkControl(doc, s.Control)
	})
	if err != nil {
		return Entry{}, err
	}
	s.Keys.Folder = resolvePath(file, s.Keys.Folder)
	s.Stop = s.Stop.withinGrace()
	return s, nil
}
