package directory

import "math"

// score is the weight of a store in rendezvous hashing: a store gets parts in proportion to its capacity.
func score(hash uint64, capacity int) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(capacity) / math.Log(uniform)
}
