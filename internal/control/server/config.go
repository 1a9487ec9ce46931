package server

import (
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/ledger"
	"github.com/egretreach/egretreach/internal/control/quarantine"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/fleet/view"
)

// configName is the name of the configuration in the errors of its parser.
const configName = "fleet.yaml"

// configCache holds the latest configuration in parsed form. The zero value holds the default
// values without teams and deployments.
type configCache struct {
	revision view.Revision
	current  *config.Fleet
}

// get returns the parsed configuration of a revision. If the text does not parse, because another
// version of the program accepted it, the last one that did stays in force for placement.
func (c *configCache) get(revision view.Revision, yaml []byte) *config.Fleet {
	if c.current == nil {
		c.current = &config.Fleet{Defaults: config.DefaultValues()}
	}
	if revision == c.revision {
		return c.current
	}
	c.revision = revision
	if parsed, err := config.Parse(configName, yaml); err == nil {
		c.current = parsed
	}
	return c.current
}

func teamNames(f *config.Fleet) []string {
	names := make([]string, len(f.Teams))
	for i, t := range f.Teams {
		names[i] = string(t.Name)
	}
	return names
}

// problems returns the errors of a refused configuration, one line each.
func problems(err error) []string {
	var invalid config.ErrInvalid
	if errors.As(err, &invalid) {
		return invalid.Lines()
	}
	return []string{err.Error()}
}

// ledgerPolicy returns the limits of the ledger under a configuration.
func ledgerPolicy(v config.Ledger) ledger.Policy {
	return ledger.Policy{
		CompleteRetention: v.Retention, PendingRetention: max(v.Retention, ledger.DefaultPendingRetention), MaxClaims: v.MaxKeys,
		MaxAnswerBytes: int(v.MaxAnswer), MaxAnswersBytes: int(v.MaxBytes),
	}
}

// quarantinePolicy returns the limits of the quarantine under a configuration.
func quarantinePolicy(v config.Quarantine) quarantine.Policy {
	return quarantine.Policy{
		SuspectFor: v.SuspectFor, QuarantineFor: v.RefuseFor, MaxEntries: v.MaxEntries,
	}
}

func specOf(d config.Deployment) replica.Spec {
	return replica.Spec{
		Deployment: d.Name, Model: d.Model, Version: d.Version, Adapters: d.Adapters, Role: string(d.Role),
	}
}
