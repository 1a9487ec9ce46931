package placement

import "time"

const (
	// darkShare is the share of a fabric domain's hosts that vanish in a domain loss.
	darkShare = 0.8
	// darkHosts is the smallest domain for which a loss is told from single losses.
	darkHosts = 3
)

// darkSince returns when a whole fabric domain fell silent at once, or zero.
//
// Hosts that are back are counted for DarkWindow, so that the first to return do
// not make the rest look like single losses.
func (p *planner) darkSince(f *fabric) time.Time {
	if len(f.hosts) < darkHosts {
		return time.Time{}
	}
	latest := time.Time{}
	for _, i := range f.hosts {
		if h := &p.fleet.Hosts[i]; !h.Alive && h.Since.After(latest) {
			latest = h.Since
		}
	}
	if latest.IsZero() {
		return time.Time{}
	}
	first, together := latest, 0
	for _, i := range f.hosts {
		lost, counts := p.lostAt(&p.fleet.Hosts[i])
		if !counts || latest.Sub(lost) > p.policy.DarkWindow {
			continue
		}
		together++
		if lost.Before(first) {
			first = lost
		}
	}
	if float64(together) < darkShare*float64(len(f.hosts)) {
		return time.Time{}
	}
	return first
}

// lostAt returns when a host fell silent, if it is silent or only just back.
func (p *planner) lostAt(h *Host) (time.Time, bool) {
	if !h.Alive {
		return h.Since, true
	}
	justBack := p.now.Sub(h.Since) < p.policy.DarkWindow
	return h.LastLost, justBack && !h.LastLost.IsZero()
}

// darkGroup returns when the replica's whole fabric domain went dark, or zero.
func (p *planner) darkGroup(g *group) time.Time {
	if g.fabric == noFabric {
		return time.Time{}
	}
	return p.fabrics[g.fabric].darkSince
}
