package fairness

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
	"github.com/egrethoist/egrethoist/internal/world"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var start = time.Unix(1_800_000_000, 0)

func item(workspace string, class world.Priority, cost time.Duration) *Item[int] {
	return &Item[int]{Workspace: workspace, Weight: 1, Class: class, Cost: cost}
}

// Guards against drafts being starved by waiting quick checks, or taking more than their share.
func TestDraftsKeepTheirShareBehindQuick(t *testing.T) {
	q := New[int](Options{MaxItems: 1000})
	q.SetSlots(1000)
	for range 200 {
		q.Enqueue(item("a", world.PriorityQuick, time.Second), start)
	}
	for range 50 {
		q.Enqueue(item("a", world.PriorityDraft, 3*time.Second), start)
	}
	var served [numClasses]time.Duration
	for range 100 {
		it, _ := q.Next(start)
		served[it.Class] += it.Cost
	}
	share := served[1].Seconds() / (served[0] + served[1]).Seconds()
	if share < 0.28 || share > 0.32 {
		t.Fatalf("drafts got %.2f of the service time, want 0.3", share)
	}
}

// Guards against long drafts that occupy all slots while quick checks arrive, and against slots reserved when none arrive.
func TestDraftsLeaveSlotsForQuick(t *testing.T) {
	q := New[int](Options{})
	q.SetSlots(10)
	q.Enqueue(item("a", world.PriorityQuick, time.Second), start)
	for range 20 {
		q.Enqueue(item("a", world.PriorityDraft, time.Minute), start)
	}
	for range 8 {
		q.Next(start)
	}
	if it, ok := q.Next(start); ok {
		t.Fatalf("handed out %v although quick checks arrive", it.Class)
	}
	if _, ok := q.Next(start.Add(time.Minute)); !ok {
		t.Fatal("slots stay reserved although no quick checks arrive")
	}
}

// Guards against a large backlog of one workspace that fills the queue and delays or excludes others.
func TestSmallWorkspaceOvertakesLargeBacklog(t *testing.T) {
	q := New[int](Options{MaxItems: 100})
	for range 100 {
		q.Enqueue(item("large", world.PriorityDraft, time.Second), start)
	}
	d := q.Enqueue(item("small", world.PriorityDraft, time.Second), start)
	if d.Refusal != RefusalNone || d.Displaced == nil || d.Displaced.Workspace != "large" {
		t.Fatalf("decision %+v", d)
	}
	if d := q.Enqueue(item("large", world.PriorityDraft, time.Second), start); d.Refusal != RefusalFull {
		t.Fatalf("next item of the large workspace: %+v", d)
	}
	if d := q.Enqueue(item("late", world.PriorityDraft, time.Second), start); d.Displaced.Workspace != "large" {
		t.Fatalf("item of a third workspace: %+v", d)
	}
	q.Next(start)
	if it, _ := q.Next(start); it.Workspace != "late" {
		t.Fatalf("second item is of workspace %s", it.Workspace)
	}
}

// Guards against items being displaced although no workspace has more than its share.
func TestFullQueueOfEqualSharesRefusesNewItem(t *testing.T) {
	q := New[int](Options{MaxItems: 4})
	for i := range 4 {
		q.Enqueue(item(fmt.Sprint(i), world.PriorityDraft, time.Second), start)
	}
	if d := q.Enqueue(item("new", world.PriorityDraft, time.Second), start); d.Refusal != RefusalFull {
		t.Fatalf("%+v", d)
	}
}

// Guards against a workspace that was idle for long and then starves others with its saved service time.
func TestIdleWorkspaceSavesAtMostItsBurst(t *testing.T) {
	for _, burst := range []time.Duration{time.Nanosecond, 2 * time.Second, defaultBurst} {
		q := New[int](Options{MaxItems: 100, Burst: burst})
		for range 50 {
			q.Enqueue(item("busy", world.PriorityDraft, time.Second), start)
		}
		for range 20 {
			q.Next(start)
		}
		for range 30 {
			q.Enqueue(item("idle", world.PriorityDraft, time.Second), start)
		}
		idle := time.Duration(0)
		for range 30 {
			if it, _ := q.Next(start); it.Workspace == "idle" {
				idle += it.Cost
			}
		}
		if half := 15 * time.Second; idle > half+burst/2+time.Second {
			t.Errorf("burst %v: the idle workspace got %v of 30 s", burst, idle)
		}
	}
}

// An item that cannot meet its deadline must be refused on arrival, judged by the backlog of its own workspace, and must expire only
// once it can no longer finish in time.
func TestMissedDeadlineIsRefusedOnArrival(t *testing.T) {
	q := New[int](Options{})
	for range 10 {
		q.Enqueue(item("a", world.PriorityQuick, time.Second), start)
	}
	it := item("a", world.PriorityQuick, time.Second)
	it.Deadline = start.Add(5 * time.Second)
	if d := q.Enqueue(it, start); d.Refusal != RefusalDeadline {
		t.Fatalf("behind 10 s of its own workspace: %+v", d)
	}
	it.Workspace = "b"
	if d := q.Enqueue(it, start); d.Refusal != RefusalNone {
		t.Fatalf("item of an idle workspace: %+v", d)
	}
	if expired := q.Expire(start.Add(4 * time.Second)); len(expired) != 0 {
		t.Fatal("expired while it could still finish in time")
	}
	if expired := q.Expire(start.Add(4*time.Second + 1)); len(expired) != 1 || expired[0] != it {
		t.Fatalf("expired %v", expired)
	}
}

