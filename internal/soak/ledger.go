package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// class is a kind of request.
type class struct {
	name       string
	path       string
	prefix     string // of its route
	service    string // the first one that its route names
	repeatable bool
	stream     bool
	resumable  bool
	patience   time.Duration
}

// attempt is one attempt of a caller and all that is seen of it.
type attempt struct {
	call      standin.Call
	class     *class
	instance  string
	sent      time.Time
	done      time.Time
	reply     standin.Reply
	err       string        // why there is no whole answer
	left      bool          // the caller did not wait for it
	bodyPause time.Duration // in the middle of its body
	readPause time.Duration // before the caller reads the answer
	notRun    bool          // the caller was told so
	ran       []standin.Run
	arrived   []standin.Run
	answers   []standin.Answer
}

// violation is a promise that was seen broken.
type violation struct {
	Rule, Text string
	At         time.Duration // since the start
}

// ledger collects what callers, targets and stores see and judges it. It implements standin.Observer.
type ledger struct {
	calm   *calm
	bounds standin.Bounds
	start  time.Time
	world  *history

	mu         sync.Mutex
	attempts   map[string]*attempt
	arrivals   []standin.Run
	wishes     *wishes
	orders     map[string]standin.Order // last one of each target
	violations []violation
	rules      map[string]int
}

func newLedger(c *calm, w *history, b standin.Bounds) *ledger {
	return &ledger{
		calm: c, bounds: b, start: time.Now(), world: w, attempts: map[string]*attempt{}, orders: map[string]standin.Order{},
		wishes: newWishes(c, b), rules: map[string]int{},
	}
}

// mostTexts is the number of violations of one rule that are told in full.
const mostTexts = 5

func (l *ledger) broken(rule, format string, args ...any) {
	l.rules[rule]++
	if l.rules[rule] <= mostTexts {
		l.violations = append(l.violations, violation{Rule: rule, Text: fmt.Sprintf(format, args...), At: time.Since(l.start)})
	}
}

// Violation implements standin.Observer.
func (l *ledger) Violation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken(rule, format, args...)
}

// begin notes an attempt that is about to be sent.
func (l *ledger) begin(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.call.ID] = a
}

// route notes which instance an attempt goes to.
func (l *ledger) route(a *attempt, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.instance = instance
}

// Arrived implements standin.Observer.
func (l *ledger) Arrived(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, r)
	a := l.attempts[r.ID]
	if a == nil {
		l.broken("UNASKED", "target %s gets request %q that no caller sent", r.Target, r.ID)
		return
	}
	a.arrived = append(a.arrived, r)
	l.checkDrain(a, r)
	l.checkWishes(a, r)
	contact := l.bounds.RecoveryTime
	if out, ok := l.world.evacuatedAt(r.Domain); ok && r.At.After(out.Add(l.bounds.Evacuate)) &&
		l.inTouch(out.Add(-contact), r.At, a.instance) {
		l.broken("EVAC", "request %s reaches %s in %s %v after its evacuation, through %s", r.ID, r.Target, r.Domain, r.At.Sub(out), a.instance)
	}
}

// checkDrain judges a request by its target's leaving. The store must have been sound when it acknowledged that, the instance from
// the recovery time before it took the request until it sent it, and the target's link for the recovery time before the arrival.
func (l *ledger) checkDrain(a *attempt, r standin.Run) {
	left, ok := l.world.leftAt(r.Target)
	contact := l.bounds.RecoveryTime
	if !ok || !r.At.After(left.Add(l.bounds.Drain)) || !l.calm.quiet(left.Add(-contact), left, metaStore) ||
		!l.inTouch(a.sent.Add(-contact), r.At, a.instance) || !l.calm.quiet(r.At.Add(-contact), r.At, r.Target) {
		return
	}
	l.broken("DRAIN", "request %s (try %d, sent %v before) reaches %s %v after it was known to leave, through %s", r.ID, len(a.arrived),
		r.At.Sub(a.sent), r.Target, r.At.Sub(left), a.instance)
}

// Ran implements standin.Observer.
func (l *ledger) Ran(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[r.ID]
	if a == nil {
		return // told at its arrival
	}
	a.ran = append(a.ran, r)
	if !r.Matches(&a.call) {
		l.broken("UNASKED", "target %s runs request %s changed: %+v, sent %+v", r.Target, r.ID, r, a.call)
	}
	if r.KeySeen {
		l.broken("UNASKED", "target %s gets the API key of request %s", r.Target, r.ID)
	}
	if want := l.world.workspaceOf(a.call.Key); r.Workspace != want {
		l.broken("UNASKED", "request %s runs for workspace %q, its key belongs to %q", r.ID, r.Workspace, want)
	}
	if !a.class.repeatable && len(a.ran) > 1 {
		l.broken("TWICE", "request %s (%s) runs at %s and at %s", r.ID, a.class.name, a.ran[0].Target, r.Target)
	}
	if a.notRun && !a.class.repeatable {
		l.broken("REFUSED", "request %s (%s) runs at %s after its caller was told that it would not", r.ID, a.class.name, r.Target)
	}
	l.checkConfiguration(a, r)
	if newest, named := l.world.newestWeights(); r.Model != "" && r.Weights < newest && r.At.After(named.Add(l.bounds.Weights)) &&
		l.calm.allQuiet(named, r.At) {
		l.broken("VERSION", "request %s begins at %s on weights %d, %v after %d was named", r.ID, r.Target, r.Weights, r.At.Sub(named), newest)
	}
}

