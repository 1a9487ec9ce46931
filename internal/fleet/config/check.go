package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/document"
)

const (
	defaultInteractiveDeadline = time.Minute
	defaultBatchDeadline       = 10 * time.Minute
)

// checker reports the problems of a configuration whose YAML fits its types.
type checker struct {
	doc   *document.Document
	fleet *Fleet
}

func (c checker) check() {
	c.doc.Check("", c.fleet)
	c.checkBackoff()
	c.checkNames()
	c.checkDeployments()
	c.checkTeams()
	c.checkTokens()
	c.checkRegions()
	c.checkWarmUps()
	c.checkExceptions()
}

func (c checker) checkBackoff() {
	if retry := c.fleet.Defaults.Retry; retry.MaxBackoff < retry.MinBackoff {
		c.doc.Report("defaults.retry.max_backoff", "must be at least min_backoff")
	}
}

func (c checker) checkNames() {
	checkUnique(c.doc, "models", c.fleet.Models, func(m Model) string { return m.Name })
	checkUnique(c.doc, "deployments", c.fleet.Deployments, func(d Deployment) string { return d.Name })
	checkUnique(c.doc, "fabric_domains", c.fleet.FabricDomains, func(d FabricDomain) string { return string(d.Name) })
	checkUnique(c.doc, "classes", c.fleet.Classes, func(k Class) string { return string(k.Name) })
	checkUnique(c.doc, "teams", c.fleet.Teams, func(t Team) string { return string(t.Name) })
	checkUnique(c.doc, "services", c.fleet.Services, func(s Service) string { return s.Name })
	for i, m := range c.fleet.Models {
		checkUnique(c.doc, fmt.Sprintf("models[%d].versions", i), m.Versions, func(v Version) string { return v.Name })
	}
}

// checkUnique reports the items whose name an earlier item of the list has.
func checkUnique[T any](doc *document.Document, key string, items []T, name func(T) string) {
	first := map[string]int{}
	for i, item := range items {
		n := name(item)
		nameKey := fmt.Sprintf("%s[%d].name", key, i)
		if earlier, taken := first[n]; taken && n != "" {
			doc.Report(nameKey, fmt.Sprintf("%q is already the name at line %d", n, doc.Line(fmt.Sprintf("%s[%d].name", key, earlier))))
			continue
		}
		first[n] = i
	}
}

func (c checker) checkDeployments() {
	largest := 0
	for _, d := range c.fleet.FabricDomains {
		largest = max(largest, d.Hosts)
	}
	for i, d := range c.fleet.Deployments {
		key := fmt.Sprintf("deployments[%d]", i)
		if largest > 0 && d.HostsPerReplica > largest && !d.AcceptCrossFabric {
			c.doc.Report(key+".hosts_per_replica",
				fmt.Sprintf("no fabric domain has %d hosts; the largest has %d", d.HostsPerReplica, largest))
		}
		c.checkModel(key, d)
	}
}

func (c checker) checkModel(key string, d Deployment) {
	model, ok := c.fleet.Model(d.Model)
	if !ok {
		if d.Model != "" {
			c.doc.Report(key+".model", fmt.Sprintf("no model is named %q", d.Model))
		}
		return
	}
	if _, ok := model.Version(d.Version); !ok && d.Version != "" {
		c.doc.Report(key+".version", fmt.Sprintf("model %q has no version %q", d.Model, d.Version))
	}
	for j, adapter := range d.Adapters {
		if !slices.Contains(model.Adapters, adapter) {
			c.doc.Report(fmt.Sprintf("%s.adapters[%d]", key, j), fmt.Sprintf("model %q has no adapter %q", d.Model, adapter))
		}
	}
}

func (c checker) checkTeams() {
	for i, t := range c.fleet.Teams {
		for j, class := range t.Classes {
			if _, ok := c.fleet.Class(class); !ok {
				c.doc.Report(fmt.Sprintf("teams[%d].classes[%d]", i, j), fmt.Sprintf("no class is named %q", class))
			}
		}
	}
}

func (c checker) checkWarmUps() {
	for i, d := range c.fleet.Deployments {
		c.checkWarmUp(fmt.Sprintf("deployments[%d]", i), d.WarmUp)
	}
	for i, s := range c.fleet.Services {
		c.checkWarmUp(fmt.Sprintf("services[%d]", i), s.WarmUp)
	}
}

// checkWarmUp reports a warm-up with only one of its fields.
func (c checker) checkWarmUp(key string, w WarmUp) {
	if (w.Time > 0) != (w.RequestsPerSecond > 0) {
		c.doc.Report(key+".warm_up", "needs both time and requests_per_second")
	}
}

func (c checker) checkTokens() {
	owner := map[string]string{}
	for i, t := range c.fleet.Teams {
		for j, hash := range t.TokenSHA256 {
			hash = strings.ToLower(hash)
			if other, taken := owner[hash]; taken {
				c.doc.Report(fmt.Sprintf("teams[%d].token_sha256[%d]", i, j), fmt.Sprintf("is already a token of team %q", other))
			}
			owner[hash] = string(t.Name)
		}
	}
}
