package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkBegin measures the time of a key from Begin to the stored answer while the ledger is full of live keys, and
// the memory of a key with an answer of 256 bytes.
func BenchmarkBegin(b *testing.B) {
	const held = 100_000
	homes := NewHomes(Generation{Revision: 1, Targets: []string{"a"}})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := newTestLedger(homes, func(o *Options) { o.MaxKeys, o.MaxBytes = held, held*256 })
	now := epoch
	step := l.retention() / held
	body := func() *Answer { return &Answer{Status: 200, Body: make([]byte, 256)} }
	runRequest := func(i int) {
		// The step makes the oldest key expire as each new one begins.
		now = now.Add(step + time.Nanosecond)
		k := testKey(fmt.Sprintf("booking-%d", i))
		l.Begin(BeginRequest{Key: k, ReadAt: now}, now)
		l.Finish(k, body())
	}
	for i := range held {
		runRequest(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := held
	for b.Loop() {
		runRequest(i)
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/held, "bytes/key")
	b.ReportMetric(float64(l.Len()), "keys")
}

// BenchmarkHome measures the lookup of the home of a key.
func BenchmarkHome(b *testing.B) {
	for _, n := range []int{3, 18, 360} {
		var targets []string
		for i := range n {
			targets = append(targets, fmt.Sprintf("target-%04d", i))
		}
		h := NewHomes(Generation{Revision: 1, Targets: targets})
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				h.HomeOf(testKey("booking-17"))
			}
		})
	}
}

// The bookings experiment: bookings at a constant rate, during which the key-value service is down once and the home of
// the keys restarts twice, first as planned and then by a crash.
const (
	bookingCount     = 6000
	bookingInterval  = 20 * time.Millisecond
	outageStart      = 20 * time.Second
	outageEnd        = 50 * time.Second
	plannedRestartAt = 70 * time.Second
	crashAt          = 95 * time.Second
	restartDuration  = time.Second
	keyAge           = 2 * time.Second // age of a key when its booking begins
)

// bookingCounts counts the first results of the bookings, and the writes to the key-value service.
type bookingCounts struct{ landed, notRun, unknown, writes int }

func (o bookingCounts) report(b *testing.B) {
	b.ReportMetric(float64(o.landed)*100/bookingCount, "landed-%")
	b.ReportMetric(float64(o.notRun)*100/bookingCount, "not-run-%")
	b.ReportMetric(float64(o.unknown)*100/bookingCount, "unknown-%")
	b.ReportMetric(float64(o.writes), "kv-writes")
}

// BenchmarkBookings compares ledgers, for keys with and without a creation time, with claiming each key in the
// key-value service.
func BenchmarkBookings(b *testing.B) {
	var o bookingCounts
	b.Run("ledger/timed", func(b *testing.B) {
		for b.Loop() {
			o = bookByLedger(b, true)
		}
		o.report(b)
	})
	b.Run("ledger/untimed", func(b *testing.B) {
		for b.Loop() {
			o = bookByLedger(b, false)
		}
		o.report(b)
	})
	b.Run("claim-per-key", func(b *testing.B) {
		for b.Loop() {
			o = bookByClaimPerKey()
		}
		o.report(b)
	})
}

// homeDown reports whether the home is down at time d of the experiment.
func homeDown(d time.Duration) bool {
	planned := d >= plannedRestartAt && d < plannedRestartAt+restartDuration
	return planned || d >= crashAt && d < crashAt+restartDuration
}

// bookByLedger runs the bookings through the ledgers of the home.
func bookByLedger(b *testing.B, timed bool) (o bookingCounts) {
	l := newTestLedger(nil, func(o *Options) { o.MaxKeys, o.MaxBytes = bookingCount, 1<<20 })
	incarnation := l.opts.Incarnation
	for i := range bookingCount {
		d := time.Duration(i) * bookingInterval
		if homeDown(d) {
			o.notRun++
			continue
		}
		if d >= plannedRestartAt && l.opts.Incarnation == incarnation {
			l = startSuccessor(b, l, d, true)
			o.writes += 2 // the handover and its claim
		}
		if d >= crashAt && l.opts.Incarnation == incarnation+1 {
			l = startSuccessor(b, l, d, false)
			o.writes++ // the claim
		}
		id := fmt.Sprintf("booking-%d", i)
		if timed {
			id = timedID(atOffset(d-keyAge), i)
		}
		switch l.Begin(BeginRequest{Key: testKey(id), ReadAt: atOffset(d)}, atOffset(d)).Verdict {
		case Run:
			l.Finish(testKey(id), nil)
			o.landed++
		case OutcomeUnknown:
			o.unknown++
		}
	}
	return o
}

// bookByClaimPerKey counts the results if each key is claimed by a write to the key-value service.
func bookByClaimPerKey() (o bookingCounts) {
	for i := range bookingCount {
		d := time.Duration(i) * bookingInterval
		if homeDown(d) || d >= outageStart && d < outageEnd {
			o.notRun++
			continue
		}
		o.landed++
		o.writes++
	}
	return o
}

// startSuccessor returns the ledger of the next incarnation, which adopts the handover after a planned stop.
func startSuccessor(b *testing.B, old *Ledger, d time.Duration, planned bool) *Ledger {
	next := newTestLedger(old.homes, func(o *Options) {
		o.Incarnation, o.FirstIncarnation, o.Started = old.opts.Incarnation+1, false, atOffset(d-restartDuration)
		o.MaxKeys, o.MaxBytes, o.HandoverWait = bookingCount, 1<<20, 10*time.Second
	})
	if !planned {
		next.NoHandover()
		return next
	}
	old.Close()
	encoded, err := old.Export(atOffset(d), 1<<20)
	if err != nil {
		b.Fatal(err)
	}
	if err := next.Adopt(encoded, atOffset(d)); err != nil {
		b.Fatal(err)
	}
	return next
}
