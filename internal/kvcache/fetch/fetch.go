// Package fetch decides between fetching a prompt's blocks from a store and recomputing them.
//
// An engine needs the KV cache of all earlier blocks to compute a block, so a fetch always covers the leading
// blocks, and the rest is computed after them. Fetching overlaps with the wait in the target's queue: blocks
// that arrive before the prompt is scheduled add no latency. The decision is repeated before each block, so a
// fetch that no longer saves time over a slow link is abandoned.
package fetch

import "time"

// Input holds the parameters of a decision. Times are estimates.
type Input struct {
	Blocks       int           // full blocks of the prompt
	CachedBlocks int           // leading blocks that the target already holds
	StoredBlocks int           // leading blocks that a store holds
	TailTokens   int           // tokens after the last full block
	BlockTokens  int           // tokens per block
	PrefillRate  float64       // prefill rate of the target in tokens per second
	QueueWait    time.Duration // wait in the target's queue
	TransferWait time.Duration // time before the first block arrives: network delay and the link's queue
	BlockTime    time.Duration // time per block after that: transfer and import
}

// Plan is the result of a decision.
type Plan struct {
	FetchBlocks      int           // number of blocks to fetch after the cached ones
	TimeToFirstToken time.Duration // time from now until the prompt is prefilled
	RecomputeTime    time.Duration // the same time without fetching
}

// Savings returns the time that fetching saves over recomputing.
func (p Plan) Savings() time.Duration { return p.RecomputeTime - p.TimeToFirstToken }

// minSavingsShare is the share of the time to first token that a fetch must save to justify its use of the link.
const minSavingsShare = 0.02

// Decide returns the plan with the shortest time to first token. It fetches nothing if the savings are below
// minSavingsShare.
func Decide(in Input) Plan {
	best := Plan{TimeToFirstToken: in.timeToFirstToken(0)}
	best.RecomputeTime = best.TimeToFirstToken
	for n := 1; in.CachedBlocks+n <= min(in.StoredBlocks, in.Blocks); n++ {
		if t := in.timeToFirstToken(n); t < best.TimeToFirstToken {
			best.FetchBlocks, best.TimeToFirstToken = n, t
		}
	}
	if float64(best.Savings()) < minSavingsShare*float64(best.RecomputeTime) {
		best.FetchBlocks, best.TimeToFirstToken = 0, best.RecomputeTime
	}
	return best
}

// timeToFirstToken returns the time to first token if n blocks are fetched.
func (in Input) timeToFirstToken(n int) time.Duration {
	ready := time.Duration(0)
	if n > 0 {
		ready = in.TransferWait + time.Duration(n)*in.BlockTime
	}
	return max(in.QueueWait, ready) + in.prefillTime(n)
}

// prefillTime returns the time to compute the tokens that are neither cached nor fetched.
func (in Input) prefillTime(fetched int) time.Duration {
	tokens := (in.Blocks-in.CachedBlocks-fetched)*in.BlockTokens + in.TailTokens
	if tokens <= 0 || in.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / in.PrefillRate * float64(time.Second))
}

// minBlockTimeout is the lower bound of block timeouts, so that a fetch of few blocks survives ordinary delays.
const minBlockTimeout = 20 * time.Millisecond

// BlockTimeout returns how long to wait for the next block before abandoning the remaining blocks of a fetch:
// the wait in the target's queue plus the time to compute the remaining blocks. Waiting that long and then
// computing takes at most twice as long as the better of the two choices.
func BlockTimeout(in Input, remaining int) time.Duration {
	rest := in
	rest.CachedBlocks = in.Blocks - remaining
	rest.TailTokens = 0
	return max(in.QueueWait+rest.prefillTime(0), minBlockTimeout)
}

// Parameters of a fetch that reads runs of blocks from two stores at once.
const (
	maxRunBlocks         = 8 // longest run in blocks
	runDivisor           = 4 // a run is the remaining blocks divided by this, so that both stores finish at about the same time
	switchTimeoutRuns    = 4 // timeout for one block, in times of a run of maxRunBlocks
	minSecondStoreBlocks = 8 // fewest blocks to fetch for which a second store is queried
)

// RunLength returns how many blocks to request next from one of two stores that are read at the same time.
// remaining is the number of blocks that have not been requested from either store; the result is at least 1.
func RunLength(remaining int) int { return min(max(remaining/runDivisor, 1), maxRunBlocks) }

// UseSecondStore reports whether a part of the blocks should be fetched from a second store.
func UseSecondStore(in Input) bool { return Decide(in).FetchBlocks >= minSecondStoreBlocks }

// SwitchTimeout returns how long to wait for the next block from one store before leaving the remaining blocks to another
// store that is read at the same time. in.BlockTime is the time per block of both stores together.
func SwitchTimeout(in Input) time.Duration {
	return max(switchTimeoutRuns*maxRunBlocks*in.BlockTime, minBlockTimeout)
}
