package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/egretreach/egretreach/internal/fleet/document"
)

// Keys of the fields of a selector.
const (
	selectorHost          = "host"
	selectorFailureDomain = "failure_domain"
	selectorFabricDomain  = "fabric_domain"
	selectorTeam          = "team"
	selectorDeployment    = "deployment"
)

// allowedSelectors lists, for each section of Values, the selector fields that an
// exception to it may use. A section without any is the same for the whole fleet.
var allowedSelectors = map[string][]string{
	"limits":     {selectorTeam},
	"request":    {selectorTeam},
	"retry":      nil,
	"objectives": {selectorDeployment},
	"repair":     nil,
	"placement":  {selectorHost, selectorFailureDomain, selectorFabricDomain},
	"quarantine": nil,
	"ledger":     nil,
}

func (s Selector) fields() []string {
	var set []string
	for _, f := range []struct{ name, value string }{
		{selectorHost, string(s.Host)},
		{selectorFailureDomain, string(s.FailureDomain)},
		{selectorFabricDomain, string(s.FabricDomain)},
		{selectorTeam, string(s.Team)},
		{selectorDeployment, s.Deployment},
	} {
		if f.value != "" {
			set = append(set, f.name)
		}
	}
	return set
}

func (c checker) checkExceptions() {
	for i, e := range c.fleet.Exceptions {
		key := fmt.Sprintf("exceptions[%d]", i)
		if len(e.Selector.fields()) == 0 {
			c.doc.Report(key+".selector", "selects nothing")
		}
		if strings.TrimSpace(e.Reason) == "" && e.Reason != "" {
			c.doc.Report(key+".reason", "is missing")
		}
		if len(e.Values.keys) == 0 {
			c.doc.Report(key+".values", "changes nothing")
		}
		c.checkSelector(key+".selector", e.Selector)
		c.checkScope(key, e)
		c.checkOverrides(key+".values", e)
	}
}

func (c checker) checkSelector(key string, s Selector) {
	if _, ok := c.fleet.Team(s.Team); s.Team != "" && !ok {
		c.doc.Report(key+".team", fmt.Sprintf("no team is named %q", s.Team))
	}
	if _, ok := c.fleet.Deployment(s.Deployment); s.Deployment != "" && !ok {
		c.doc.Report(key+".deployment", fmt.Sprintf("no deployment is named %q", s.Deployment))
	}
	known := func(d FabricDomain) bool { return d.Name == s.FabricDomain }
	if s.FabricDomain != "" && len(c.fleet.FabricDomains) > 0 && !slices.ContainsFunc(c.fleet.FabricDomains, known) {
		c.doc.Report(key+".fabric_domain", fmt.Sprintf("no fabric domain is named %q", s.FabricDomain))
	}
}

// checkScope reports values that can never come into force under the selector.
func (c checker) checkScope(key string, e Exception) {
	for _, path := range e.Values.keys {
		section, _, _ := strings.Cut(path, ".")
		allowed := allowedSelectors[section]
		if len(allowed) == 0 {
			c.doc.Report(key+".values."+path, "is the same for the whole fleet; set it under defaults")
			continue
		}
		for _, field := range e.Selector.fields() {
			if !slices.Contains(allowed, field) {
				c.doc.Report(key+".values."+path, fmt.Sprintf("cannot be selected by %s, only by %s", field, strings.Join(allowed, ", ")))
			}
		}
	}
}

// checkOverrides reports values of the exception that are out of bounds.
func (c checker) checkOverrides(key string, e Exception) {
	for _, p := range document.Violations(e.Values.apply(c.fleet.Defaults)) {
		if slices.Contains(e.Values.keys, p.Key) {
			c.doc.Report(key+"."+p.Key, p.Reason)
		}
	}
}
