package sidecar

import (
	"testing"
	"testing/synctest"

	"github.com/egrethoist/egrethoist/internal/platform/memory"
)

// TestFirstIncarnation guards against two incarnations that both count as the first one, and against needless writes,
// when the key-value service loses answers, is down or returns stale reads.
func TestFirstIncarnation(t *testing.T) {
	type start struct {
		incarnation uint64
		fault       func(f *memory.Faults)
		first       bool
		fails       bool
		writes      int // total number of writes counted by the service so far
	}
	loseAnswer := func(f *memory.Faults) { f.LoseAnswers = 1 }
	down := func(f *memory.Faults) { f.Down = true }
	stale := func(f *memory.Faults) { f.Stale = true }
	for name, starts := range map[string][]start{
		"first and later":    {{incarnation: 1, first: true, writes: 1}, {incarnation: 2, writes: 1}, {incarnation: 3, writes: 1}},
		"lost answer":        {{incarnation: 1, fault: loseAnswer, first: true, writes: 1}, {incarnation: 2, writes: 1}},
		"asked again":        {{incarnation: 1, first: true, writes: 1}, {incarnation: 1, first: true, writes: 1}},
		"service down":       {{incarnation: 1, fault: down, fails: true}, {incarnation: 2, first: true, writes: 1}},
		"stale and absent":   {{incarnation: 1, fault: stale, first: true, writes: 1}, {incarnation: 2, fault: stale, fails: true, writes: 2}},
		"stale after a mark": {{incarnation: 1, first: true, writes: 1}, {incarnation: 2, fault: stale, writes: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memory.NewKV(memory.Options{})
				for _, st := range starts {
					if st.fault == nil {
						st.fault = func(f *memory.Faults) { *f = memory.Faults{} }
					}
					kv.SetFaults(st.fault)
					s := &Sidecar{opts: Options{Name: "app-01", KV: kv, Incarnation: st.incarnation}}
					first, err := s.claimFirstIncarnation(t.Context())
					if first != st.first || (err != nil) != st.fails {
						t.Errorf("incarnation %d: got first %v, error %v", st.incarnation, first, err)
					}
					if n := kv.Counts().Writes; int(n) != st.writes {
						t.Errorf("incarnation %d: %d writes, want %d", st.incarnation, n, st.writes)
					}
				}
			})
		})
	}
}
