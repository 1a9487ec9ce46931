package settings

import (
	"fmt"

	"github.com/egretreach/egretreach/internal/fleet/document"
	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Control holds the settings of a control daemon.
type Control struct {
	Host   Host   `yaml:"host"`
	Link   Link   `yaml:"link"`
	Health Health `yaml:"health"`
	Keys   Keys   `yaml:"keys"`
	// DataFolder is the folder of the replicated log. It must be on a local disk of the host.
	DataFolder string `yaml:"data_folder" validate:"required"`
	// Members lists all control hosts, including this one. Their number must be odd.
	Members []Member `yaml:"members" validate:"min=1,max=7,dive"`
	Memory  Memory   `yaml:"memory"`
	Log     Log      `yaml:"log"`
	Stop    Stop     `yaml:"stop"`
}

// Member is one control host.
type Member struct {
	Host host.ID `yaml:"host" validate:"required,hostname_rfc1123"`
	// Address is the link address of the host.
	Address Address `yaml:"address" validate:"required"`
}

// DefaultControl returns the settings that apply to keys that a file leaves out.
func DefaultControl() Control {
	stop := defaultStop()
	stop.ShutdownDelay = 0
	return Control{Keys: defaultKeys(), Log: defaultLog(), Stop: stop}
}

// LoadControl reads and checks the settings file of a control daemon.
func LoadControl(file string) (Control, error) {
	data, err := read(file)
	if err != nil {
		return Control{}, err
	}
	return ParseControl(file, data)
}

// ParseControl reads and checks the settings of a control daemon. Relative paths
// are resolved against the folder of file.
func ParseControl(file string, data []byte) (Control, error) {
	s := DefaultControl()
	err := parse(file, data, &s, func(doc *document.Document) {
		checkLink(doc, s.Link)
		checkMembers(doc, s)
	})
	if err != nil {
		return Control{}, err
	}
	s.Keys.Folder = resolvePath(file, s.Keys.Folder)
	s.DataFolder = resolvePath(file, s.DataFolder)
	s.Stop = s.Stop.withinGrace()
	return s, nil
}

func checkMembers(doc *document.Document, s Control) {
	hosts := map[host.ID]bool{}
	addresses := map[Address]bool{}
	for i, m := range s.Members {
		key := fmt.Sprintf("members[%d]", i)
		if hosts[m.Host] {
			doc.Report(key+".host", "is given twice")
		}
		if addresses[m.Address] {
			doc.Report(key+".address", "is given twice")
		}
		if m.Host == s.Host.ID && m.Address != s.Link.Address {
			doc.Report(key+".address", "is not link.address of this host")
		}
		hosts[m.Host], addresses[m.Address] = true, true
	}
	if len(s.Members) > 0 && !hosts[s.Host.ID] {
		doc.Report("members", fmt.Sprintf("does not name this host, %q", s.Host.ID))
	}
	if len(s.Members) > 0 && len(s.Members)%2 == 0 {
		doc.Report("members", "must be an odd number; an even one tolerates no more failures than one member less")
	}
}
