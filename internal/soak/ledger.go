package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// class is a kind of request. All requests of a class have the same path.
type class struct {
	name       string
	path       string
	prefix     string        // path prefix of the route
	service    string        // target service of the route in the initial configuration
	repeatable bool          // idempotent: the request may run more than once
	stream     bool          // the answer is a stream of events
	resumable  bool          // another target can continue the stream
	patience   time.Duration // how long the caller waits for the answer
	key        string        // API key of all requests; empty: any
}

// attempt is one attempt of a caller at a request, with everything observed of it.
type attempt struct {
	call         standin.Call
	class        *class
	instance     string // that the caller is connected to; empty until it is known
	sent         time.Time
	done         time.Time
	reply        standin.Reply
	err          string        // why the answer is missing or incomplete
	abandoned    bool          // the caller cancels it early
	conn         string        // how a direct connection is used; empty: through a link
	sentWhole    bool          // on a direct connection that the instance had not ended by then
	afterClose   bool          // pipelined behind a request whose answer said that the connection ends
	afterCut     bool          // pipelined behind a request whose answer was broken off, which ends the connection
	bodyPause    time.Duration // in the middle of sending the body
	readPause    time.Duration // before the caller reads the body of the answer
	software     string        // version that began the stream; empty before its first event
	targetsServe bool          // enough targets of that version served when the stream was resumed
	lastEvent    uint64        // ID of the last event received of the stream
	notRun       bool          // the answer says that the request did not run
	ran          []standin.Run
	arrived      []standin.Run
	answers      []standin.Answer
}

// violation is a detected violation of a guarantee.
type violation struct {
	Rule, Text string
	At         time.Duration // since the start of the run
}

// checker records what callers, targets and stores observe and checks it against the guarantees. It implements standin.Observer
// and is safe for concurrent use.
type checker struct {
	disturbances *disturbances
	bounds       standin.Bounds
	start        time.Time
	history      *history

	mu              sync.Mutex
	attempts        map[string]*attempt
	arrivals        []standin.Run
	signals         *targetSignals
	orders          map[string]standin.Order // latest order by target
	violations      []violation              // at most maxTextsPerRule of each rule, LOST: of each use of connections
	violationCounts map[string]int           // by rule
	lost            map[string]int           // requests, by the use of their connection
	deadly          map[string]*deadlyRecord // by part
	rollouts        []*rollout               // that have ended
	errorLines      map[string]int           // by message; see Report.ErrorLines
	takeUps, wentOn int                      // attempts to resume a stream for a verdict, and those that received an event; set by checkResumed
}

// newChecker returns a checker for a run that starts now.
func newChecker(d *disturbances, h *history, b standin.Bounds) *checker {
	return &checker{
		disturbances: d, bounds: b, start: time.Now(), history: h, attempts: map[string]*attempt{}, orders: map[string]standin.Order{},
		signals: newTargetSignals(d, b), violationCounts: map[string]int{}, lost: map[string]int{}, deadly: map[string]*deadlyRecord{}, errorLines: map[string]int{},
	}
}

// maxTextsPerRule is the number of violations of each rule that are reported with a text; further ones are only counted.
const maxTextsPerRule = 5

// addViolation records a violation of a rule that is detected now. The caller must hold c.mu.
func (c *checker) addViolation(rule, format string, args ...any) {
	c.addViolationAt(time.Now(), rule, format, args...)
}

// addViolationAt records a violation of a rule at the given time. The caller must hold c.mu.
func (c *checker) addViolationAt(at time.Time, rule, format string, args ...any) {
	c.violationCounts[rule]++
	if c.violationCounts[rule] <= maxTextsPerRule {
		c.violations = append(c.violations, violation{Rule: rule, Text: fmt.Sprintf(format, args...), At: at.Sub(c.start)})
	}
}

// Violation implements standin.Observer.
func (c *checker) Violation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, format, args...)
}

// recordSend records an attempt that is about to be sent.
func (c *checker) recordSend(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[a.call.ID] = a
}

// recordInstance records the instance that an attempt is sent to.
func (c *checker) recordInstance(a *attempt, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.instance = instance
}

// recordSentWhole records that attempts were sent whole on a direct connection that the instance had not ended by then.
func (c *checker) recordSentWhole(attempts []*attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range attempts {
		a.sentWhole = true
	}
}

