package membudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const memory = 184 << 20

// Guards against callers that are cut while they read, and against ones that are cut only after the target has given up.
func TestStallLimits(t *testing.T) {
	for name, c := range map[string]struct {
		targetWaits, progress bool
		after                 time.Duration
		want                  Reason
	}{
		"short pause":                {true, false, 2 * time.Second, Keep},
		"target waits":               {true, false, 2500 * time.Millisecond, TargetWaits},
		"no target waits":            {false, false, 59 * time.Second, Keep},
		"reads nothing for a minute": {false, false, time.Minute, CallerStops},
		"reads a little each second": {true, true, 5 * time.Minute, Keep},
	} {
		b := New(memory)
		b.Open(1, 1000)
		got := Keep
		for d := time.Duration(0); d <= c.after && got == Keep; d += 250 * time.Millisecond {
			progressed := c.progress && d%time.Second == 0
			stall := Stall{Since: start, Progressed: progressed, KernelBytes: 10}
			if c.targetWaits {
				stall.TargetSince = start
			}
			got = b.RecordStall(1, stall, start.Add(d))
		}
		if got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against cutting anyone while memory is not short, against cutting more than needed, and against cutting readers before those
// that read nothing.
func TestVictims(t *testing.T) {
	b := New(1000) // covers 500 bytes; short above 375
	for id := ConnID(1); id <= 3; id++ {
		b.Open(id, 100)
		b.RecordStall(id, Stall{Since: start.Add(time.Duration(3-id) * time.Second)}, start.Add(4*time.Second))
	}
	b.RecordStall(3, Stall{Progressed: true}, start.Add(4*time.Second))
	if got := b.Victims(start.Add(5 * time.Second)); len(got) != 0 {
		t.Errorf("%v cut while memory is not short", got)
	}
	b.Open(4, 100)
	got := b.Victims(start.Add(5 * time.Second))
	if len(got) != 1 || got[0] != 2 {
		t.Errorf("%v cut, want 2, which is without progress for the longest time", got)
	}
	if got := b.Victims(start.Add(5 * time.Second)); len(got) != 0 {
		t.Errorf("%v cut although what is being cut suffices", got)
	}
	b.Open(5, 200)
	if got := b.Victims(start.Add(5 * time.Second)); len(got) != 1 || got[0] != 1 {
		t.Errorf("%v cut, want 1 alone: 3 has just read", got)
	}
	if b.RecordStall(2, Stall{}, start.Add(5*time.Second)) != MemoryShort {
		t.Error("a connection that was chosen is kept")
	}
}

// Guards against requests that are admitted into the reserve of those already admitted, and against bytes that are never returned.
func TestAdmission(t *testing.T) {
	b := New(1000)
	b.Open(1, 0)
	if !b.Admit(1, 450) || b.Admit(1, 1) {
		t.Error("requests are admitted up to another limit than nine tenths")
	}
	if !b.Grow(1, 50) || b.Grow(1, 1) {
		t.Error("admitted requests grow to another limit than the whole budget")
	}
	b.Release(1, 100)
	if b.Used() != 400 || b.Peak() != 500 {
		t.Errorf("used %d, peak %d", b.Used(), b.Peak())
	}
	b.Close(1)
	if b.Used() != 0 {
		t.Errorf("%d bytes held after the last connection", b.Used())
	}
	if unlimited := New(0); !unlimited.Fits(1<<40) || len(unlimited.Victims(start)) != 0 {
		t.Error("a budget without a limit refuses")
	}
}

// Guards against an account that drifts: random sequences of all calls must leave nothing held and never exceed the limit.
func TestAccountIsConsistent(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, now := New(20000), start
		for id := ConnID(1); id <= 20; id++ {
			b.Open(id, 10)
		}
		for range 2000 {
			id := ConnID(1 + rng.IntN(20))
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			switch rng.IntN(7) {
			case 0:
				b.Admit(id, rng.Int64N(3000))
			case 1:
				b.Grow(id, rng.Int64N(3000))
			case 2:
				b.Release(id, rng.Int64N(2000))
			case 3:
				b.RecordStall(id, Stall{Since: now.Add(-time.Second), Progressed: rng.IntN(4) == 0, TargetSince: now.Add(-time.Second), KernelBytes: 500}, now)
			case 4:
				b.RecordWritten(id)
			case 6:
				b.GrowOptional(id, rng.Int64N(3000))
			case 5:
				for _, victim := range b.Victims(now) {
					b.Close(victim)
					b.Open(victim, 10)
				}
			}
			if b.Used() > b.Limit()+20*10 || // connections are always counted
				b.Used() < 0 || b.condemned < 0 || b.condemned > b.used {
				t.Fatalf("seed %d: used %d, condemned %d of %d", seed, b.used, b.condemned, b.limit)
			}
		}
		for id := ConnID(1); id <= 20; id++ {
			b.Close(id)
		}
		if b.used != 0 || b.condemned != 0 || b.wanted != 0 || b.blocked.Len() != 0 {
			t.Fatalf("seed %d: %d bytes, %d condemned, %d blocked left", seed, b.used, b.condemned, b.blocked.Len())
		}
	}
}

// Guards against a connection that stays condemned although its write went through before it was cut: all its later requests would be refused, and what
// it holds would not be counted.
func TestVictimWhoseCallerReadsIsKept(t *testing.T) {
	const memoryBytes = 2000 // half of it is the budget
	for name, read := range map[string]func(b *Budget, now time.Time){
		"write ends":     func(b *Budget, _ time.Time) { b.RecordWritten(1) },
		"some are taken": func(b *Budget, now time.Time) { b.RecordStall(1, Stall{Since: start, Progressed: true}, now) },
	} {
		b, now := New(memoryBytes), start.Add(5*time.Second)
		b.Open(1, 10)
		b.Admit(1, 800)
		b.RecordStall(1, Stall{Since: start, KernelBytes: 100}, start)
		if victims := b.Victims(now); len(victims) != 1 {
			t.Fatalf("%s: victims %v, want the blocked connection", name, victims)
		}
		read(b, now)
		if reason := b.RecordStall(1, Stall{Since: now, KernelBytes: 0}, now); reason != Keep || b.condemned != 0 {
			t.Errorf("%s: %v, %d bytes condemned, want it kept", name, reason, b.condemned)
		}
	}
}
