package linkbudget

import (
	"testing"
	"time"
)

const (
	pieceBytes     = int64(32 << 20)
	gigabytePerSec = 1e9
)

var start = time.Unix(1e9, 0)

// fifoLink is a shared link that transfers pieces in the order in which they are requested.
type fifoLink struct {
	rate   float64
	freeAt time.Time
	busy   time.Duration
}

func (f *fifoLink) send(now time.Time, bytes int64) time.Duration {
	if f.freeAt.Before(now) {
		f.freeAt = now
	}
	d := seconds(float64(bytes) / f.rate)
	f.freeAt = f.freeAt.Add(d)
	f.busy += d
	return f.freeAt.Sub(now)
}

// simulation runs background senders that always have something to send, and one periodic reader of class Deadline.
type simulation struct {
	link        *fifoLink
	senders     []*Link
	reader      *Link
	readTimes   []time.Duration // elapsed time of each of the reader's pieces
	sentBytes   int64
	sentBytesBy []int64
	nextRead    time.Time
	busyUntil   []time.Time
}

func newSimulation(n int, rate float64) *simulation {
	u := &simulation{link: &fifoLink{rate: rate}, sentBytesBy: make([]int64, n), busyUntil: make([]time.Time, n), nextRead: start}
	for range n {
		u.senders = append(u.senders, New(Options{BytesPerSec: rate, Users: n + 1}, start))
	}
	u.reader = New(Options{BytesPerSec: rate, Users: n + 1}, start)
	return u
}

func (u *simulation) run(from, to time.Time, readPeriod time.Duration) {
	type sending struct{ elapsed time.Duration }
	pending := make([]sending, len(u.senders))
	for now := from; now.Before(to); now = now.Add(time.Millisecond) {
		for i, s := range u.senders {
			if now.Before(u.busyUntil[i]) {
				continue
			}
			if pending[i].elapsed > 0 {
				s.Observe(now, Background, pieceBytes, pending[i].elapsed)
				pending[i].elapsed = 0
			}
			if s.Take(now, Background, pieceBytes) > 0 {
				continue
			}
			e := u.link.send(now, pieceBytes)
			pending[i].elapsed = e
			u.busyUntil[i] = now.Add(e)
			u.sentBytes += pieceBytes
			u.sentBytesBy[i] += pieceBytes
		}
		if readPeriod > 0 && !now.Before(u.nextRead) {
			e := u.link.send(now, pieceBytes)
			u.reader.Observe(now.Add(e), Deadline, pieceBytes, e)
			u.readTimes = append(u.readTimes, e)
			u.nextRead = now.Add(max(readPeriod, e))
		}
	}
}

// Guards against background senders that leave the link idle, saturate it or starve each other.
func TestBackgroundSendersShareLink(t *testing.T) {
	u := newSimulation(10, 5*gigabytePerSec)
	u.run(start, start.Add(60*time.Second), 0)
	utilization := u.link.busy.Seconds() / 60
	if utilization < 0.5 || utilization > 0.95 {
		t.Errorf("utilization of the link with ten background senders is %.2f, want 0.5 to 0.95", utilization)
	}
	for i, b := range u.sentBytesBy {
		if mean := float64(u.sentBytes) / 10; float64(b) < mean/2 || float64(b) > mean*2 {
			t.Errorf("sender %d sent %d bytes, mean %.0f", i, b, mean)
		}
	}
}

// Guards against background senders that keep their rate when reads with a deadline need the link.
func TestDeadlineTransfersTakePriority(t *testing.T) {
	u := newSimulation(10, 5*gigabytePerSec)
	u.run(start, start.Add(30*time.Second), 0) // background senders only
	u.readTimes = nil
	u.run(start.Add(30*time.Second), start.Add(60*time.Second), 10*time.Millisecond) // then reads use most of the link
	unqueued := seconds(float64(pieceBytes) / (5 * gigabytePerSec))
	late := 0
	for _, w := range u.readTimes[len(u.readTimes)/10:] {
		if w > 8*unqueued {
			late++
		}
	}
	if share := float64(late) / float64(len(u.readTimes)); share > 0.05 {
		t.Errorf("%.3f of the reads took more than 8 times their transfer time without a queue, want at most 0.05", share)
	}
}

// Guards against an estimate that stays high after the link became ten times slower, whether pieces still finish or the
// current one stalls, and against one that stays low without samples.
func TestEstimateFollowsSlowdownWithinASecond(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		l := New(Options{BytesPerSec: 5 * gigabytePerSec, Users: 10}, start)
		now := start
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			l.Observe(now, Deadline, pieceBytes, seconds(float64(pieceBytes)/(5*gigabytePerSec)))
		}
		slowFrom, slow := now, seconds(float64(pieceBytes)/(0.5*gigabytePerSec))
		for now.Sub(slowFrom) < time.Second {
			if stalled {
				now = now.Add(100 * time.Millisecond)
				l.ObserveStalled(now, pieceBytes, now.Sub(slowFrom))
				continue
			}
			now = now.Add(slow)
			l.Observe(now, Deadline, pieceBytes, slow)
		}
		if got := l.Rate(now); got > 0.75*gigabytePerSec {
			t.Errorf("stalled %v: estimate %.2f GB/s one second after the link slowed to 0.5 GB/s", stalled, got/gigabytePerSec)
		}
		if !stalled && l.BackgroundRate() > 0.25*gigabytePerSec {
			t.Errorf("background rate is still %.2f GB/s on a link of 0.5 GB/s", l.BackgroundRate()/gigabytePerSec)
		}
		if got := l.Rate(now.Add(time.Minute)); got < 4*gigabytePerSec {
			t.Errorf("estimate %.2f GB/s after a minute without samples, want at least 4", got/gigabytePerSec)
		}
	}
}

