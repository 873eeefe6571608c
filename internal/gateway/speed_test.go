package gateway

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/departure"
)

// TestSpeedInAnyAnswer guards against speeds that are known only from answers to requests: they are old at targets with few of them.
func TestSpeedInAnyAnswer(t *testing.T) {
	s := NewState(StateOptions{})
	engine := &target{id: "a", born: 5, incarnation: departure.IncarnationOf("a", "x", 5), limit: s.limits.register("a", 0)}
	now := time.Now()
	s.observeNotice(engine, Notice{Speed: 2.5}, 4, now)
	if _, age := engine.speed.Slowdown(0, now); age >= 0 {
		t.Error("speed of another incarnation")
	}
	s.observeNotice(engine, Notice{Speed: 2.5}, 5, now)
	s.observeNotice(engine, Notice{}, 5, now)
	if slowdown, age := engine.speed.Slowdown(0, now); slowdown != 2.5 || age != 0 {
		t.Errorf("slowdown %v, age %v", slowdown, age)
	}
}
