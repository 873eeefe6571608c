package faultmatrix

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/egrethoist/egrethoist/internal/fleet"
)

// Sizes of the calls.
const (
	promptWords  = 300 // of 8 bytes, two tokens each
	answerTokens = 40
	quickTokens  = 4
	longTokens   = 200 // of the stream that another workspace holds open meanwhile
)

// Times of a case.
const (
	lead          = 1 * time.Second // background load before the call under test
	lookupPeriod  = 400 * time.Millisecond
	quickPeriod   = 700 * time.Millisecond
	backgroundEnd = 7 * time.Second // after the call under test was sent
	recoveryLimit = 15 * time.Second
)

// Timing is when the steps of an undisturbed call happen, counted from the moment at which it is sent.
type Timing struct {
	First  time.Duration // the caller has the first piece
	Done   time.Duration // the caller has the end
	Target string        // that served it
}

// Result is what a case showed.
type Result struct {
	Case       Case
	Violations []Violation
	Tries      int
	Answer     string // how the call under test ended
	Struck     bool   // the first fault struck the target that had the call
	Timing     Timing
	Calls      int               // calls that were judged
	Checked    map[Invariant]int // checks made
}

// Run runs one case. It must be called in a bubble of testing/synctest. Timings of undisturbed calls come from
// Calibrate; without them the case must have no faults.
func Run(ctx context.Context, c Case, timings map[Kind]Timing) (*Result, error) {
	b, err := newBed(ctx)
	if err != nil {
		return nil, err
	}
	defer b.close()
	b.visit(ctx)
	b.background(ctx)
	time.Sleep(lead)
	call := b.newCall("x", c.Kind, workspaces[0])
	b.start = time.Now()
	b.remember()
	r := &Result{Case: c}
	for i, s := range c.Strikes {
		b.schedule(s, call, timings[c.Kind], i == 0, r)
	}
	b.issue(ctx, call)
	b.work.Wait()
	b.healAll()
	recovered := b.recover(ctx)
	h := b.history()
	verdict := Check(h)
	verdict.Checked[InvariantRecovery] = len(b.Entries) * len(Kinds)
	r.Violations = append(verdict.Violations, recovered...)
	r.Checked = verdict.Checked
	r.Calls = len(h.Calls)
	b.describe(r, call)
	return r, nil
}

// issue sends the call under test. The caller may go away and come back.
func (b *bed) issue(ctx context.Context, call *Call) {
	first, cancel := context.WithCancel(ctx)
	defer cancel()
	b.mu.Lock()
	b.cancel = cancel
	b.mu.Unlock()
	b.send(first, call, 0, maxTries)
	if first.Err() != nil {
		time.Sleep(tryPause)
		b.again(ctx, call)
	}
}

// again lets a caller who went away ask once more, if that is safe.
func (b *bed) again(ctx context.Context, call *Call) {
	if call.Whole() || !mayRepeat(call.Kind, &call.Tries[len(call.Tries)-1]) {
		return
	}
	for i := range maxTries {
		n := len(call.Tries)
		try := b.try(ctx, call, n, i%len(b.Entries))
		b.mu.Lock()
		call.Tries = append(call.Tries, try)
		b.mu.Unlock()
		if try.Whole {
			return
		}
		time.Sleep(tryPause)
	}
}

func (b *bed) callerGone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cancel != nil {
		b.cancel()
	}
}

