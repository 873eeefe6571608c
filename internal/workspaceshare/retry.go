package workspaceshare

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRetryFraction is the fraction of its remaining time that a caller waits at most for a retry, by the protocol.
	maxRetryFraction = 1.0 / 3
	// spreadFraction is the length of the interval over which callers with the same excess are spread, as a fraction of the
	// possible delays.
	spreadFraction = 0.3
)

// RetryDelay returns the time after which a refused caller is to come back: the further its workspace is beyond its share,
// the later, so that those inside come first. It never exceeds a third of the remaining time. earliest is when overload
// control expects capacity.
func (s Standing) RetryDelay(earliest, remaining time.Duration, rng *rand.Rand) time.Duration {
	latest := max(time.Duration(maxRetryFraction*float64(remaining)), 0)
	earliest = min(earliest, latest/2)
	span := float64(latest - earliest)
	position := s.Excess / (1 + s.Excess)
	return earliest + time.Duration(span*((1-spreadFraction)*position+spreadFraction*rng.Float64()))
}