// Guards against an estimate for fetches that includes the low rate of exports, which yield to other transfers.
func TestBackgroundTransfersDontLowerEstimate(t *testing.T) {
	l := New(Options{BytesPerSec: 5 * gigabytePerSec, Users: 10}, start)
	now := start
	for range 100 {
		now = now.Add(time.Second)
		l.Observe(now, Background, pieceBytes, time.Second)
	}
	if got := l.Rate(now); got < 4*gigabytePerSec {
		t.Errorf("estimate %.2f GB/s after slow exports, want at least 4", got/gigabytePerSec)
	}
}

// A piece of an export queues behind one window of a fetch, on a link whose delay is longer than that queue. Guards against
// a delay that hides the queue from the export.
func TestExportPausesAfterQueuedPiece(t *testing.T) {
	const small, window = 256 << 10, 4 << 20
	l := New(Options{BytesPerSec: 4 * gigabytePerSec, Delay: 1500 * time.Microsecond, Users: 18}, start)
	unqueued := seconds(small / (4 * gigabytePerSec))
	queued := seconds((small + window) / (4 * gigabytePerSec))
	now := start.Add(time.Second)
	l.Observe(now, Background, small, unqueued)
	if w := l.Take(now, Background, small); w != 0 {
		t.Fatalf("next piece must wait %v after a piece that met no queue", w)
	}
	now = now.Add(queued)
	l.Observe(now, Background, small, queued)
	if w := l.Take(now, Background, small); w != exportPause {
		t.Errorf("next piece must wait %v after a piece that queued behind a fetch, want %v", w, exportPause)
	}
}

// Guards against exports that start while others use the link: before a piece a call must show whether there is a queue.
func TestProbeDetectsQueue(t *testing.T) {
	const small, window = 256 << 10, 4 << 20
	l := New(Options{BytesPerSec: 4 * gigabytePerSec, Delay: 1500 * time.Microsecond, Users: 18}, start)
	callTime, queueTime := 3*time.Millisecond, seconds(window/(4*gigabytePerSec))
	pieceTime := seconds(small / (4 * gigabytePerSec))
	now := start.Add(time.Second)
	if !l.NeedsProbe(now) {
		t.Error("no probe needed before the first piece")
	}
	l.ObserveProbe(now, callTime)
	if w := l.Take(now, Background, small); w != 0 || l.NeedsProbe(now) {
		t.Errorf("exports must wait %v, or probe again, after a probe that met no queue", w)
	}
	now = now.Add(pieceTime)
	if l.Observe(now, Background, small, pieceTime); l.NeedsProbe(now) {
		t.Error("probe needed after a piece that met no queue")
	}
	if !l.NeedsProbe(now.Add(time.Second)) {
		t.Error("no probe needed long after the last piece")
	}
	now = now.Add(queueTime)
	if l.Observe(now, Background, small, queueTime+pieceTime); !l.NeedsProbe(now) {
		t.Error("no probe needed after a piece that met a queue")
	}
	now = now.Add(exportPause)
	backgroundRate := l.BackgroundRate()
	l.ObserveProbe(now, callTime+queueTime)
	if w := l.Take(now, Background, small); w != exportPause || !l.NeedsProbe(now) || l.BackgroundRate() != backgroundRate {
		t.Errorf("exports must wait %v after a probe that met a queue, want %v, a new probe and an unchanged rate", w, exportPause)
	}
	if l.ObserveProbe(now.Add(exportPause), callTime+timingNoise); l.NeedsProbe(now.Add(exportPause)) {
		t.Error("timing noise taken for a queue")
	}
	// A network path that has become longer must not be taken for a queue forever.
	from := now
	for free := false; !free; free = !l.NeedsProbe(now) {
		now = now.Add(time.Second)
		if l.ObserveProbe(now, 2*callTime); now.Sub(from) > 3*baselineWindow {
			t.Fatal("exports still pause because of a longer path")
		}
	}
}

// Guards against a token bucket that delays deadlines, never sends pieces larger than itself, or exceeds its rate.
func TestTake(t *testing.T) {
	l := New(Options{BytesPerSec: gigabytePerSec, Users: 10}, start)
	if w := l.Take(start, Deadline, 1<<40); w != 0 {
		t.Errorf("transfer with a deadline must wait %v", w)
	}
	now := start.Add(time.Hour)
	if w := l.Take(now, Background, 1<<30); w != 0 {
		t.Errorf("large piece must wait %v although the bucket is full", w)
	}
	if w := l.Take(now, Background, 1); w <= 0 {
		t.Error("overdrawn bucket allows another piece at once")
	}
	total := int64(0)
	for now = now.Add(time.Minute); now.Before(start.Add(time.Hour + 2*time.Minute)); now = now.Add(10 * time.Millisecond) {
		if l.Take(now, Background, 1<<20) == 0 {
			total += 1 << 20
		}
	}
	if limit := l.BackgroundRate() * 61; float64(total) > limit {
		t.Errorf("%d bytes allowed in a minute, want at most %.0f", total, limit)
	}
}