// Guards against a queue that keeps accepting items that later expire because its estimated waits are too low. The correction must go
// away as items run.
func TestExpiriesRaiseEstimatedWait(t *testing.T) {
	q := New[int](Options{})
	for range 10 {
		q.Enqueue(item("a", world.PriorityQuick, time.Second), start)
	}
	tryTightDeadline := func() Refusal { // just fits by the uncorrected estimate
		it := item("a", world.PriorityQuick, time.Second)
		it.Deadline = start.Add(12 * time.Second)
		d := q.Enqueue(it, start)
		q.Cancel(it)
		return d.Refusal
	}
	if r := tryTightDeadline(); r != RefusalNone {
		t.Fatalf("refused before any item expired: %v", r)
	}
	for range 3 {
		it := item("b", world.PriorityQuick, time.Second)
		it.Deadline = start.Add(time.Second)
		q.Enqueue(it, start)
		q.Expire(start.Add(time.Second))
	}
	if r := tryTightDeadline(); r != RefusalDeadline {
		t.Fatalf("after items expired: %v", r)
	}
	for range 50 {
		q.Enqueue(item("b", world.PriorityQuick, time.Microsecond), start)
		q.Next(start)
	}
	if q.waitFactor[world.PriorityQuick] != 1 {
		t.Fatalf("wait factor %v after items ran", q.waitFactor)
	}
}

// Guards against a workspace that gets more than its share because its requests take longer than predicted.
func TestDoneCorrectsPredictedCost(t *testing.T) {
	q := New[int](Options{})
	q.SetSlots(100)
	for range 10 {
		q.Enqueue(item("a", world.PriorityDraft, time.Second), start)
		q.Enqueue(item("b", world.PriorityDraft, time.Second), start)
	}
	it, _ := q.Next(start)
	q.Done(it, 5*time.Second) // the item of a took five times as long as predicted
	for i := range 5 {
		if it, _ := q.Next(start); it.Workspace != "b" {
			t.Fatalf("item %d is of workspace %s", i, it.Workspace)
		}
	}
}

// The predicted cost must converge to the actual cost of answers that are much shorter than allowed.
func TestEstimatorLearnsOutputLength(t *testing.T) {
	e := NewEstimator()
	w := Work{PromptTokens: 3000, CachedTokens: 1000, MaxTokens: 1000}
	r := Rates{PrefillPerSec: 1000, DecodePerSec: 100}
	for range 100 {
		e.Observe("a", world.PriorityDraft, w, 200)
	}
	got := e.Cost("a", world.PriorityDraft, w, r)
	if diff := got - ActualCost(w, 200, r); diff.Abs() > 10*time.Millisecond {
		t.Fatalf("predicted %v, took %v", got, ActualCost(w, 200, r))
	}
}

// Guards against nominal rates that follow the low rates of a loaded or cold target.
func TestNominalRatesSurviveReportUnderLoad(t *testing.T) {
	var n NominalRates
	unknown := Rates{PrefillPerSec: 1, DecodePerSec: 1}
	if n.Rates(unknown) != unknown {
		t.Fatal("rates before the first report")
	}
	n.Observe(8000, 60)
	n.Observe(2000, 12) // loaded, or cold
	if r := n.Rates(unknown); r.PrefillPerSec < 7900 || r.DecodePerSec < 59 {
		t.Fatalf("%+v", r)
	}
}

// referenceQueue is a simple model of Queue: one list in order of arrival that is scanned for every decision.
type referenceQueue struct {
	opts        Options
	slots       int
	waiting     []*Item[int]
	running     []*Item[int]
	startTags   map[string]float64
	virtualTime float64
	draftCredit float64
	lastQuickAt time.Time
}

func (r *referenceQueue) ofClass(class world.Priority) (items []*Item[int]) {
	for _, it := range r.waiting {
		if it.Class == class {
			items = append(items, it)
		}
	}
	return items
}

func (r *referenceQueue) hasWaiting(workspace string) bool {
	return slices.ContainsFunc(r.waiting, func(it *Item[int]) bool { return it.Workspace == workspace })
}

func (r *referenceQueue) push(it *Item[int], now time.Time) {
	if !r.hasWaiting(it.Workspace) {
		minStartTag := r.virtualTime - defaultBurst.Seconds()/float64(it.Weight)
		if tag, seen := r.startTags[it.Workspace]; seen {
			minStartTag = max(tag, minStartTag)
		}
		r.startTags[it.Workspace] = minStartTag
	}
	r.waiting = append(r.waiting, it)
	if it.Class == world.PriorityQuick {
		r.lastQuickAt = now
	}
}

