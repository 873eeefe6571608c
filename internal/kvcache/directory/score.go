package directory

import "math"

// score returns the score of a store in weighted rendezvous hashing. The highest score wins, and stores win in proportion
// to their capacity.
func score(hash uint64, capacity int) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(capacity) / math.Log(uniform)
}
