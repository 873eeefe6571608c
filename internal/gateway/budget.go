package gateway

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/retry"
)

const (
	// retryRatioUsed, retryFloorUsed and retryBurstShare are the fractions of the retry limits that the budgets use. The rest
	// covers instances that restart with a full budget.
	retryRatioUsed  = 0.7
	retryFloorUsed  = 0.4
	retryBurstShare = 0.3
)

// retryBudget returns this instance's share of a service's retry budget. The platform's limit applies to all instances together in
// any window, so the shares stay below it and allow only a small burst.
func (s *State) retryBudget(service string, instances int, now time.Time) *retry.Budget {
	if b := s.budgets[service]; b != nil {
		return b
	}
	floor := s.opts.RetryFloor / float64(instances)
	b := retry.NewBudget(retry.BudgetOptions{
		RetriesPerSuccess: s.opts.RetryRatio * retryRatioUsed,
		MinPerSec:         floor * retryFloorUsed / s.opts.RetryWindow.Seconds(),
		Burst:             max(int(floor*retryBurstShare), 1),
	}, now)
	s.budgets[service] = b
	return b
}
