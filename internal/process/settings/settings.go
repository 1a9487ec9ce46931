// Package settings reads the settings file of each daemon.
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

// ErrInvalid is a settings file that was refused, with all its problems.
type ErrInvalid = document.ErrInvalid

// IsErrInvalid reports whether err is an ErrInvalid.
func IsErrInvalid(err error) bool { return document.IsErrInvalid(err) }

// Host says which host the process runs on.
type Host struct {
	// ID is unique in the fleet and the same after each restart.
	ID            host.ID        `yaml:"id" validate:"required,hostname_rfc1123"`
	FailureDomain domain.Failure `yaml:"failure_domain" validate:"required"`
	// FabricDomain is needed for hosts with accelerators only.
	FabricDomain domain.Fabric `yaml:"fabric_domain"`
}

// Link is the process's socket for links to the other processes.
type Link struct {
	// Address is the IP address and UDP port that the other processes reach.
	Address Address `yaml:"address" validate:"required"`
	// Offload lets the socket use UDP segmentation offload and ECN.
	Offload bool `yaml:"offload"`
}

// Keys names the folder with certificate.pem, key.pem and authorities.pem.
type Keys struct {
	Folder string `yaml:"folder" validate:"required"`
	// CheckInterval is how often the files are looked at for a change.
	CheckInterval time.Duration `yaml:"check_every" validate:"min=1s,max=24h"`
}

// Health is the listener for /metrics, /healthz and /readyz.
type Health struct {
	// Address is an IP address and TCP port; empty switches the listener off.
	Address Address `yaml:"address"`
}

// Log says what is logged to the standard output, and how.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" validate:"oneof=json console"`
}

// Stop says how a planned stop runs.
type Stop struct {
	// ShutdownDelay is how long new work is still taken after readiness fails, so that
	// the balancer has time to see it.
	ShutdownDelay time.Duration `yaml:"notice" validate:"min=0s,max=5m"`
	// DrainTimeout bounds the wait for work in flight.
	DrainTimeout time.Duration `yaml:"longest" validate:"min=1s,max=1h"`
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

// parse decodes data over the defaults in settings and checks its bounds.
func parse(file string, data []byte, settings any, check func(*document.Document)) error {
	doc, err := document.Decode(file, data, settings)
	if err != nil {
		return err
	}
	doc.Check("", settings)
	check(doc)
	return doc.Err()
}

// resolvePath resolves a path that is relative to the settings file.
func resolvePath(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

func checkLink(doc *document.Document, link Link) {
	if link.Address != "" && link.Address.unspecified() {
		doc.Report("link.address", "must be the address that others reach, not an unspecified one")
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
