// Package settings reads and checks the settings files of the daemons.
package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
	"github.com/egretreach/egretreach/internal/fleet/domain"
	"github.com/egretreach/egretreach/internal/fleet/host"
)

// ErrInvalid is returned for a settings file that can't be read or is invalid. It lists all problems.
type ErrInvalid = document.ErrInvalid

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool { return document.IsErrInvalid(err) }

// Host describes the host that the process runs on.
type Host struct {
	// ID is unique in the fleet and does not change over restarts.
	ID            host.ID        `yaml:"id" validate:"required,hostname_rfc1123"`
	FailureDomain domain.Failure `yaml:"failure_domain" validate:"required"`
	// FabricDomain is required for hosts with accelerators only.
	FabricDomain domain.Fabric `yaml:"fabric_domain"`
}

// Link configures the socket for links to the other processes.
type Link struct {
	// Address is the IP address and UDP port at which other processes reach this one.
	Address Address `yaml:"address" validate:"required"`
	// Offload enables UDP segmentation offload and ECN, which some kernels and networks lack.
	Offload bool `yaml:"offload"`
}

// Keys configures the certificate and keys of the process.
type Keys struct {
	// Folder contains certificate.pem, key.pem and authorities.pem.
	Folder string `yaml:"folder" validate:"required"`
	// CheckInterval is how often the files are checked for changes.
	CheckInterval time.Duration `yaml:"check_every" validate:"min=1s,max=24h"`
}

// Health configures a listener for /metrics, /healthz and /readyz.
type Health struct {
	// Address is an IP address and TCP port. An empty address disables the listener.
	Address Address `yaml:"address"`
}

// Log configures the log on the standard output.
type Log struct {
	// Level is the lowest level that is logged.
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" validate:"oneof=json console"`
}

// Memory bounds the memory of the process.
type Memory struct {
	// Process is the memory that the process may use. 0 is the lower of the machine's memory and the limit of the process's control group.
	Process document.Size `yaml:"process" validate:"min=0,max=1099511627776"`
	// Callers is the part of it for what callers make the process hold: connections, headers, bodies and responses that they don't read.
	// 0 is the default, which depends on Process.
	Callers document.Size `yaml:"callers" validate:"min=0,max=1099511627776"`
}

// Stop configures a planned stop, which SIGINT or SIGTERM starts.
type Stop struct {
	// ShutdownDelay is how long an entry or gateway still accepts new work after its readiness
	// check fails, so that the load balancer has time to notice. The planned stop of any daemon
	// ends after ShutdownDelay plus DrainTimeout at the latest.
	ShutdownDelay time.Duration `yaml:"notice" validate:"min=0s,max=5m"`
	// DrainTimeout bounds the wait for work in flight.
	DrainTimeout time.Duration `yaml:"longest" validate:"min=1s,max=1h"`
	// Grace is the time between the signal and the SIGKILL of whatever stops the process; 0 is no
	// limit. The settings are read with ShutdownDelay and DrainTimeout reduced to fit into it.
	Grace time.Duration `yaml:"grace" validate:"min=0s,max=2h"`
}

const (
	// graceMargin is the share of Grace, as its divisor, that a planned stop leaves for the exit of
	// the process: of 8 s about as much as a busy machine takes for it.
	graceMargin = 10
	// graceNotice is the share of Grace, as its divisor, that ShutdownDelay may take at most.
	graceNotice = 3
)

// withinGrace returns s with ShutdownDelay and DrainTimeout reduced so that a planned stop ends before
// Grace is over.
func (s Stop) withinGrace() Stop {
	if s.Grace <= 0 {
		return s
	}
	s.ShutdownDelay = min(s.ShutdownDelay, s.Grace/graceNotice)
	s.DrainTimeout = min(s.DrainTimeout, s.Grace-s.Grace/graceMargin-s.ShutdownDelay)
	return s
}

const (
	defaultKeysCheckInterval = time.Minute
	defaultShutdownDelay     = 5 * time.Second
	defaultDrainTimeout      = 10 * time.Minute
)

func defaultKeys() Keys { return Keys{CheckInterval: defaultKeysCheckInterval} }

func defaultLog() Log { return Log{Level: "info", Format: "json"} }

func defaultStop() Stop {
	return Stop{ShutdownDelay: defaultShutdownDelay, DrainTimeout: defaultDrainTimeout}
}

func read(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrInvalid{Problems: []document.Problem{{File: file, Reason: err.Error()}}}
	}
	return data, nil
}

// parse decodes data into settings, which hold the defaults, and checks all values. check reports the
// problems that struct tags can't express.
func parse(file string, data []byte, settings any, check func(*document.Document)) error {
	doc, err := document.Decode(file, data, settings)
	if err != nil {
		return err
	}
	doc.Check("", settings)
	check(doc)
	return doc.Err()
}

// resolvePath returns path relative to the folder of the settings file, unless it is empty or
// absolute.
func resolvePath(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

func checkLink(doc *document.Document, link Link) {
	if link.Address != "" && link.Address.isUnspecified() {
		doc.Report("link.address", "must be the address that other processes reach, not an unspecified one")
	}
}

func checkControl(doc *document.Document, control []Address) {
	seen := map[Address]bool{}
	for i, a := range control {
		if seen[a] {
			doc.Report(fmt.Sprintf("control[%d]", i), "is given twice")
		}
		seen[a] = true
	}
}
