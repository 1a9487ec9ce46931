package roster

import "math"

// limitTolerance is the relative change of an endpoint's limit that is not worth telling.
const limitTolerance = 0.1

// IsOtherLimit reports whether the limit of requests a second that an endpoint names has begun, ended or changed by more
// than a tenth. An endpoint may name another one in each answer. 0 is no limit.
func IsOtherLimit(old, perSecond float64) bool {
	return (old == 0) != (perSecond == 0) || math.Abs(perSecond-old) > limitTolerance*old
}
