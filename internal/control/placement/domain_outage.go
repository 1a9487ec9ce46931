package placement

import "time"

const (
	// outageMinShare is the share of a fabric domain's hosts that must be lost within
	// the policy's window to count as an outage of the domain.
	outageMinShare = 0.8
	// outageMinHosts is the size of the smallest fabric domain that can have an outage.
	// In a smaller one, an outage cannot be distinguished from losses of single hosts.
	outageMinHosts = 3
)

// outageStart returns when the outage of a fabric domain began, or zero if there is
// none. In an outage, most hosts of the domain are lost within DomainOutageWindow.
//
// A host that has returned counts as lost for a further DomainOutageWindow. Otherwise the
// first hosts to return would make the rest look like single losses.
func (p *planner) outageStart(f *fabric) time.Time {
	if len(f.hosts) < outageMinHosts {
		return time.Time{}
	}
	latest := time.Time{}
	for _, i := range f.hosts {
		if h := &p.fleet.Hosts[i]; !h.Alive && h.AliveChangedAt.After(latest) {
			latest = h.AliveChangedAt
		}
	}
	if latest.IsZero() {
		return time.Time{}
	}
	first, lostTogether := latest, 0
	for _, i := range f.hosts {
		lost, counts := p.lostAt(&p.fleet.Hosts[i])
		if !counts || latest.Sub(lost) > p.policy.DomainOutageWindow {
			continue
		}
		lostTogether++
		if lost.Before(first) {
			first = lost
		}
	}
	if float64(lostTogether) < outageMinShare*float64(len(f.hosts)) {
		return time.Time{}
	}
	return first
}

// lostAt returns when a host was lost. It returns false for a host that has been
// alive for DomainOutageWindow or was never lost.
func (p *planner) lostAt(h *Host) (time.Time, bool) {
	if !h.Alive {
		return h.AliveChangedAt, true
	}
	recentlyBack := p.now.Sub(h.AliveChangedAt) < p.policy.DomainOutageWindow
	return h.LastLost, recentlyBack && !h.LastLost.IsZero()
}

// groupOutageSince returns when the outage of the replica's fabric domain began, or
// zero if there is none.
func (p *planner) groupOutageSince(g *group) time.Time {
	if g.fabric == noFabric {
		return time.Time{}
	}
	return p.fabrics[g.fabric].outageSince
}
