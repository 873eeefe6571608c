package soak

import "testing"

// Guards against a load balancer that takes too many instances out of rotation: if fewer than half are ready, it uses all.
func TestRotation(t *testing.T) {
	for _, c := range []struct{ instances, ready, want int }{{4, 4, 4}, {4, 3, 3}, {4, 2, 2}, {4, 1, 4}, {4, 0, 4}, {5, 3, 3}, {5, 2, 5}, {1, 0, 1}} {
		f := &fleet{}
		for i := range c.instances {
			in := &instance{}
			in.ready.Store(i < c.ready)
			f.instances = append(f.instances, in)
		}
		if got := len(f.rotation()); got != c.want {
			t.Errorf("%d of %d instances ready: %d in rotation, want %d", c.ready, c.instances, got, c.want)
		}
	}
}
