package gateway

import (
	"slices"
	"time"
)

// controlHosts chooses the control host to subscribe to.
type controlHosts struct {
	// seeds are the addresses from the settings.
	seeds []string
	// next counts the candidates tried, for the round robin.
	next int
	// leader is the address of the latest known leader.
	leader string
	// known are the addresses of all control hosts, once one of them has sent them.
	known []string
	// avoidUntil is the time until which an address is not tried.
	avoidUntil map[string]time.Time
}

// choose returns the leader if it is known and not to be avoided, else the next candidate in turn.
// If all are to be avoided it returns the one whose avoidance time ends first.
func (h *controlHosts) choose(now time.Time) string {
	if h.leader != "" && now.After(h.avoidUntil[h.leader]) {
		return h.leader
	}
	candidates := h.candidates()
	earliest := candidates[0]
	for range candidates {
		address := candidates[h.next%len(candidates)]
		h.next++
		if now.After(h.avoidUntil[address]) {
			return address
		}
		if h.avoidUntil[address].Before(h.avoidUntil[earliest]) {
			earliest = address
		}
	}
	return earliest
}

// candidates returns the known control hosts, then the seeds that are not among them.
func (h *controlHosts) candidates() []string {
	candidates := slices.Clone(h.known)
	for _, seed := range h.seeds {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	return candidates
}