// newCall makes a call and enters it in the history.
func (b *bed) newCall(name string, k Kind, workspace string) *Call {
	c := &Call{Name: name, Kind: k, Workspace: workspace}
	switch k {
	case KindStream:
		c.Prompt = prompt(promptWords)
		c.Tokens = answerTokens
	case KindKeyed:
		c.Key = timedKey(name)
		c.Booking = "booking-" + name
	case KindUnkeyed:
		c.Booking = "booking-" + name
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.h.Calls = append(b.h.Calls, c)
	return c
}

// timedKey returns a UUID of version 7, which carries the time at which the caller made it. A sidecar that was
// restarted knows from it that the key is new.
func timedKey(name string) string {
	sum := sha256.Sum256([]byte(name))
	id := uuid.UUID(sum[:16])
	binary.BigEndian.PutUint32(id[0:], uint32(time.Now().UnixMilli()>>16))
	binary.BigEndian.PutUint16(id[4:], uint16(time.Now().UnixMilli()))
	id[6] = id[6]&0x0f | 0x70 // version
	id[8] = id[8]&0x3f | 0x80 // variant
	return id.String()
}

func prompt(words int) string {
	var s strings.Builder
	for i := range words {
		fmt.Fprintf(&s, "haul%03d ", i%1000)
	}
	return s.String()
}

// visit is an earlier call with half of the prompt, so that the call under test returns to kept context.
func (b *bed) visit(ctx context.Context) {
	c := b.newCall("visit", KindStream, workspaces[0])
	c.Prompt = prompt(promptWords / 2)
	c.Tokens = quickTokens
	b.send(ctx, c, 0, maxTries)
}

// background keeps another workspace's calls going through the second entry: a long stream over the same prompt,
// lookups, quick checks and bookings.
func (b *bed) background(ctx context.Context) {
	until := time.Now().Add(lead + backgroundEnd)
	b.work.Go(func() {
		c := b.newCall("long", KindStream, workspaces[1])
		c.Tokens = longTokens
		b.send(ctx, c, 1, maxTries)
	})
	b.repeat(ctx, until, lookupPeriod, "lookup", func(c *Call, i int) {
		c.Kind = KindLookup
		if i%3 == 2 {
			c.Kind = KindKeyed
			c.Key, c.Booking = timedKey(c.Name), "booking-"+c.Name
		}
	})
	b.repeat(ctx, until, quickPeriod, "quick", func(c *Call, i int) {
		c.Kind = KindStream
		c.Prompt = prompt(blockTokens + i)
		c.Tokens = quickTokens
	})
}

func (b *bed) repeat(ctx context.Context, until time.Time, period time.Duration, name string, shape func(*Call, int)) {
	b.work.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			c := &Call{Name: fmt.Sprintf("%s-%d", name, i), Workspace: workspaces[1]}
			shape(c, i)
			b.mu.Lock()
			b.h.Calls = append(b.h.Calls, c)
			b.mu.Unlock()
			b.work.Go(func() { b.send(ctx, c, 1, maxTries) })
			time.Sleep(period)
		}
	})
}

// remember notes the traffic from the first entry, by which the sidecar that gets the call is told.
func (b *bed) remember() {
	b.sent = map[string]int64{}
	for name := range b.Targets {
		b.sent[name] = b.hosts.Sent(b.hosts.ip(entryName), b.hosts.ip(name))
	}
}

// heartbeatBytes is more than the entry sends to a sidecar that gets no request within a case's first moments.
const heartbeatBytes = 200

// victim returns the target that has the call, or that is expected to get it.
func (b *bed) victim(call *Call, expected string) *fleet.TargetNode {
	if n := b.serving(call); n != nil {
		return n
	}
	var most *fleet.TargetNode
	bytes := int64(heartbeatBytes)
	for name, n := range b.Targets {
		got := b.hosts.Sent(b.hosts.ip(entryName), b.hosts.ip(name)) - b.sent[name]
		if n.Target.Service == serviceOf(call.Kind) && got > bytes {
			most, bytes = n, got
		}
	}
	if most != nil {
		return most
	}
	return b.Targets[expected]
}

func serviceOf(k Kind) string {
	if k == KindStream {
		return modelService
	}
	return plainService
}

// serving returns the target that last began to run the call.
func (b *bed) serving(call *Call) *fleet.TargetNode {
	var last *fleet.TargetNode
	var at time.Time
	for _, n := range b.Targets {
		for _, start := range starts(n, call.Name+"-") {
			if start.After(at) {
				last, at = n, start
			}
		}
	}
	return last
}

// starts returns when a target began to run the tries of a call.
func starts(n *fleet.TargetNode, prefix string) []time.Time {
	var out []time.Time
	if n.Engine != nil {
		for _, x := range n.Engine.Log() {
			if strings.HasPrefix(x.RequestID, prefix) {
				out = append(out, x.Start)
			}
		}
		return out
	}
	for _, x := range n.Plain.Log() {
		if strings.HasPrefix(x.RequestID, prefix) {
			out = append(out, x.Start)
		}
	}
	return out
}

