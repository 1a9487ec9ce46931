package portal

import (
	"strconv"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// isListed reports whether an announcement may change what this host knows of endpoints. It may if the configuration lists its service, and
// also if it continues what this host knows: the configuration may have dropped the service while its endpoints finish their work. mu is held.
func (p *Portal) isListed(e roster.Endpoint) bool {
	return isSignOff(e) || p.listsService(e.Service) || p.roster.Continues(e)
}

// isSignOff reports whether an announcement is the sign-off of an ID, which names no service.
func isSignOff(e roster.Endpoint) bool { return e.State == roster.StateLeft && e.Service == "" }

// listsService reports whether the configuration in force here lists a service. mu is held.
func (p *Portal) listsService(name string) bool {
	if p.table == nil {
		return false
	}
	_, listed := p.table.Service(name)
	return listed
}

// setAside keeps an announcement of an unlisted service until the configuration lists it. The other control hosts get it as well: their
// configuration may be newer. mu is held.
func (p *Portal) setAside(e roster.Endpoint, seenAt time.Time, direct bool) {
	if !p.unlisted.Announce(e, seenAt, direct) {
		return
	}
	holder, _ := p.roster.At(e.Address)
	event.EndpointUnlisted.On(p.opts.Logger).Str("endpoint", strconv.QuoteToASCII(e.ID)).Str("service", strconv.QuoteToASCII(e.Service)).
		Str("address", e.Address).Int64("born", e.StartedMs).Uint64("sequence", e.Sequence).Bool("direct", direct).
		Str("holder", holder.ID).Uint64("revision", p.tableVersion()).Msg("")
}

// tableVersion returns the version of the configuration in force here, 0 if there is none. mu is held.
func (p *Portal) tableVersion() uint64 {
	if p.table == nil {
		return 0
	}
	return p.table.Version
}

// takeListed records the announcements of services that the configuration lists by now. mu is held.
func (p *Portal) takeListed() {
	for _, e := range p.unlisted.Take(p.listsService) {
		if !p.isOutlived(e.Entry) {
			p.applyAnnouncement(e.Endpoint, e.LastSeen, e.Direct)
		}
	}
}

// isOutlived reports whether the endpoint that has the ID or the address of an announcement was heard after it. So that endpoint goes on, and
// the announcement is that of another writer, which was not repeated. mu is held.
func (p *Portal) isOutlived(e roster.Entry) bool {
	sameID, _ := p.roster.Get(e.ID)
	holder, _ := p.roster.At(e.Address)
	return goesOnAfter(sameID, e) || goesOnAfter(holder, e)
}

// goesOnAfter reports whether an endpoint that has not left was heard after e, an announcement of another incarnation.
func goesOnAfter(known, e roster.Entry) bool {
	return known.ID != "" && known.Incarnation() != e.Incarnation() && known.State != roster.StateLeft && known.LastSeen.After(e.LastSeen)
}

// isUnsureDeparture reports whether an endpoint drains or leaves whose service this host may not know yet, so that the log does not keep it from
// here: this host has no configuration, or is sent the log.
func (p *Portal) isUnsureDeparture(e roster.Endpoint) bool {
	if e.State == roster.StateReady {
		return false
	}
	admitted := p.logStatus().Admitted
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isListed(e) && (p.table == nil || !admitted)
}

// unlistedCount returns the number of announcements of unlisted services.
func (p *Portal) unlistedCount() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.unlisted.Len())
}
