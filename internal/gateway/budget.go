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

// retryBudget returns this instance's budget for the retries of a service. It outlives views and the declaration of the service: a new budget
// is full.
func (s *State) retryBudget(service string, instances int, now time.Time) *retry.Budget {
	if b := s.budgets[service]; b != nil {
		return b
	}
	b := retry.NewBudget(s.budgetOptions(instances), now)
	s.budgets[service] = b
	return b
}

// divideBudgets adapts the retry budgets to the number of instances.
func (s *State) divideBudgets(instances int, now time.Time) {
	if s.budgetInstances == instances {
		return
	}
	s.budgetInstances = instances
	for _, b := range s.budgets {
		b.SetOptions(s.budgetOptions(instances), now)
	}
}

// budgetOptions returns this instance's share of a retry budget. The platform's limit applies to all instances together in any window of
// StateOptions.RetryWindow.
func (s *State) budgetOptions(instances int) retry.BudgetOptions {
	floor := s.opts.RetryFloor / float64(instances)
	return retry.BudgetOptions{
		RetriesPerSuccess: s.opts.RetryRatio * retryRatioUsed,
		MinPerSec:         floor * retryFloorUsed / s.opts.RetryWindow.Seconds(),
		Burst:             max(int(floor*retryBurstShare), 1),
	}
}
