package gateway

import "testing"

// A target that refused because of its weight version may be retried; another target at a reused address must not be.
func TestRetriesSameTargetAfterWeightMismatch(t *testing.T) {
	intended := &target{id: "here"}
	for _, c := range []struct {
		name    string
		outcome attemptOutcome
		reply   Reply
		want    bool
	}{
		{"other weights", attemptNotRun, Reply{Misdirected: true, WeightVersion: 2, Target: "here"}, true},
		{"other weights, no name", attemptNotRun, Reply{Misdirected: true, WeightVersion: 2}, true},
		{"another target at the address", attemptNotRun, Reply{Misdirected: true, WeightVersion: 2, Target: "there"}, false},
		{"full", attemptNotRun, Reply{Target: "here", WeightVersion: 2}, false},
		{"perhaps run", attemptUnknown, Reply{Misdirected: true, WeightVersion: 2}, false},
	} {
		if got := (&attempt{target: intended, outcome: c.outcome, reply: c.reply}).retrySameTarget(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