// Arrived implements standin.Observer.
func (c *checker) Arrived(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, r)
	a := c.attempts[r.ID]
	if a == nil {
		c.addViolation("UNASKED", "target %s received request %q, which no caller sent", r.Target, r.ID)
		return
	}
	a.arrived = append(a.arrived, r)
	c.checkDrain(a, r)
	c.checkSignals(a, r)
	c.checkDeadly(a, r)
	recovery := c.bounds.RecoveryTime
	if evacuatedSince, ok := c.history.evacuatedSince(r.Domain); ok && r.At.After(evacuatedSince.Add(c.bounds.Evacuate)) &&
		c.connected(evacuatedSince.Add(-recovery), r.At, a.instance) {
		c.addViolation("EVAC", "request %s reached %s in %s %v after the start of its evacuation, through %s", r.ID, r.Target, r.Domain, r.At.Sub(evacuatedSince), a.instance)
	}
}

// checkDrain checks that a request did not reach a target later than the drain bound after it left. The check applies only if
// three parts were undisturbed: the metadata store for the recovery time before it acknowledged the leaving, the instance from
// the recovery time before the caller sent the request until the arrival, and the target's link for the recovery time before
// the arrival.
func (c *checker) checkDrain(a *attempt, r standin.Run) {
	leavingSince, ok := c.history.leavingSince(r.Target)
	recovery := c.bounds.RecoveryTime
	if !ok || !r.At.After(leavingSince.Add(c.bounds.Drain)) || !c.disturbances.undisturbed(leavingSince.Add(-recovery), leavingSince, metaStorePart) ||
		!c.connected(a.sent.Add(-recovery), r.At, a.instance) || !c.disturbances.undisturbed(r.At.Add(-recovery), r.At, r.Target) {
		return
	}
	c.addViolation("DRAIN", "request %s (attempt %d, sent %v before) reached %s %v after its leaving was recorded, through %s", r.ID, len(a.arrived),
		r.At.Sub(a.sent), r.Target, r.At.Sub(leavingSince), a.instance)
}

// Ran implements standin.Observer.
func (c *checker) Ran(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[r.ID]
	if a == nil {
		return // reported by Arrived
	}
	a.ran = append(a.ran, r)
	if !r.Matches(&a.call) {
		c.addViolation("UNASKED", "target %s ran request %s with changes: %+v, sent %+v", r.Target, r.ID, r, a.call)
	}
	if r.KeySeen {
		c.addViolation("UNASKED", "target %s received the API key of request %s", r.Target, r.ID)
	}
	if want := c.history.workspaceOf(a.call.Key); r.Workspace != want {
		c.addViolation("UNASKED", "request %s ran for workspace %q, but its key belongs to %q", r.ID, r.Workspace, want)
	}
	if !a.class.repeatable && len(a.ran) > 1 {
		c.addViolation("TWICE", "request %s (%s) ran at %s and at %s", r.ID, a.class.name, a.ran[0].Target, r.Target)
	}
	if a.notRun && !a.class.repeatable {
		c.addViolation("REFUSED", "request %s (%s) ran at %s after its caller received an answer that it did not run", r.ID, a.class.name, r.Target)
	}
	c.checkConfiguration(a, r)
	c.checkWeights(a, r)
}

// checkWeights checks that a request does not start on old weights for too long after newer ones were requested, whatever happened to the
// instances meanwhile: only the one that sent the request must have been undisturbed for a while, and its target.
func (c *checker) checkWeights(a *attempt, r standin.Run) {
	newer, ok := c.history.newerWeightVersion(r.Weights)
	if r.Model == "" || !ok || !r.At.After(newer.at.Add(c.bounds.Weights)) {
		return
	}
	if c.connected(r.At.Add(-c.bounds.RecoveryTime), r.At, a.instance) && c.disturbances.undisturbed(newer.at, r.At, metaStorePart, r.Target) {
		c.addViolation("VERSION", "request %s started at %s on weight version %d, %v after version %d was requested", r.ID, r.Target, r.Weights, r.At.Sub(newer.at), newer.version)
	}
}

// connected reports whether an instance ran without disturbances or planned stops between two times and the metadata store was
// undisturbed.
func (c *checker) connected(from, to time.Time, instance string) bool {
	return c.disturbances.undisturbed(from, to, instance, stopPart(instance), metaStorePart)
}

// stopPart returns the part name of an instance's planned stops.
func stopPart(instance string) string { return instance + " stops" }

