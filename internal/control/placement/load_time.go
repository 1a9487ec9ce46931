package placement

import "time"

// loadTime returns how long a new replica of d on hosts would load, and how many of
// the hosts would copy weights from the store. The replica is ready when its last
// member is.
func (p *planner) loadTime(d *Deployment, hosts []int) (time.Duration, int) {
	copies := 0
	for _, i := range hosts {
		if !p.fleet.Hosts[i].holds(d.weights()) {
			copies++
		}
	}
	if copies == 0 {
		return d.LoadCost.LocalLoadTime, 0
	}
	return d.LoadCost.LocalLoadTime + p.copyTime(d, copies), copies
}

// copyTime returns how long a copy takes if the given number of hosts copy at the same
// time, in addition to those that copy already. It is 0 if no rate is limited.
func (p *planner) copyTime(d *Deployment, copies int) time.Duration {
	store := p.fleet.WeightStore
	rate := store.HostRate
	if store.Rate > 0 {
		share := store.Rate / float64(p.storeCopies+copies)
		if rate == 0 || share < rate {
			rate = share
		}
	}
	if rate == 0 {
		return 0
	}
	return seconds(d.LoadCost.BytesPerHost / rate)
}

// maxStoreCopies returns how many hosts can copy from the store at their full rate at the
// same time.
func (p *planner) maxStoreCopies() int {
	store := p.fleet.WeightStore
	if store.Rate == 0 {
		return len(p.fleet.Hosts)
	}
	if store.HostRate == 0 {
		return 1
	}
	return max(1, int(store.Rate/store.HostRate))
}

// storeHasCapacity reports whether the store can serve the given number of further
// copies. Loads that share a saturated store all end late, so they are started one
// after the other. A load is always admitted while no other host copies.
func (p *planner) storeHasCapacity(copies int) bool {
	if copies == 0 || p.storeCopies == 0 {
		return true
	}
	return p.storeCopies+copies <= p.maxStoreCopies()
}
