package placement

import "time"

// Policy holds the decision's parameters. A zero field takes its default.
type Policy struct {
	// HostReturn is when a silent host comes back.
	HostReturn ReturnModel
	// MaxHold bounds the wait for the members of a replica to return; 0 is unlimited.
	MaxHold time.Duration
	// DarkHold is how long nothing is built elsewhere for a fabric domain that vanished at once.
	DarkHold time.Duration
	// DarkWindow is the time within which a domain's hosts fall silent together, or return together.
	DarkWindow time.Duration
	// FlapLosses is the number of losses in an hour from which a host counts as flapping.
	FlapLosses int
	// FlapBackoff is how long a flapping host must be alive before it is claimed
	// again; it doubles with each further loss.
	FlapBackoff time.Duration
	// StragglerSlowness is the factor from which a host counts as a straggler.
	StragglerSlowness float64
	// StragglerHold is how long a host is slow before anything is done about it.
	StragglerHold time.Duration
	// Horizon is the time over which a voluntary move must earn its cost.
	Horizon time.Duration
	// SettleTime is how long a replica is left alone by voluntary moves after its claim.
	SettleTime time.Duration
	// DrainTime is how long a replica is expected to take to end what is in flight.
	DrainTime time.Duration
	// CrossFabricHold is how long a replica is down before fabric domains are crossed.
	CrossFabricHold time.Duration
	// ColdSpares leaves free hosts without weights; otherwise weights are copied to
	// them while the weight store is idle.
	ColdSpares bool
	// IdleTime is how long a host is free before it is used for an extra replica.
	IdleTime time.Duration
	// LossesPerHostDay is how often a host is lost for a time, for any reason.
	LossesPerHostDay float64
	// WeightsPerHost is how many weights a host may hold before it is preloaded no more.
	WeightsPerHost int
}

// The defaults of Policy.
const (
	defaultDarkHold          = time.Minute
	defaultDarkWindow        = 30 * time.Second
	defaultFlapLosses        = 3
	defaultFlapBackoff       = 5 * time.Minute
	defaultStragglerSlowness = 1.25
	defaultStragglerHold     = 2 * time.Minute
	defaultHorizon           = 30 * time.Minute
	defaultSettleTime        = 5 * time.Minute
	defaultDrainTime         = 30 * time.Second
	defaultCrossFabricHold   = 5 * time.Minute
	defaultIdleTime          = 15 * time.Second
	defaultLossesPerHostDay  = 0.3
	defaultWeightsPerHost    = 2

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
	p.DarkHold = orDefault(p.DarkHold, defaultDarkHold)
	p.DarkWindow = orDefault(p.DarkWindow, defaultDarkWindow)
	p.FlapLosses = orDefault(p.FlapLosses, defaultFlapLosses)
	p.FlapBackoff = orDefault(p.FlapBackoff, defaultFlapBackoff)
	p.StragglerSlowness = orDefault(p.StragglerSlowness, defaultStragglerSlowness)
	p.StragglerHold = orDefault(p.StragglerHold, defaultStragglerHold)
	p.Horizon = orDefault(p.Horizon, defaultHorizon)
	p.SettleTime = orDefault(p.SettleTime, defaultSettleTime)
	p.DrainTime = orDefault(p.DrainTime, defaultDrainTime)
	p.CrossFabricHold = orDefault(p.CrossFabricHold, defaultCrossFabricHold)
	p.IdleTime = orDefault(p.IdleTime, defaultIdleTime)
	p.LossesPerHostDay = orDefault(p.LossesPerHostDay, defaultLossesPerHostDay)
	p.WeightsPerHost = orDefault(p.WeightsPerHost, defaultWeightsPerHost)
	return p
}

// flapBackoff returns how long a host with that many losses must be alive first.
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
