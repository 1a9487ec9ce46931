package portal

import (
	"context"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/control/portalstate"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// maxDomainBytes bounds the name of a failure domain.
const maxDomainBytes = 256

// Evacuate begins the evacuation of a failure domain, or withdraws it if active is false. It returns nil once an entry of the log that
// says so is committed, also if the domain has that state already. Its errors are ErrRefused, ErrNotLeader and ErrUnavailable.
func (p *Portal) Evacuate(ctx context.Context, domain string, active bool) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err := checkDomain(domain); err != nil {
		return ErrRefused{Cause: err}
	}
	command, err := portalstate.Evacuation{Domain: domain, Active: active}.Encode()
	if err != nil {
		return ErrRefused{Cause: err}
	}
	l := p.currentLog()
	if l == nil {
		return ErrUnavailable{Reason: "the replicated log does not run here"}
	}
	result, err := l.Propose(ctx, command)
	if err != nil {
		return p.translateLogError(0, err)
	}
	outcome, ok := result.(portalstate.EvacuationResult)
	switch {
	case !ok:
		return ErrUnavailable{Reason: "the log could not read the evacuation"}
	case outcome.Full:
		return ErrRefused{Cause: errors.Errorf("%d failure domains are evacuated already", portalstate.MaxEvacuated)}
	}
	p.metrics.evacuations.Inc(1)
	kind := event.EvacuationWithdrawn
	if active {
		kind = event.EvacuationBegun
	}
	status := l.Status()
	kind.On(p.opts.Logger).Str("zone", domain).Bool("changed", outcome.Applied).Uint64("revision", outcome.Evacuations.Revision).
		Strs("evacuated", outcome.Evacuations.Domains).Uint64("term", status.Term).Uint64("index", outcome.Index).
		Str("holders", fmt.Sprint(status.Holders(outcome.Index))).Msg("")
	return nil
}

// checkDomain returns an error unless domain can be the name of a failure domain.
func checkDomain(domain string) error {
	switch {
	case domain == "":
		return errors.New("the name of the failure domain is empty")
	case len(domain) > maxDomainBytes:
		return errors.Errorf("the name of the failure domain has %d bytes, more than %d", len(domain), maxDomainBytes)
	case !utf8.ValidString(domain):
		return errors.New("the name of the failure domain is not UTF-8")
	}
	return nil
}

// Evacuations returns the failure domains that are evacuated. Its errors are ErrNotLeader and ErrUnavailable.
func (p *Portal) Evacuations(ctx context.Context) (portalstate.Evacuations, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if _, err := p.confirmState(ctx); err != nil {
		return portalstate.Evacuations{}, err
	}
	return p.machine.Evacuations(), nil
}

// applyEvacuations wakes the subscribers and the planner if the evacuations have changed since an earlier set, and returns the present one. The
// endpoints of a failure domain whose evacuation was withdrawn count as cold.
func (p *Portal) applyEvacuations(earlier portalstate.Evacuations) portalstate.Evacuations {
	evacuations := p.machine.Evacuations()
	if evacuations.Revision == earlier.Revision {
		return earlier
	}
	event.EvacuationsInForce.On(p.opts.Logger).Uint64("revision", evacuations.Revision).Strs("evacuated", evacuations.Domains).Msg("")
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, domain := range earlier.Domains {
		if !evacuations.Has(domain) {
			p.markDomainCold(domain, time.Now())
		}
	}
	p.notifyLocked()
	return evacuations
}
