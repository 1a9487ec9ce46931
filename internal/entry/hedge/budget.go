package hedge

// maxBurst is the greatest number of hedges that all gateways together accumulate, if there are no more gateways than that.
const maxBurst = 10

// Budget bounds the hedges of one gateway to a share of its callers' requests. It starts empty, so that the sum over all gateways is
// within the share at any time, whatever their number. The zero value allows none.
type Budget struct{ tokens float64 }

// AddRequest records a caller's request, of which share is earned. gateways is the number of gateways, 0 if that is not known.
func (b *Budget) AddRequest(share float64, gateways int) {
	burst := max(1, float64(maxBurst)/float64(max(gateways, 1)))
	b.tokens = min(b.tokens+share, burst)
}

// Allows reports whether a request may be hedged.
func (b *Budget) Allows() bool { return b.tokens >= 1 }

// Take takes a hedge from the budget. It returns false if the budget is used up.
func (b *Budget) Take() bool {
	if !b.Allows() {
		return false
	}
	b.tokens--
	return true
}
