package gateway

import "testing"

// A target that has loaded other weights is asked again; another target at a reused address is not.
func TestSameTargetIsAskedAgain(t *testing.T) {
	here := &target{id: "here"}
	for _, c := range []struct {
		name  string
		fate  fate
		reply Reply
		want  bool
	}{
		{"other weights", fateNotRun, Reply{Misdirected: true, Weights: 2, Target: "here"}, true},
		{"other weights, no name", fateNotRun, Reply{Misdirected: true, Weights: 2}, true},
		{"another target at the address", fateNotRun, Reply{Misdirected: true, Weights: 2, Target: "there"}, false},
		{"full", fateNotRun, Reply{Target: "here", Weights: 2}, false},
		{"perhaps run", fateUnknown, Reply{Misdirected: true, Weights: 2}, false},
	} {
		if got := (&try{target: here, fate: c.fate, reply: c.reply}).sameTarget(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
