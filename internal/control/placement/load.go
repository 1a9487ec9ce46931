package placement

import "time"

// loadTime returns how long a new claim of hosts would load, and how many of them
// would copy weights from the store. A group is ready when its last member is.
func (p *planner) loadTime(d *Deployment, hosts []int) (time.Duration, int) {
	copies := 0
	for _, i := range hosts {
		if !p.fleet.Hosts[i].holds(d.weights()) {
			copies++
		}
	}
	if copies == 0 {
		return d.Load.LocalLoad, 0
	}
	return d.Load.LocalLoad + p.copyTime(d, copies), copies
}

// copyTime returns how long copies more hosts need at the rate they would share.
func (p *planner) copyTime(d *Deployment, copies int) time.Duration {
	store := p.fleet.WeightStore
	rate := store.HostRate
	if store.Rate > 0 {
		share := store.Rate / float64(p.storeLoads+copies)
		if rate == 0 || share < rate {
			rate = share
		}
	}
	if rate == 0 {
		return 0
	}
	return seconds(d.Load.BytesPerHost / rate)
}

// storeSlots returns how many hosts copy at their full rate at the same time.
func (p *planner) storeSlots() int {
	store := p.fleet.WeightStore
	if store.Rate == 0 {
		return len(p.fleet.Hosts)
	}
	if store.HostRate == 0 {
		return 1
	}
	return max(1, int(store.Rate/store.HostRate))
}

// admits reports whether the store has room for copies more hosts. Loads that
// share a saturated store all end late, so they are started one after the other.
func (p *planner) admits(copies int) bool {
	if copies == 0 || p.storeLoads == 0 {
		return true
	}
	return p.storeLoads+copies <= p.storeSlots()
}
