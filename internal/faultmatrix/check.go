package faultmatrix

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	"github.com/egrethoist/egrethoist/internal/fake/plain"
)

// Invariant is one line of what must always hold.
type Invariant string

// Invariants.
const (
	InvariantWholeBlocks Invariant = "no request reads a freed or partly written block"
	InvariantIsolation   Invariant = "workspaces never see each other's cache or answers"
	InvariantVersion     Invariant = "a new request never uses another weight version"
	InvariantCold        Invariant = "a freshly started target never gets more than it bears"
	InvariantDrained     Invariant = "a failure domain taken out gets no new work"
	InvariantWhole       Invariant = "each caller gets the whole answer to its own request"
	InvariantNotRun      Invariant = "a refusal saying not run is true"
	InvariantOnce        Invariant = "a non-idempotent request runs at most once"
	InvariantStop        Invariant = "a planned stop cuts no request"
	InvariantFresh       Invariant = "lookups are fresh"
	InvariantBounded     Invariant = "a request ends by its deadline"
	InvariantRecovery    Invariant = "service returns after the faults"
)

// Invariants lists every invariant that a case is checked for.
var Invariants = []Invariant{
	InvariantWholeBlocks, InvariantIsolation, InvariantVersion, InvariantCold, InvariantDrained, InvariantWhole,
	InvariantNotRun, InvariantOnce, InvariantStop, InvariantFresh, InvariantBounded, InvariantRecovery,
}

// Bounds that must hold.
const (
	drainLimit = 3 * time.Second // a domain taken out gets no new work after it
	// noticeLimit is how long an unannounced cold start may go unnoticed: a probe and the lag of a load report.
	noticeLimit = 1 * time.Second
	// swapLimit is the time in which an accepted weight version is in force everywhere; before it has passed a
	// new request may still run whole with the one before.
	swapLimit = 5 * time.Second
)

// Violation is one invariant that did not hold.
type Violation struct {
	Invariant Invariant
	Detail    string
}

func (v Violation) String() string { return string(v.Invariant) + ": " + v.Detail }

// checker gathers violations.
type checker struct {
	h       *History
	found   []Violation
	checked map[Invariant]int
	// lookups of the execution logs
	engine map[string][]engineRun // by request ID
	plain  map[string][]plain.Execution
}

type engineRun struct {
	fakeengine.Execution
	target string
}

// Verdict is what the checker found, with the number of times that it checked each invariant.
type Verdict struct {
	Violations []Violation
	Checked    map[Invariant]int
}

// Check judges a history by the fakes' logs alone.
func Check(h *History) Verdict {
	c := &checker{h: h, checked: map[Invariant]int{}, engine: map[string][]engineRun{}, plain: map[string][]plain.Execution{}}
	for _, t := range h.Targets {
		for _, x := range t.Engine {
			c.engine[x.RequestID] = append(c.engine[x.RequestID], engineRun{x, t.Name})
		}
		for _, x := range t.Plain {
			c.plain[x.RequestID] = append(c.plain[x.RequestID], x)
		}
	}
	for _, t := range h.Targets {
		c.blocks(t)
		c.cold(t)
		c.drained(t)
	}
	for _, call := range h.Calls {
		c.call(call)
	}
	c.lookupsDiffer()
	return Verdict{Violations: c.found, Checked: c.checked}
}

