package placement

import "time"

// Policy holds the parameters of Decide. A zero field takes its default.
type Policy struct {
	// HostReturn models how long a lost host is away.
	HostReturn ReturnModel
	// MaxHold bounds the wait for the members of a replica to return; 0 is unlimited.
	MaxHold time.Duration
	// DomainOutageHold is how long after the outage of a fabric domain began no replacements for
	// its replicas are built elsewhere.
	DomainOutageHold time.Duration
	// DomainOutageWindow is the time within which the hosts of a fabric domain are lost, or
	// return, in one outage.
	DomainOutageWindow time.Duration
	// FlapLosses is the number of losses in an hour from which a host counts as flapping.
	FlapLosses int
	// FlapBackoff is how long a flapping host must be alive before it is claimed
	// again. It doubles with each further loss, up to an hour.
	FlapBackoff time.Duration
	// StragglerSlowness is the slowness factor from which a host counts as a straggler.
	StragglerSlowness float64
	// StragglerHold is how long a host must be slow before its replica is replaced.
	StragglerHold time.Duration
	// Horizon is the time within which a voluntary replacement must recover its cost.
	Horizon time.Duration
	// SettleTime is how long after its claim a replica is not replaced voluntarily.
	SettleTime time.Duration
	// DrainTime is how long a replica is expected to take to complete the requests in
	// flight.
	DrainTime time.Duration
	// CrossFabricHold is how long a replica must be down before one that spans fabric
	// domains is formed.
	CrossFabricHold time.Duration
	// ColdSpares leaves free hosts without weights. Otherwise weights are copied to
	// them while the weight store has capacity to spare.
	ColdSpares bool
	// MinIdleTime is how long a host must be free before it is used for an extra replica.
	MinIdleTime time.Duration
	// LossesPerHostDay is how often per day a host is lost for a while, for any reason.
	LossesPerHostDay float64
	// MaxWeightsPerHost is the number of wanted weights from which a host gets no more
	// preloads.
	MaxWeightsPerHost int
}

// The defaults of Policy.
const (
	defaultDomainOutageHold   = time.Minute
	defaultDomainOutageWindow = 30 * time.Second
	defaultFlapLosses         = 3
	defaultFlapBackoff        = 5 * time.Minute
	defaultStragglerSlowness  = 1.25
	defaultStragglerHold      = 2 * time.Minute
	defaultHorizon            = 30 * time.Minute
	defaultSettleTime         = 5 * time.Minute
	defaultDrainTime          = 30 * time.Second
	defaultCrossFabricHold    = 5 * time.Minute
	defaultMinIdleTime        = 15 * time.Second
	defaultLossesPerHostDay   = 0.3
	defaultMaxWeightsPerHost  = 2

	maxFlapBackoff = time.Hour
)

// defaultHostReturn expects most losses to be restarts.
var defaultHostReturn = ReturnModel{
	ShortShare: 0.9,
	ShortMean:  time.Minute,
	LongMean:   2 * time.Hour,
}

// orDefault returns v, or d if v is the zero value.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// withDefaults returns the policy with every zero field filled in.
func (p Policy) withDefaults() Policy {
	p.HostReturn = orDefault(p.HostReturn, defaultHostReturn)
	p.DomainOutageHold = orDefault(p.DomainOutageHold, defaultDomainOutageHold)
	p.DomainOutageWindow = orDefault(p.DomainOutageWindow, defaultDomainOutageWindow)
	p.FlapLosses = orDefault(p.FlapLosses, defaultFlapLosses)
	p.FlapBackoff = orDefault(p.FlapBackoff, defaultFlapBackoff)
	p.StragglerSlowness = orDefault(p.StragglerSlowness, defaultStragglerSlowness)
	p.StragglerHold = orDefault(p.StragglerHold, defaultStragglerHold)
	p.Horizon = orDefault(p.Horizon, defaultHorizon)
	p.SettleTime = orDefault(p.SettleTime, defaultSettleTime)
	p.DrainTime = orDefault(p.DrainTime, defaultDrainTime)
	p.CrossFabricHold = orDefault(p.CrossFabricHold, defaultCrossFabricHold)
	p.MinIdleTime = orDefault(p.MinIdleTime, defaultMinIdleTime)
	p.LossesPerHostDay = orDefault(p.LossesPerHostDay, defaultLossesPerHostDay)
	p.MaxWeightsPerHost = orDefault(p.MaxWeightsPerHost, defaultMaxWeightsPerHost)
	return p
}

// flapBackoff returns how long a host with that many losses must be alive before it
// is claimed again.
func (p Policy) flapBackoff(losses int) time.Duration {
	if losses < p.FlapLosses {
		return 0
	}
	backoff := p.FlapBackoff
	for range losses - p.FlapLosses {
		backoff = min(2*backoff, maxFlapBackoff)
	}
	return backoff
}