func (r *referenceQueue) next(now time.Time) *Item[int] {
	quick, draft := r.ofClass(world.PriorityQuick), r.ofClass(world.PriorityDraft)
	runningDrafts := 0
	for _, it := range r.running {
		runningDrafts += int(it.Class)
	}
	quickIsRecent := !r.lastQuickAt.IsZero() && now.Sub(r.lastQuickAt) <= r.opts.QuickWindow
	draftAllowed := !quickIsRecent || runningDrafts < max(1, r.slots-int(float64(r.slots)*r.opts.QuickReserve+1))
	candidates := quick
	if len(draft) > 0 && draftAllowed && (len(quick) == 0 || r.draftCredit > 0) {
		candidates = draft
	}
	if len(candidates) == 0 {
		return nil
	}
	best := candidates[0]
	for _, it := range candidates {
		a, b := r.startTags[it.Workspace], r.startTags[best.Workspace]
		if a < b || a == b && it.Workspace < best.Workspace {
			best = it
		}
	}
	if len(quick) > 0 && len(draft) > 0 {
		if best.Class == world.PriorityDraft {
			r.draftCredit -= best.Cost.Seconds()
		} else {
			r.draftCredit += best.Cost.Seconds() * r.opts.DraftShare / (1 - r.opts.DraftShare)
		}
	}
	r.remove(best)
	r.running = append(r.running, best)
	r.virtualTime = max(r.virtualTime, r.startTags[best.Workspace])
	r.startTags[best.Workspace] += best.Cost.Seconds() / float64(best.Weight)
	return best
}

func (r *referenceQueue) remove(it *Item[int]) {
	i := slices.Index(r.waiting, it)
	r.waiting = slices.Delete(r.waiting, i, i+1)
	if len(r.ofClass(world.PriorityDraft)) == 0 {
		r.draftCredit = 0
	}
}

func (r *referenceQueue) resetIfIdle() {
	if len(r.waiting) == 0 && len(r.running) == 0 {
		clear(r.startTags)
		r.virtualTime, r.draftCredit = 0, 0
	}
}

func (r *referenceQueue) done(it *Item[int], actual time.Duration) {
	r.running = slices.DeleteFunc(r.running, func(o *Item[int]) bool { return o == it })
	r.startTags[it.Workspace] += (actual - it.Cost).Seconds() / float64(it.Weight)
	r.resetIfIdle()
}

func (r *referenceQueue) expire(now time.Time) (expired []*Item[int]) {
	for _, it := range slices.Clone(r.waiting) {
		if it.missesDeadline(now) {
			expired = append(expired, it)
			r.remove(it)
			r.resetIfIdle()
		}
	}
	return expired
}

// Random operations must have the same results as on the reference model.
func TestQueueAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Options{MaxItems: 12})
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		q.SetSlots(slots)
		reference := &referenceQueue{opts: q.opts, slots: slots, startTags: map[string]float64{}}
		now, id := start, 0
		costs := rapid.Map(rapid.IntRange(1, 64), func(i int) time.Duration { return time.Duration(i) * time.Second / 8 })
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				id++
				w := rapid.IntRange(0, 3).Draw(t, "workspace")
				it := &Item[int]{Value: id, Workspace: fmt.Sprint("w", w), Weight: 1 << w,
					Class: world.Priority(rapid.IntRange(0, 1).Draw(t, "class")), Cost: costs.Draw(t, "cost")}
				if rapid.Bool().Draw(t, "hasDeadline") {
					it.Deadline = now.Add(it.Cost + costs.Draw(t, "slack"))
				}
				d := q.Enqueue(it, now)
				if d.Displaced != nil {
					reference.remove(d.Displaced)
				}
				if d.Refusal == RefusalNone {
					reference.push(it, now)
				}
				if d.Refusal == RefusalFull && len(reference.waiting) < q.opts.MaxItems {
					t.Fatal("refused as full with free places")
				}
			},
			"next": func(t *rapid.T) {
				got, _ := q.Next(now)
				if want := reference.next(now); got != want {
					t.Fatalf("got %+v, want %+v", got, want)
				}
			},
			"done": func(t *rapid.T) {
				if len(reference.running) > 0 {
					it, actual := rapid.SampledFrom(reference.running).Draw(t, "item"), costs.Draw(t, "actual")
					q.Done(it, actual)
					reference.done(it, actual)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(reference.waiting) > 0 {
					it := rapid.SampledFrom(reference.waiting).Draw(t, "item")
					if !q.Cancel(it) || q.Cancel(it) {
						t.Fatal("cancel")
					}
					reference.remove(it)
					reference.resetIfIdle()
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(costs.Draw(t, "pass"))
				expired, want := q.Expire(now), reference.expire(now)
				if len(expired) != len(want) {
					t.Fatalf("expired %d, want %d", len(expired), len(want))
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(reference.waiting) || q.Running() != len(reference.running) || q.Len() > q.opts.MaxItems {
					t.Fatalf("%d waiting, %d running; want %d, %d", q.Len(), q.Running(), len(reference.waiting), len(reference.running))
				}
			},
		})
	})
}