// inTouch reports whether an instance ran undisturbed, with the metadata store at hand, between two times.
func (l *ledger) inTouch(from, to time.Time, instance string) bool {
	return l.calm.quiet(from, to, instance, stopOf(instance), metaStore)
}

// stopOf is the name of an instance's planned stops among the disturbances.
func stopOf(instance string) string { return instance + " stops" }

// checkConfiguration judges a run by the configurations that may be in force for it.
func (l *ledger) checkConfiguration(a *attempt, r standin.Run) {
	ever, now := l.world.allowed(a.class.prefix, r.Service, a.sent.Add(-l.bounds.ConfigApply))
	touched := l.inTouch(a.sent.Add(-l.bounds.ConfigApply-l.bounds.RecoveryTime), r.At, a.instance)
	if !ever {
		l.broken("ROUTE", "request %s to %s runs at service %s, which no configuration allows", r.ID, a.class.prefix, r.Service)
	} else if !now && touched {
		l.broken("CONFIG", "request %s to %s runs at service %s, which the configuration left %v before", r.ID, a.class.prefix, r.Service, l.bounds.ConfigApply)
	}
	ever, now = l.world.keyKnown(a.call.Key, a.sent.Add(-l.bounds.ConfigApply))
	if !ever {
		l.broken("ROUTE", "request %s runs though no configuration held its key", r.ID)
	} else if !now && touched {
		l.broken("CONFIG", "request %s runs though its key was taken away %v before", r.ID, l.bounds.ConfigApply)
	}
}

// Answered implements standin.Observer.
func (l *ledger) Answered(ans standin.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.attempts[ans.ID]; a != nil {
		a.answers = append(a.answers, ans)
	}
}

// Ordered implements standin.Observer.
func (l *ledger) Ordered(o standin.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, ok := l.orders[o.Target]
	l.orders[o.Target] = o
	if ok && o.Token < before.Token && l.inTouch(o.At.Add(-l.bounds.RecoveryTime), o.At, o.Holder) {
		l.broken("ONE", "target %s gets an order of %s with token %d after one of %s with %d", o.Target, o.Holder, o.Token, before.Holder, before.Token)
	}
}

// end judges what a caller got.
func (l *ledger) end(a *attempt, reply standin.Reply, body string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.done, a.reply = time.Now(), reply
	if err != nil {
		a.err = err.Error()
		l.checkLost(a)
		return
	}
	switch {
	case reply.NotRun():
		a.notRun = true
		if !a.class.repeatable && len(a.ran) > 0 {
			l.broken("REFUSED", "request %s (%s) gets %d and has run at %s", a.call.ID, a.class.name, reply.Status, a.ran[0].Target)
		}
		if reply.RetryAfter == "" {
			l.broken("RETRY", "request %s is refused with %d and no time to come back", a.call.ID, reply.Status)
		}
	case reply.Denied():
		if l.world.keyStands(a.call.Key) && l.world.routeStands(a.class.prefix) {
			l.broken("DENIED", "request %s gets %d from %s though all configurations have its key and route", a.call.ID, reply.Status, a.instance)
		}
	case reply.Status/100 == 2 || reply.Stamp != "":
		l.checkAnswer(a, reply, body)
	}
}

func (l *ledger) checkAnswer(a *attempt, reply standin.Reply, body string) {
	if reply.ID != a.call.ID {
		l.broken("MIXED", "request %s gets the answer to %q", a.call.ID, reply.ID)
		return
	}
	i := slices.IndexFunc(a.answers, func(ans standin.Answer) bool { return ans.Stamp == reply.Stamp })
	switch {
	case i < 0:
		l.broken("MIXED", "request %s gets status %d, stamp %q that no target gave", a.call.ID, reply.Status, reply.Stamp)
	case a.answers[i].Status != reply.Status:
		l.broken("MIXED", "request %s gets status %d, its target gave %d", a.call.ID, reply.Status, a.answers[i].Status)
	case a.class.stream:
		l.checkStream(a, body)
	case a.answers[i].Body != body:
		l.broken("MIXED", "request %s gets %d bytes, its target gave %d", a.call.ID, len(body), len(a.answers[i].Body))
	}
}

// checkStream judges a stream that ended as complete.
func (l *ledger) checkStream(a *attempt, body string) {
	var want strings.Builder
	for n := a.call.Resume + 1; n <= uint64(a.call.Output); n++ {
		want.WriteString(standin.Event(a.call.ID, n))
	}
	if body != want.String() {
		l.broken("ORDER", "request %s gets a stream of %d bytes that ends as complete, want %d", a.call.ID, len(body), want.Len())
	}
}

// checkLost judges a request whose answer broke off: planned work alone may not cut any.
func (l *ledger) checkLost(a *attempt) {
	const lastStart = 3 * time.Second // into a stop
	if a.left || a.instance == "" || a.done.After(a.sent.Add(a.class.patience)) {
		return
	}
	from := a.sent.Add(-l.bounds.RecoveryTime)
	for _, r := range a.arrived {
		if !l.calm.quiet(from, a.done, r.Target) {
			return // its target broke off
		}
	}
	stop, planned := l.world.stopOf(a.instance, from, a.done)
	late := planned && (a.sent.After(stop.Add(lastStart)) || a.done.After(stop.Add(l.bounds.StopTimeout*5/6)))
	if !late && len(a.arrived) > 0 && l.calm.quiet(from, a.done, a.instance, metaStore, frontLinks) {
		l.broken("LOST", "request %s (%s) through %s ends without an answer after %v, planned stop: %v: %s", a.call.ID, a.class.name, a.instance,
			a.done.Sub(a.sent), planned, a.err)
	}
}
