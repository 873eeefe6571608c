package gateway

import "testing"

// Guards against overloading a store that accepts few concurrent readers: many instances together must not exceed its limit on
// average, with polls long enough not to count as probes.
func TestPollingStaysWithinReaderLimit(t *testing.T) {
	for _, c := range []struct{ instances, readers int }{{1, 12}, {5, 12}, {9, 12}, {10, 12}, {27, 12}, {76, 12}, {8, 4}} {
		p := planPolling(c.instances, c.readers)
		readersInUse := float64(c.instances) * p.wait.Seconds() / (p.wait + p.pause).Seconds()
		if readersInUse > float64(c.readers) {
			t.Errorf("%d instances take up %.1f readers of %d on average", c.instances, readersInUse, c.readers)
		}
		if p.wait < shortPollWait || p.pause <= 0 {
			t.Errorf("%d instances: %+v", c.instances, p)
		}
	}
}
