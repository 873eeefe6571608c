package gateway

import "testing"

// Many instances read one store that holds few readings at once: together they hold no more than that on average, each
// long enough not to count as a probe.
func TestPollingStaysWithinReaderLimit(t *testing.T) {
	for _, c := range []struct{ instances, readers int }{{1, 12}, {5, 12}, {9, 12}, {10, 12}, {27, 12}, {76, 12}, {8, 4}} {
		p := planPolling(c.instances, c.readers)
		held := float64(c.instances) * p.wait.Seconds() / (p.wait + p.pause).Seconds()
		if held > float64(c.readers) {
			t.Errorf("%d instances hold %.1f readings of %d", c.instances, held, c.readers)
		}
		if p.wait < shortPollWait || p.pause <= 0 {
			t.Errorf("%d instances: %+v", c.instances, p)
		}
	}
}