// schedule lets a fault strike at its step, and ends it when its time has come.
func (b *bed) schedule(s Strike, call *Call, t Timing, first bool, r *Result) {
	spec := specOf(s.Fault)
	b.planned = b.planned && spec.planned
	b.work.Go(func() {
		if s.Step == StepDial {
			time.Sleep(time.Until(b.start.Add(redialAt)))
			n := b.victim(call, t.Target)
			b.hosts.Reset(sidecarIP(b, n), backendIP(b, n))
		}
		time.Sleep(time.Until(b.start.Add(instant(s.Step, t))))
		n := b.victim(call, t.Target)
		spec.begin(b, n)
		if first {
			r.Struck = n.Target.Name == t.Target || b.serving(call) == n
		}
		if spec.end != nil {
			time.Sleep(spec.lasts)
			spec.end(b, n)
		}
	})
}

// redialAt is when the idle connections to the target are broken, so that the call has to dial: while the call
// is on its way to the sidecar.
const redialAt = 3*linkDelay + linkDelay/2

// aMoment separates what happens just before a step from the step.
const aMoment = 100 * time.Microsecond

// instant returns when a step happens. The caller dials in two delays and sends in one; each hop takes one.
func instant(s Step, t Timing) time.Duration {
	switch s {
	case StepAccept:
		return 2*linkDelay + linkDelay/2
	case StepRoute:
		return 3*linkDelay - aMoment
	case StepSend:
		return 3*linkDelay + linkDelay/2
	case StepAdmit:
		return 4*linkDelay - aMoment
	case StepDial:
		return 4*linkDelay + linkDelay/2
	case StepRun:
		return 5*linkDelay + linkDelay/2
	case StepFirstByte:
		return t.First - 2*linkDelay - linkDelay/2
	case StepMidStream:
		return min((t.First+t.Done)/2, t.Done-linkDelay-linkDelay/2)
	case StepEnd:
		return t.Done - linkDelay/2
	default:
		return t.Done + linkDelay/2
	}
}

// recover finds whether every kind of call succeeds again through each entry that lives.
func (b *bed) recover(ctx context.Context) []Violation {
	var out []Violation
	deadline := time.Now().Add(recoveryLimit)
	for e := range b.Entries {
		for i, k := range Kinds {
			name := fmt.Sprintf("after-%d-%d", e, i)
			if !b.recovered(ctx, name, k, e, deadline) {
				out = append(out, Violation{InvariantRecovery, fmt.Sprintf("%s through %s: %s", k, b.Entries[e].Name, b.lastEnd())})
			}
		}
	}
	return out
}

// lastEnd words how the last try of all ended.
func (b *bed) lastEnd() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.h.Calls[len(b.h.Calls)-1].Tries[0]
	return fmt.Sprintf("status %d, outcome %q, %s %s", t.Status, t.Outcome, t.Text, t.Err)
}

// recovered repeats a new call until one is answered whole. An entry that was taken away for good is excused.
func (b *bed) recovered(ctx context.Context, name string, k Kind, e int, deadline time.Time) bool {
	for i := 0; ; i++ {
		c := b.newCall(fmt.Sprintf("%s-%d", name, i), k, workspaces[0])
		try := b.try(ctx, c, 0, e)
		b.mu.Lock()
		c.Tries = append(c.Tries, try)
		b.mu.Unlock()
		if try.Whole || (e == 0 && try.Err == dialError) {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(tryPause)
	}
}

// describe words how the call under test ended.
func (b *bed) describe(r *Result, call *Call) {
	r.Tries = len(call.Tries)
	last := call.Tries[len(call.Tries)-1]
	switch {
	case last.Whole && r.Tries == 1:
		r.Answer = AnswerWhole
	case last.Whole:
		r.Answer = AnswerRepeated
	case last.Outcome != "":
		r.Answer = last.Outcome
	case last.Status != 0 && last.Err == "":
		r.Answer = AnswerTarget
	default:
		r.Answer = AnswerNone
	}
	if n := b.serving(call); n != nil {
		r.Timing.Target = n.Target.Name
	}
	r.Timing.First = call.Tries[0].First.Sub(b.start)
	r.Timing.Done = call.Tries[0].Done.Sub(b.start)
}

// How a call under test ended, besides the outcomes that the system words itself.
const (
	AnswerWhole    = "whole"
	AnswerRepeated = "whole after the caller repeated it"
	AnswerTarget   = "the target's own error"
	AnswerNone     = "no answer"
)
