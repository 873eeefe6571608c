package trial

import (
	"fmt"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/admission"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/fairness"
	"github.com/egrethoist/egrethoist/internal/limit"
	"github.com/egrethoist/egrethoist/internal/liveness"
	"github.com/egrethoist/egrethoist/internal/membership"
	"github.com/egrethoist/egrethoist/internal/world"
)

func BenchmarkAdmission(b *testing.B) {
	c := admission.New(coldOptions)
	c.ObserveLoad(engine.LoadReport{Incarnation: "a", Versions: []string{"v"}}, epoch)
	s := admission.Sample{Outcome: admission.OutcomeCompleted, Latency: time.Second, Expected: time.Second}
	for b.Loop() {
		t, _ := c.Admit(epoch)
		c.Release(epoch, t, s)
	}
}

func BenchmarkQueue(b *testing.B) {
	for _, workspaces := range []int{10, 200} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			q := fairness.New[int](fairness.Options{MaxItems: 256})
			q.SetSlots(1 << 20)
			add := func(i int) {
				q.Enqueue(&fairness.Item[int]{Workspace: fmt.Sprint(i % workspaces), Cost: time.Second, Deadline: epoch.Add(time.Hour)}, epoch)
			}
			for i := range 200 {
				add(i)
			}
			for i := 0; b.Loop(); i++ {
				add(i)
				it, _ := q.Next(epoch)
				q.Done(it, time.Second)
			}
		})
	}
}

func BenchmarkLimit(b *testing.B) {
	ws := &world.Workspace{Name: "a", MaxInFlight: 1000, RequestsPerSec: 1e9}
	s := limit.NewSet(&world.World{Workspaces: map[string]*world.Workspace{"a": ws}}, nil)
	now := epoch
	for b.Loop() {
		now = now.Add(time.Microsecond)
		s.Acquire("a", now).Lease.Release()
	}
}

func BenchmarkTick(b *testing.B) {
	for _, conns := range []int{20, 200} {
		b.Run(fmt.Sprint(conns), func(b *testing.B) {
			m := liveness.NewMonitor(liveness.Options{})
			for range conns {
				m.Open("peer", epoch)
			}
			for b.Loop() {
				m.Tick(epoch)
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	w := &world.World{Targets: map[string]*world.Target{}, FailureDomains: map[string]*world.FailureDomain{"d": {}}}
	for i := range 3200 {
		w.Targets[fmt.Sprint(i)] = &world.Target{FailureDomain: "d"}
	}
	v := membership.New(membership.Options{})
	v.SetWorld(w, epoch)
	for b.Loop() {
		v.Snapshot(epoch)
	}
}
