// Package retention decides which blocks to keep: what a sidecar exports, when and to which store, and what a full
// store evicts.
//
// The value of a block is the computation time that it saves times the probability that it is reused, divided by
// its size. Fair shares take precedence over value: a workspace within its share of a store loses no block to a
// workspace that exceeds its own share.
package retention

import "time"

// DefaultHalfAge is the default of TableOptions.InitialHalfAge: the time without use after which the probability that a
// prompt is reused has halved, until a Table has learned it from enough reuses.
const DefaultHalfAge = 30 * time.Minute

// ageFactor returns the factor by which the probability of reuse has fallen after a time without use. It falls with
// the square of the age: slower than the exponential decay of regular reuse, and faster than the long tail of reuse
// within days.
func ageFactor(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age) / float64(half)
	return 1 / (1 + x*x)
}

// ValueInputs are the quantities that determine a block's value.
type ValueInputs struct {
	RecomputeTime    time.Duration // time to compute the block again
	ReuseProbability float64       // 0 to 1
	Bytes            int64
}

// Value returns the expected computation time saved, in seconds per gigabyte kept. It is zero if Bytes is not
// positive.
func (w ValueInputs) Value() float64 {
	if w.Bytes <= 0 {
		return 0
	}
	const gigabyte = 1e9
	return w.RecomputeTime.Seconds() * w.ReuseProbability / (float64(w.Bytes) / gigabyte)
}

// ReuseModel estimates the probability that a prompt is reused, by workspace. It is not safe for concurrent use.
type ReuseModel struct {
	workspaces map[string]*reuseCounts
}

// reuseCounts are the decayed counts of one workspace.
type reuseCounts struct {
	prompts float64 // prompts seen for the first time
	reused  float64 // of these, reused at least once
}

// NewReuseModel returns a model without observations.
func NewReuseModel() *ReuseModel { return &ReuseModel{workspaces: map[string]*reuseCounts{}} }

// maxObservations is the number of prompts of a workspace at which its counts are halved, so that old observations lose
// weight and the model adapts to changes in usage.
const maxObservations = 2000

// Observe records one request with a prompt that was already seen reuses times in earlier requests.
func (r *ReuseModel) Observe(workspace string, reuses int) {
	c := r.workspaces[workspace]
	if c == nil {
		c = &reuseCounts{}
		r.workspaces[workspace] = c
	}
	switch reuses {
	case 0:
		c.prompts++
	case 1:
		c.reused++
	}
	if c.prompts > maxObservations {
		c.prompts /= 2
		c.reused /= 2
	}
}

// Weights of the priors, in observations.
const (
	workspacePriorWeight = 2 // of a probability of one half against a workspace's own counts
	promptPriorWeight    = 2 // of the workspace's probability against a prompt's own reuses
)

// ReuseProbability returns the probability that a prompt of a workspace, reused the given number of times so far, is reused
// again.
func (r *ReuseModel) ReuseProbability(workspace string, reuses int) float64 {
	probability := 0.5
	if c := r.workspaces[workspace]; c != nil {
		probability = (min(c.reused, c.prompts) + workspacePriorWeight*0.5) / (c.prompts + workspacePriorWeight)
	}
	return (float64(reuses) + promptPriorWeight*probability) / (float64(reuses) + promptPriorWeight)
}
