package workspaceshare

import (
	"math"
	"time"
)

const (
	// minScale is the strictest scale of the limit on the wait. It is above zero so that a workspace beyond its share still
	// gets what the others leave: a target with a short queue takes any request.
	minScale = 0.2
	// maxReserve is subtracted from the scale of a workspace that gets exactly its share and asks for more, if all other work
	// is inside shares. It makes room before the limit is reached at which the others are refused.
	maxReserve = 0.4
	// relaxedRatio is the ratio of usage to share up to which a workspace that asks for more is not limited more strictly
	// than without shares, and strictRatio the ratio from which minScale applies.
	relaxedRatio = 0.85
	strictRatio  = 2.0
	// reservedFraction is the last part of the longest wait that only workspaces inside their shares may use.
	reservedFraction = 0.5
)

// Standing is how a workspace stands to its share, and what follows for a request of it.
type Standing struct {
	Known     bool          // false: nothing is known, so shares change no decision
	Contended bool          // the service gets more requests than it can serve
	Age       time.Duration // of the newest usage from another instance; negative if there is none
	Share     float64       // work per second; zero if not contended
	Asked     float64       // work per second that the workspace asks for
	Used      float64       // work per second that it gets
	Inside    bool          // it asks for no more than its share, or gets less than it
	Excess    float64       // usage beyond the share, as a fraction of the share
	Outranked bool          // more urgent requests of the service are served less often

	// Scale is the factor of the longest wait that overload control allows, at most 1.
	Scale float64
	// Benefit says how far the longest wait moves from the limit of overload control (0) to that of the deadline (1).
	Benefit float64
}

// neutral is the standing that changes no decision.
var neutral = Standing{Inside: true, Scale: 1}

// standing returns the standing of a workspace. cost is the work of one of its requests.
func (s *serviceShares) standing(workspace uint32, weight, cost float64) Standing {
	out := neutral
	u := s.usage[workspace]
	out.Known, out.Asked, out.Used = true, u.Asked, u.Used
	if math.IsInf(s.level, 1) {
		return out
	}
	out.Contended, out.Share = true, s.level*weight
	noise := rateNoise(out.Share, cost)
	tolerated := out.Share*(1+tolerance) + noise
	if u.Asked <= tolerated {
		out.Benefit = s.benefit
		return out
	}
	ratio := u.Used / max(out.Share+noise/2, math.SmallestNonzeroFloat64)
	out.Inside, out.Excess = ratio <= 1, max(ratio-1, 0)
	atShare := 1 - maxReserve*s.protected
	switch {
	case ratio <= relaxedRatio:
		out.Benefit = s.benefit * (relaxedRatio - ratio) / relaxedRatio
	case ratio <= 1:
		out.Scale = interpolate(ratio, relaxedRatio, 1, 1, atShare)
	default:
		out.Scale = interpolate(min(ratio, strictRatio), 1, strictRatio, atShare, minScale)
	}
	return out
}

// rateNoise returns two standard deviations of the measured rate of a workspace that asks for its share in requests of the given
// cost at random times, at least minNoiseRequests. The decayed count of n requests within timeConstant has the variance n/2.
func rateNoise(share, cost float64) float64 {
	if cost <= 0 {
		return 0
	}
	n := share * timeConstant.Seconds() / cost
	return max(2*math.Sqrt(n/2), minNoiseRequests) * cost / timeConstant.Seconds()
}

// interpolate maps x from [x0, x1] to [y0, y1].
func interpolate(x, x0, x1, y0, y1 float64) float64 { return y0 + (x-x0)/(x1-x0)*(y1-y0) }

// CommonWait returns the part of the longest wait that requests of all workspaces may use. The rest is left for those inside their shares, which
// would otherwise find a queue that others have filled to the end of their callers' time.
func CommonWait(longest time.Duration) time.Duration {
	return time.Duration((1 - reservedFraction) * float64(longest))
}

// AdmitsLate reports whether a request that overload control would refuse is admitted because its workspace is inside its
// share. wait is the expected time until its prefill starts, longest the wait after which it is no longer answered before its caller
// leaves.
func (s Standing) AdmitsLate(wait, longest time.Duration) bool {
	return s.Benefit > 0 && float64(wait) <= s.Benefit*float64(longest)
}