func (c *checker) fail(i Invariant, format string, args ...any) {
	c.found = append(c.found, Violation{Invariant: i, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) blocks(t TargetLog) {
	c.checked[InvariantWholeBlocks]++
	if t.Counts.WrongBlock > 0 {
		c.fail(InvariantWholeBlocks, "%s used %d blocks with wrong content", t.Name, t.Counts.WrongBlock)
	}
	if t.Counts.ForeignUse > 0 {
		c.fail(InvariantIsolation, "%s met %d blocks of another workspace or version", t.Name, t.Counts.ForeignUse)
	}
}

// cold excuses an overload only while an unannounced cold start could not be known.
func (c *checker) cold(t TargetLog) {
	c.checked[InvariantCold]++
	for _, o := range t.Overloads {
		excused := slices.ContainsFunc(t.ColdSince, func(at time.Time) bool {
			return !o.At.Before(at) && o.At.Sub(at) <= noticeLimit
		})
		if !excused {
			c.fail(InvariantCold, "%s got request %s as number %d, bears %d, %v after its start",
				t.Name, o.RequestID, o.InFlight, o.Bears, o.SinceCold)
		}
	}
}

func (c *checker) drained(t TargetLog) {
	starts := make([]time.Time, 0, len(t.Engine)+len(t.Plain))
	for _, x := range t.Engine {
		starts = append(starts, x.Start)
	}
	for _, x := range t.Plain {
		starts = append(starts, x.Start)
	}
	for _, d := range c.h.Drains {
		c.checked[InvariantDrained]++
		for _, s := range starts {
			out := s.After(d.At.Add(drainLimit)) && (d.Until.IsZero() || s.Before(d.Until))
			if t.Domain == d.Domain && out {
				c.fail(InvariantDrained, "%s in %s got work %v after it was taken out", t.Name, d.Domain, s.Sub(d.At))
			}
		}
	}
}

func (c *checker) call(call *Call) {
	for i := range call.Tries {
		try := &call.Tries[i]
		c.bounded(call, try)
		c.notRun(call, try)
		c.isolated(call, try)
		c.versions(call, try)
		if try.Whole {
			c.whole(call, try)
		}
	}
	c.once(call)
	c.planned(call)
}

// bounded finds a request that was answered only because its caller gave up. No one but the caller can find out
// that the caller's own connection has gone silent.
func (c *checker) bounded(call *Call, try *Try) {
	c.checked[InvariantBounded]++
	if limit := callTimeout + answerSlack; !try.Silenced && try.Done.Sub(try.Sent) > limit {
		c.fail(InvariantBounded, "%s: %s took %v", call.Name, try.RequestID, try.Done.Sub(try.Sent))
	}
}

// executed reports whether any part of the request ran at a target.
func (c *checker) executed(id string) bool {
	ran := func(x plain.Execution) bool { return x.Executed }
	return len(c.engine[id]) > 0 || slices.ContainsFunc(c.plain[id], ran)
}

func (c *checker) notRun(call *Call, try *Try) {
	if try.Outcome != "not_run" {
		return
	}
	c.checked[InvariantNotRun]++
	if c.executed(try.RequestID) {
		c.fail(InvariantNotRun, "%s: %s was refused as not run, status %d", call.Name, try.RequestID, try.Status)
	}
}

func (c *checker) isolated(call *Call, try *Try) {
	c.checked[InvariantIsolation]++
	for _, x := range c.engine[try.RequestID] {
		if x.Salt != c.h.Salts[call.Workspace] {
			c.fail(InvariantIsolation, "%s ran at %s under another workspace's salt", try.RequestID, x.target)
		}
	}
}

// allowedVersions lists what may run a request that was sent and started at the given times.
func (c *checker) allowedVersions(sent, start time.Time) []string {
	var out []string
	for i, v := range c.h.Versions {
		superseded := i+1 < len(c.h.Versions) && c.h.Versions[i+1].At.Add(swapLimit).Before(sent)
		if !superseded && !v.At.After(start) {
			out = append(out, v.Name)
		}
	}
	return out
}

// versions finds a run with a version that was not in force, and a resumed run with another version than the run
// whose tokens the caller already held.
func (c *checker) versions(call *Call, try *Try) {
	runs := c.engine[try.RequestID]
	for _, x := range runs {
		c.checked[InvariantVersion]++
		if !slices.Contains(c.allowedVersions(try.Sent, x.Start), x.Version) {
			c.fail(InvariantVersion, "%s: %s ran with %s", call.Name, try.RequestID, x.Version)
		}
		begun := func(y engineRun) bool { return y.ResumeFrom == 0 && y.Version == x.Version }
		if x.ResumeFrom > 0 && !slices.ContainsFunc(runs, begun) {
			c.fail(InvariantVersion, "%s: %s was resumed with %s, which had not begun it", call.Name, try.RequestID, x.Version)
		}
	}
}

func (c *checker) whole(call *Call, try *Try) {
	switch call.Kind {
	case KindStream:
		c.wholeStream(call, try)
	case KindLookup:
		c.fresh(call, try)
	default:
		c.confirmed(call, try)
	}
}

func (c *checker) wholeStream(call *Call, try *Try) {
	c.checked[InvariantWhole]++
	runs := c.engine[try.RequestID]
	if len(runs) == 0 {
		c.fail(InvariantWhole, "%s: %s was answered without a run", call.Name, try.RequestID)
		return
	}
	// The text is that of one run alone, or of runs that resume it: a mixture of versions equals none of them.
	for _, x := range runs {
		if try.Text == fakeengine.ExpectedText(call.Prompt, x.Version, 0, call.Tokens) {
			return
		}
	}
	c.fail(InvariantWhole, "%s: %s got %d bytes that are the whole text of none of its %d runs",
		call.Name, try.RequestID, len(try.Text), len(runs))
}

func (c *checker) fresh(call *Call, try *Try) {
	c.checked[InvariantFresh]++
	var slot plain.Slot
	if err := json.Unmarshal([]byte(try.Text), &slot); err != nil {
		c.fail(InvariantWhole, "%s: %s got %q", call.Name, try.RequestID, try.Text)
		return
	}
	if slot.Request != try.RequestID || slot.ReadAt.Before(try.Sent) {
		c.fail(InvariantFresh, "%s: %s got the answer of %s, read %v after it was sent",
			call.Name, try.RequestID, slot.Request, slot.ReadAt.Sub(try.Sent))
	}
}

// lookupsDiffer finds one lookup's answer given to two callers.
func (c *checker) lookupsDiffer() {
	seen := map[uint64]string{}
	for _, call := range c.h.Calls {
		for _, try := range call.Tries {
			var slot plain.Slot
			if call.Kind != KindLookup || !try.Whole || json.Unmarshal([]byte(try.Text), &slot) != nil {
				continue
			}
			if other := seen[slot.Value]; other != "" {
				c.fail(InvariantFresh, "%s and %s share an answer", other, try.RequestID)
			}
			seen[slot.Value] = try.RequestID
		}
	}
}

func (c *checker) confirmed(call *Call, try *Try) {
	c.checked[InvariantWhole]++
	var conf plain.Confirmation
	if err := json.Unmarshal([]byte(try.Text), &conf); err != nil || conf.ID != call.Booking {
		c.fail(InvariantWhole, "%s: %s got %q", call.Name, try.RequestID, strings.TrimSpace(try.Text))
	}
	if n := c.h.Bookings[call.Booking]; n != 1 {
		c.fail(InvariantOnce, "%s is confirmed and was executed %d times", call.Booking, n)
	}
}

func (c *checker) once(call *Call) {
	if call.Booking == "" {
		return
	}
	c.checked[InvariantOnce]++
	if n := c.h.Bookings[call.Booking]; n > 1 {
		c.fail(InvariantOnce, "%s was executed %d times", call.Booking, n)
	}
}

// planned finds a request that a planned stop cut: it was taken, and neither answered whole nor truly refused.
func (c *checker) planned(call *Call) {
	if !c.h.Planned {
		return
	}
	for _, try := range call.Tries {
		c.checked[InvariantStop]++
		taken := try.Err != dialError
		if taken && !try.Whole && try.Outcome != "not_run" {
			c.fail(InvariantStop, "%s: %s ended with status %d, outcome %q, %s", call.Name, try.RequestID, try.Status, try.Outcome, try.Err)
		}
	}
}
