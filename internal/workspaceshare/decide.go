package workspaceshare

import (
	"math/rand/v2"
	"time"
)

// Decision is the decision on a request.
type Decision struct {
	Admit       bool
	RetryAfter  time.Duration // set if refused
	BeyondShare bool          // refused because of the share: overload control alone would have admitted it
	Benefited   bool          // admitted because of the share: overload control alone would have refused it
	Control     bool          // overload control alone would have admitted it
}

// Overload decides by overload control alone whether a request that waits for the given time is admitted. If not, it returns
// the time after which there will be capacity.
type Overload func(wait time.Duration) (admit bool, retryAfter time.Duration)

// Decide combines the standing of a request's workspace with overload control. A workspace beyond its share is asked about
// with a longer wait, which is the same as a shorter limit, so that the limits stay those of overload control. wait and longest are
// as in AdmitsLate; remaining is the time until the caller leaves.
func (s Standing) Decide(wait, longest, remaining time.Duration, control Overload, rng *rand.Rand) Decision {
	admit, retryAfter := control(wait)
	if !admit {
		if s.AdmitsLate(wait, longest) {
			return Decision{Admit: true, Benefited: true}
		}
		return s.refused(retryAfter, remaining, rng)
	}
	if s.Scale >= 1 {
		return Decision{Admit: true, Control: true}
	}
	if admit, retryAfter = control(time.Duration(float64(wait) / s.Scale)); admit {
		return Decision{Admit: true, Control: true}
	}
	out := s.refused(retryAfter, remaining, rng)
	out.BeyondShare, out.Control = true, true
	return out
}

func (s Standing) refused(retryAfter, remaining time.Duration, rng *rand.Rand) Decision {
	if s.Known {
		retryAfter = s.RetryDelay(retryAfter, remaining, rng)
	}
	return Decision{RetryAfter: retryAfter}
}
