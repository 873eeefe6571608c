package mix64

import "testing"

// Guards against a change of the values, since instances of other versions compute the same hashes.
func TestSum(t *testing.T) {
	for x, want := range map[uint64]uint64{0x0: 0x0, 0x1: 0x5692161d100b05e5, 0xdeadbeef: 0x4e062702ec929eea, 0x8000000000000000: 0x25c26ea579cea98a} {
		if got := Sum(x); got != want {
			t.Errorf("Sum(%#x) = %#x, want %#x", x, got, want)
		}
	}
}
