package once

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/world"
)

// TestRecordedTimes: a recorded time only bounds when the move was accepted, because an operator's clock may be wrong.
func TestRecordedTimes(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	w := &world.World{FailureDomains: map[string]*world.FailureDomain{"d": {Name: "d"}}}
	svc := &world.Service{Name: testService, Targets: []*world.Target{{Name: "a", FailureDomain: "d"}}}
	for _, tc := range []struct{ ago, want time.Duration }{
		{time.Hour, time.Hour - RecordTolerance}, {time.Second, 0}, {-time.Hour, 0},
	} {
		svc.Homes = &world.HomeHistory{From: 1, Moves: []world.HomeMove{{Revision: 4, At: now.Add(-tc.ago), Joined: []string{"a"}}}}
		g := RecordedGenerations(w, svc, now)
		if len(g) != 2 || !g[0].Began.Equal(now.Add(-tc.want)) || g[0].Revision != 4 || len(g[0].Targets) != 1 {
			t.Errorf("a move recorded %v ago: %+v", tc.ago, g)
		}
		if !g[1].Began.IsZero() || g[1].Revision != 1 || len(g[1].Targets) != 0 {
			t.Errorf("the first generation: %+v", g[1])
		}
	}
}