// checkConfiguration checks that the route and the API key of a run were configured: in any configuration so far, and, if the
// instance was connected, in one that was in force within the bound for applying configurations before the request was sent.
func (c *checker) checkConfiguration(a *attempt, r standin.Run) {
	ever, current := c.history.routeAllowed(a.class.prefix, r.Service, a.sent.Add(-c.bounds.ConfigApply))
	connected := c.connected(a.sent.Add(-c.bounds.ConfigApply-c.bounds.RecoveryTime), r.At, a.instance)
	if !ever {
		c.addViolation("ROUTE", "request %s to %s ran at service %s, which no configuration allows", r.ID, a.class.prefix, r.Service)
	} else if !current && connected {
		c.addViolation("CONFIG", "request %s to %s ran at service %s, which the configuration stopped routing to more than %v before", r.ID, a.class.prefix, r.Service, c.bounds.ConfigApply)
	}
	ever, current = c.history.keyAllowed(a.call.Key, a.sent.Add(-c.bounds.ConfigApply))
	if !ever {
		c.addViolation("ROUTE", "request %s ran although no configuration contains its key", r.ID)
	} else if !current && connected {
		c.addViolation("CONFIG", "request %s ran although its key was revoked more than %v before", r.ID, c.bounds.ConfigApply)
	}
}

// Answered implements standin.Observer.
func (c *checker) Answered(ans standin.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[ans.ID]; a != nil {
		a.answers = append(a.answers, ans)
	}
}

// Ordered implements standin.Observer. It checks that the fencing tokens of the orders to a target do not decrease.
func (c *checker) Ordered(o standin.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, ok := c.orders[o.Target]
	c.orders[o.Target] = o
	if ok && o.Token < previous.Token && c.connected(o.At.Add(-c.bounds.RecoveryTime), o.At, o.Holder) {
		c.addViolation("ONE", "target %s received an order from %s with token %d after one from %s with token %d", o.Target, o.Holder, o.Token, previous.Holder, previous.Token)
	}
}

// checkReply records and checks the result of an attempt as its caller received it; err is the error of a missing or incomplete
// answer.
func (c *checker) checkReply(a *attempt, reply standin.Reply, body string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.done, a.reply = time.Now(), reply
	if err != nil {
		a.err = err.Error()
		c.checkPart(a, reply, body)
		c.checkLost(a)
		return
	}
	a.notRun = reply.NotRun()
	if a.notRun && !a.class.repeatable && len(a.ran) > 0 {
		c.addViolation("REFUSED", "request %s (%s) received %d, which means that it did not run, but ran at %s", a.call.ID, a.class.name, reply.Status, a.ran[0].Target)
	}
	switch {
	case a.answerWith(reply.Stamp) != nil: // a target may answer with any status
		c.checkAnswer(a, reply, body)
	case reply.NotRun():
		if reply.RetryAfter == "" {
			c.addViolation("RETRY", "request %s was refused with %d without Retry-After", a.call.ID, reply.Status)
		}
	case reply.Denied():
		if c.history.keyAlwaysConfigured(a.call.Key) && c.history.routeAlwaysConfigured(a.class.prefix) {
			c.addViolation("DENIED", "request %s received %d from %s although all configurations contain its key and route", a.call.ID, reply.Status, a.instance)
		} else {
			c.checkDenied(a, reply)
		}
	case reply.Status/100 == 2 || reply.Stamp != "":
		c.checkAnswer(a, reply, body)
	}
}

// checkAnswer checks that a reply is the answer that a target sent to this request.
func (c *checker) checkAnswer(a *attempt, reply standin.Reply, body string) {
	if reply.ID != a.call.ID {
		c.addViolation("MIXED", "request %s received the answer to %q", a.call.ID, reply.ID)
		return
	}
	ans := a.answerWith(reply.Stamp)
	switch {
	case ans == nil:
		c.addViolation("MIXED", "request %s received status %d with stamp %q, which no target sent", a.call.ID, reply.Status, reply.Stamp)
	case ans.Status != reply.Status:
		c.addViolation("MIXED", "request %s received status %d, but its target sent %d", a.call.ID, reply.Status, ans.Status)
	case ans.Stream:
		c.checkEvents(a, body, true)
	case ans.Body != body:
		c.addViolation("MIXED", "request %s received %d bytes, which differ from the %d that its target sent (answers: %s)", a.call.ID, len(body), len(ans.Body), a.describeAnswers())
	}
}

