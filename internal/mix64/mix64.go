// Package mix64 holds the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number
// generators", 2014). Rendezvous hashing uses it to spread the bits of two combined hashes. All instances, also of different
// versions, must compute the same values, since the homes of keys and the choice of
// connections are derived from them.
package mix64

// Sum returns the mixed bits of x.
func Sum(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
