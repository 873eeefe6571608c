package gateway

import "testing"

// A target that refused because of its weight version may be retried with the version that is known since; another target at a reused address
// must not be. Guards against a retry that asks for the same version again, and uses up the request's attempts.
func TestRetriesSameTargetAfterWeightMismatch(t *testing.T) {
	intended := &target{id: "here"}
	for _, c := range []struct {
		name    string
		outcome attemptOutcome
		reply   Reply
		changed bool
		want    bool
	}{
		{"other weights", attemptNotRun, Reply{Misdirected: true, WeightVersion: 2, Target: "here"}, true, true},
		{"other weights, no name", attemptNotRun, Reply{Misdirected: true, WeightVersion: 2}, true, true},
		{"another target at the address", attemptNotRun, Reply{Misdirected: true, WeightVersion: 2, Target: "there"}, true, false},
		{"full", attemptNotRun, Reply{Target: "here", WeightVersion: 2}, true, false},
		{"perhaps run", attemptUnknown, Reply{Misdirected: true, WeightVersion: 2}, true, false},
		{"other weights, which are not known", attemptNotRun, Reply{Misdirected: true, WeightVersion: 2, Target: "here"}, false, false},
	} {
		if got := (&attempt{target: intended, outcome: c.outcome, reply: c.reply, versionChanged: c.changed}).retrySameTarget(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