// checkPart checks the part that a caller received of an answer that was cut.
func (c *checker) checkPart(a *attempt, reply standin.Reply, body string) {
	ans := a.answerWith(reply.Stamp)
	switch {
	case ans != nil && !ans.Stream:
		if reply.Status != ans.Status || !strings.HasPrefix(ans.Body, body) {
			c.addViolation("MIXED", "request %s received status %d and %d bytes that do not begin the answer of its target (answers: %s)", a.call.ID, reply.Status, len(body), a.describeAnswers())
		}
	case a.class.stream && reply.Status == http.StatusOK:
		c.checkEvents(a, body, false)
	}
}

// answerWith returns the first answer with the stamp that a target sent to the attempt, nil if there is none.
func (a *attempt) answerWith(stamp string) *standin.Answer {
	i := slices.IndexFunc(a.answers, func(ans standin.Answer) bool { return ans.Stamp == stamp })
	if i < 0 {
		return nil
	}
	return &a.answers[i]
}

// describeAnswers lists what targets sent to the attempt.
func (a *attempt) describeAnswers() string {
	list := make([]string, len(a.answers))
	for i, ans := range a.answers {
		list[i] = fmt.Sprintf("%s sent %d after event %q, stream: %t, %d bytes", ans.Target, ans.Status, ans.Resume, ans.Stream, len(ans.Body))
	}
	return strings.Join(list, "; ")
}

// checkLost checks whether a fault explains that an answer is missing or incomplete. A planned stop does not, unless a target was at work
// on a request that was sent long after the start of the stop, or still when little of the time to stop was left.
func (c *checker) checkLost(a *attempt) {
	const (
		maxLateStart   = 3 * time.Second       // after the start of a stop
		deadlineMargin = 50 * time.Millisecond // the target ends at the deadline by its own clock, and its end takes two hops
	)
	if a.abandoned || a.afterCut || a.instance == "" || a.done.Add(deadlineMargin).After(a.sent.Add(a.call.Patience)) {
		return
	}
	from := a.sent.Add(-c.bounds.RecoveryTime)
	if len(a.arrived) == 0 {
		// The instance had the whole request and neither passed it on nor refused it. No bound in time is judged, so that a stall
		// of this machine and the state of the metadata store are no excuse.
		if a.sentWhole && !c.disturbances.anyWithin(from, a.done, a.instance) {
			c.addLost(a, "never arrived at a target")
		}
		return
	}
	for _, r := range a.arrived {
		if !c.disturbances.undisturbed(from, a.done, r.Target) {
			return // its target was disturbed
		}
	}
	stop, planned := c.history.plannedStop(a.instance, a.sent.Add(-maxLateStart), a.done)
	late := planned && (a.sent.After(stop.Add(maxLateStart)) || a.done.After(stop.Add(c.bounds.StopTimeout*5/6)))
	if !late && c.disturbances.undisturbed(from, a.done, a.instance, metaStorePart, callerLinksPart) {
		c.addLost(a, "arrived at "+a.arrived[len(a.arrived)-1].Target)
	}
}

// addLost records that an attempt ended without a complete answer and without an excuse.
func (c *checker) addLost(a *attempt, progress string) {
	when := "no planned stop"
	if stop, ok := c.stopAround(a); ok {
		when = fmt.Sprintf("sent %v and ended %v after SIGTERM", a.sent.Sub(stop), a.done.Sub(stop))
	}
	conn := cmp.Or(a.conn, "through a link")
	if a.afterClose {
		conn += ", behind an answer with Connection: close"
	}
	c.lost[conn]++
	c.violationCounts["LOST"]++
	if c.lost[conn] <= maxTextsPerRule {
		c.violations = append(c.violations, violation{Rule: "LOST", At: time.Since(c.start), Text: fmt.Sprintf(
			"request %s (%s, %s) through %s ended without a complete answer after %v, %s, %s: %s", a.call.ID, a.class.name, conn, a.instance,
			a.done.Sub(a.sent), progress, when, a.err)})
	}
}

// stopAround returns the start of the planned stop during which an attempt ended, and whether there is one.
func (c *checker) stopAround(a *attempt) (time.Time, bool) {
	return c.history.plannedStop(a.instance, a.done.Add(-c.bounds.StopTimeout-time.Second), a.done)
}
