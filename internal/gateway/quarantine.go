package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/pause"
	"github.com/egrethoist/egrethoist/internal/quarantine"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

const (
	// probeSettleTime is how long a request that has claimed a probe waits for competing claims: several one-way delays.
	probeSettleTime = 20 * time.Millisecond
	// survivalTime is how long after the first event of its answer a probe has succeeded: a part that crashes targets does so as soon
	// as they begin to answer.
	survivalTime = 500 * time.Millisecond
	// maxEagerHash is the size in bytes of a body up to which an answered request's identity is remembered even while there is no evidence. Requests that
	// many callers send alike are small.
	maxEagerHash = 4 << 10
	// minReportPeriod and reportPeriodPerInstance determine how often evidence is sent again to instances that may have missed it.
	minReportPeriod         = 2 * time.Second
	reportPeriodPerInstance = 20 * time.Millisecond
	// fullRepeatAge is the age up to which evidence without a quarantine is sent in each period; older evidence is sent the more rarely the older it
	// is. Most requests that an ordinary crash has cut never come again, so that no answer refutes what is suspected of them.
	fullRepeatAge = 20 * time.Second
)

// resendDelays are the times after which a message is sent again, since datagrams are lost occasionally.
var resendDelays = []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, time.Second}

// errQuarantined cancels an attempt whose answer has not begun when one of its parts is suspected or quarantined.
var errQuarantined = errors.New("a part of the prompt is suspected to crash targets")

// quarantineError is returned for a request that must not run because it or one of its parts may crash targets.
type quarantineError struct {
	reason     string
	retryAfter time.Duration
}

func (e *quarantineError) Error() string { return e.reason }

// quarantineService applies the verdicts of a quarantine.Tracker to this instance's requests, and exchanges evidence with the other
// instances. It is safe for concurrent use.
type quarantineService struct {
	state     *State
	tracker   *quarantine.Tracker
	self      uint64        // random, so that holders of claims differ between instances
	holders   atomic.Uint64 // number of claims made
	inFlight  sync.Map      // of *inFlightCall: requests at targets whose answers have not begun
	crashes   tally.Counter // crashed targets that had cut requests of this instance
	probes    tally.Counter
	sent      tally.Counter // attempts by requests that probe; the other probes were refused before, for example by admission
	refusals  tally.Counter // requests refused because of quarantined or suspected parts
	suspected tally.Gauge   // parts
	listed    tally.Gauge   // quarantined parts or sets of parts

	mu       sync.Mutex
	conn     net.PacketConn // nil until the Gossip listens
	awaited  map[uint64]*awaitedCrash
	reported map[uint64]bool   // incarnations whose crashes this instance has reported
	refused  map[string]int    // refused requests by quarantine that are not in the metadata store yet
	restored map[string]uint64 // revision by key of the records of the metadata store that were applied
	records  map[string]quarantine.Record
	// countedAt is when this instance last added its refused requests to a record.
	countedAt map[string]time.Time
}

// awaitedCrash is the crash of an incarnation of a target that may be reported soon.
type awaitedCrash struct {
	known   chan struct{} // closed when an instance has reported the crash
	waiting int           // callers of awaitCrash
}

// inFlightCall is a request at a target whose answer has not begun.
type inFlightCall struct {
	promptParts []quarantine.Part
	identity    *requestIdentity
	weights     int
	repeatable  bool
	probing     bool
	begun       *atomic.Bool
	cancel      context.CancelCauseFunc
}

func newQuarantineService(s *State, m tally.Scope) *quarantineService {
	if m == nil {
		m = tally.NoopScope
	}
	return &quarantineService{
		state: s, tracker: quarantine.NewTracker(time.Now()), self: rand.Uint64() << 16,
		crashes: m.Counter("target_crashes"), probes: m.Counter("quarantine_probes"), sent: m.Counter("quarantine_probes_sent"), refusals: m.Counter("requests_refused_for_quarantine"),
		suspected: m.Gauge("parts_suspected"), listed: m.Gauge("parts_quarantined"),
		awaited: map[uint64]*awaitedCrash{}, reported: map[uint64]bool{}, refused: map[string]int{}, restored: map[string]uint64{}, records: map[string]quarantine.Record{}, countedAt: map[string]time.Time{},
	}
}

// promptParts returns the parts of the request's prompt, none at a plain service.
func (rq *request) promptParts() []quarantine.Part {
	if rq.partKeys == nil && rq.service.Engine != nil {
		for _, p := range rq.call.Parts {
			if part := (quarantine.Part{Model: rq.call.Model, ID: p.ID}); part.Valid() {
				rq.partKeys = append(rq.partKeys, part)
			}
		}
	}
	return rq.partKeys
}

// quarantineParts returns what may be suspected of the request: the parts of its prompt and the request as a whole.
func (rq *request) quarantineParts() []quarantine.Part {
	return withIdentity(rq.promptParts(), rq.identity)
}

// withIdentity returns the parts and the one that stands for the whole request.
func withIdentity(parts []quarantine.Part, identity *requestIdentity) []quarantine.Part {
	if identity == nil {
		return parts
	}
	return append(slices.Clip(parts), identity.get())
}

// admitParts waits until the request may run in spite of suspicions against it or its parts. It returns a quarantineError if it may not,
// and the context's error if the request has ended. A request that may run as a probe has rq.probe set.
func (rq *request) admitParts() error {
	rq.endProbe()
	q := rq.gateway.opts.State.quarantine
	if !q.tracker.HasEvidence() {
		return nil // the identity need not be computed
	}
	parts, weights := rq.quarantineParts(), rq.view.weights[rq.call.Model]
	if q.tracker.Check(parts, weights, time.Now()).Verdict == quarantine.Allow {
		return nil
	}
	begin := time.Now()
	probeTime, slack := rq.probeOutlook(begin)
	giveUp := begin
	if probeTime <= slack {
		giveUp = begin.Add(slack)
	}
	for {
		if err := rq.ctx.Err(); err != nil {
			return err
		}
		changed, now := q.tracker.Changed(), time.Now()
		switch d := q.tracker.Check(parts, weights, now); d.Verdict {
		case quarantine.Allow:
			return nil
		case quarantine.Refuse:
			q.countRefusal(d.Parts)
			return &quarantineError{reason: fmt.Sprintf("%s crashes targets", describeAccused(d.Parts)), retryAfter: d.Until.Sub(now)}
		case quarantine.Probe:
			if rq.claimProbe(d.Parts) {
				return nil
			}
		case quarantine.Wait:
			if !now.Before(giveUp) {
				q.refusals.Inc(1)
				return &quarantineError{
					reason:     fmt.Sprintf("%s is being probed: it may crash targets", describeAccused(d.Parts)),
					retryAfter: pause.RetryDelay(probeTime, rq.remaining(now), rq.rng),
				}
			}
			select {
			case <-changed:
			case <-time.After(giveUp.Sub(now)):
			case <-rq.ctx.Done():
				return rq.ctx.Err()
			}
		}
	}
}

// probeOutlook returns how long a probe of the request's parts is expected to take, and how long the request can wait for its result and still be
// answered in its caller's time.
func (rq *request) probeOutlook(now time.Time) (probeTime, slack time.Duration) {
	if rq.service.Engine != nil && rq.prefix == nil {
		rq.prefix = rq.lookupPrefix(now)
	}
	slack = math.MinInt64
	for _, t := range rq.service.orderedTargets {
		if s := rq.slack(t, now); s > slack {
			first, _ := rq.expectedAnswer(t, now)
			probeTime, slack = first+survivalTime, s
		}
	}
	return max(probeTime, survivalTime), slack
}

// claimProbe claims the probe of the parts for the request. It returns false if another request was first.
func (rq *request) claimProbe(parts []quarantine.Part) bool {
	q := rq.gateway.opts.State.quarantine
	holder := q.self + q.holders.Add(1)
	if !q.tracker.Claim(parts, holder, time.Now()) {
		return false
	}
	rq.probe, rq.probeHolder = parts, holder
	if peers := q.send(quarantine.Message{Claim: &quarantine.ClaimMessage{Holder: holder, Parts: parts}}); peers > 0 {
		if sleep.For(rq.ctx, probeSettleTime) != nil || !q.tracker.Holds(parts, holder, time.Now()) {
			rq.endProbe()
			return false
		}
	}
	q.probes.Inc(1)
	klog.InfoS("request probes suspected parts", "id", rq.call.ID, "parts", describeParts(parts))
	return true
}

// endProbe releases the probe that the request has claimed, if any.
func (rq *request) endProbe() {
	if rq.probe == nil {
		return
	}
	q := rq.gateway.opts.State.quarantine
	q.tracker.Release(rq.probe, rq.probeHolder, time.Now())
	q.send(quarantine.Message{Claim: &quarantine.ClaimMessage{Holder: rq.probeHolder, Parts: rq.probe, Released: true}})
	rq.probe, rq.probeHolder = nil, 0
}

// recordServed records that a target has answered the request, or has been answering it for long enough.
func (rq *request) recordServed() {
	q, parts := rq.gateway.opts.State.quarantine, rq.promptParts()
	if len(rq.body) <= maxEagerHash || q.tracker.HasEvidence() {
		parts = rq.quarantineParts()
	}
	q.recordServed(parts)
}

// survived reports whether the target of an attempt has run the request to its end.
func (rq *request) survived(a *attempt) bool {
	switch {
	case rq.service.Engine != nil:
		return a.outcome == attemptServed && a.status == http.StatusOK
	case a.reply.NotRun, a.reply.ImpliesNotRun:
		return false
	}
	return a.outcome == attemptServed || a.outcome == attemptFailed && a.status >= http.StatusInternalServerError
}

func (q *quarantineService) recordServed(parts []quarantine.Part) {
	now := time.Now()
	announce, changes := q.tracker.RecordServed(parts, now)
	q.sendServed(announce, now)
	q.apply(changes)
}

// trackInFlight makes the request's attempt cancellable until its answer has begun. The caller must call the returned function when the
// attempt has ended.
func (rq *request) trackInFlight(cancel context.CancelCauseFunc) (done func()) {
	q := rq.gateway.opts.State.quarantine
	call := &inFlightCall{
		promptParts: rq.promptParts(), identity: rq.identity, weights: rq.view.weights[rq.call.Model], repeatable: rq.route.Repeatable(), probing: rq.probe != nil,
		begun: &rq.targetBegan, cancel: cancel,
	}
	if call.probing {
		rq.probeSent = true
		q.sent.Inc(1)
	}
	q.inFlight.Store(call, nil)
	return func() { q.inFlight.Delete(call) }
}

// cancelUnbegun cancels the requests whose answers have not begun and that must not run now.
func (q *quarantineService) cancelUnbegun() {
	now := time.Now()
	if !q.tracker.HasEvidence() {
		return
	}
	q.inFlight.Range(func(key, _ any) bool {
		call := key.(*inFlightCall)
		if call.begun.Load() || call.probing {
			return true
		}
		switch d := q.tracker.Check(withIdentity(call.promptParts, call.identity), call.weights, now); {
		case d.Verdict == quarantine.Refuse, d.Verdict != quarantine.Allow && call.repeatable:
			call.cancel(errQuarantined)
		}
		return true
	})
}

// setConn sets the connection on which messages are sent.
func (q *quarantineService) setConn(conn net.PacketConn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.conn = conn
}

// suspectsOf returns the suspects of the requests that a target cut when it crashed, at the given time or when another instance saw it. A request that was
// sent later, on a connection that was not yet known to have ended, is not to blame.
func (q *quarantineService) suspectsOf(t *target, at time.Time, cut ...cutRequest) []quarantine.Suspect {
	if seen, ok := q.tracker.CrashedAt(uint64(t.incarnation)); ok && seen.Before(at) {
		at = seen
	}
	var out []quarantine.Suspect
	for _, c := range cut {
		if !c.sent.After(at) {
			out = append(out, c.suspects...)
		}
	}
	return out
}

// reportCrash adds evidence of this instance and tells the other ones.
func (q *quarantineService) reportCrash(t *target, suspects []quarantine.Suspect, at time.Time) {
	now := time.Now()
	weights := t.newestWeights()
	crash := quarantine.Crash{Incarnation: uint64(t.incarnation), At: at, Suspects: suspects}
	q.mu.Lock()
	q.reported[crash.Incarnation] = true
	q.mu.Unlock()
	for _, message := range crash.Report(weights, now) {
		q.send(message)
	}
	q.learnCrash(crash, weights, now)
}

// learnCrash adds evidence of this or another instance.
func (q *quarantineService) learnCrash(crash quarantine.Crash, weights int, now time.Time) {
	answered, changes := q.tracker.LearnCrash(crash, weights, now)
	q.mu.Lock()
	if awaited := q.awaited[crash.Incarnation]; awaited != nil {
		close(awaited.known)
		delete(q.awaited, crash.Incarnation)
	}
	q.mu.Unlock()
	q.sendAnswered(answered)
	q.apply(changes)
}

// awaitCrash waits until an instance has reported the crash of an incarnation of a target, at most for the given time.
func (q *quarantineService) awaitCrash(incarnation uint64, limit time.Duration) {
	q.mu.Lock()
	awaited := q.awaited[incarnation]
	if awaited == nil {
		awaited = &awaitedCrash{known: make(chan struct{})}
		q.awaited[incarnation] = awaited
	}
	awaited.waiting++
	q.mu.Unlock()
	if _, known := q.tracker.CrashedAt(incarnation); !known {
		select {
		case <-awaited.known:
		case <-time.After(limit):
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if awaited.waiting--; awaited.waiting == 0 && q.awaited[incarnation] == awaited {
		delete(q.awaited, incarnation)
	}
}

// handleDatagram processes a datagram. It returns false if it is not one of this service.
func (q *quarantineService) handleDatagram(b []byte, from net.Addr) bool {
	if !quarantine.IsMessage(b) {
		return false
	}
	m, err := quarantine.Parse(b)
	if err != nil {
		klog.V(1).InfoS("invalid quarantine message dropped", "from", from.String(), "err", err.Error())
		return true
	}
	now := time.Now()
	if m.Crash != nil {
		q.learnCrash(m.Crash.Crash(now), m.Crash.Weights, now)
	}
	for _, s := range m.Served {
		q.apply(q.tracker.LearnServed(s.Part, s.At(now), now))
	}
	switch c := m.Claim; {
	case c == nil:
	case c.Released:
		q.tracker.Release(c.Parts, c.Holder, now)
	default:
		q.tracker.LearnClaim(c.Parts, c.Holder, now)
	}
	return true
}

// sendServed tells the other instances that this one has received answers for parts.
func (q *quarantineService) sendServed(parts []quarantine.Part, now time.Time) {
	if len(parts) == 0 {
		return
	}
	message := quarantine.Message{}
	for _, p := range parts {
		if at, ok := q.tracker.LastServed(p, now); ok {
			message.Served = append(message.Served, quarantine.ServedAt(p, at, now))
		}
	}
	q.send(message)
}

// sendAnswered tells the other instances that parts under evidence were answered lately. In a large fleet many instances know that of
// a common part, so each waits for a random time and then sends only what nobody else has.
func (q *quarantineService) sendAnswered(parts []quarantine.Part) {
	const delayPerInstance = time.Millisecond
	if len(parts) == 0 {
		return
	}
	time.AfterFunc(rand.N(time.Duration(q.state.instanceCount())*delayPerInstance), func() {
		now := time.Now()
		q.sendServed(slices.DeleteFunc(parts, func(p quarantine.Part) bool { return !q.tracker.MustAnnounce(p, now) }), now)
	})
}

// send sends a message to all other instances, now and again after resendDelays. It returns their number.
func (q *quarantineService) send(m quarantine.Message) int {
	raw, err := m.Encode()
	if err != nil {
		klog.ErrorS(err, "cannot encode quarantine message")
		return 0
	}
	n := q.sendOnce(raw)
	if n > 0 {
		for _, delay := range resendDelays {
			time.AfterFunc(delay, func() { q.sendOnce(raw) })
		}
	}
	return n
}

func (q *quarantineService) sendOnce(raw []byte) int {
	q.mu.Lock()
	conn := q.conn
	q.mu.Unlock()
	if conn == nil {
		return 0
	}
	peers := q.state.PeerAddresses()
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			continue // the instance's record has no valid address
		}
		_, _ = conn.WriteTo(raw, address) // sent again later
	}
	return len(peers)
}

// run sends the evidence in force again from time to time until ctx ends: instances that were cut off or started since have missed it.
// Each instance repeats its own reports always, and those of others rarely, in case their reporter has ended.
func (q *quarantineService) run(ctx context.Context) {
	for {
		instances := q.state.instanceCount()
		if sleep.For(ctx, max(minReportPeriod, time.Duration(instances)*reportPeriodPerInstance)) != nil {
			return
		}
		now := time.Now()
		q.apply(q.tracker.Expire(now))
		q.forget()
		forOthers := rand.IntN(instances) == 0
		quarantined := map[quarantine.Part]bool{}
		for _, listed := range q.tracker.Quarantines() {
			for _, p := range listed.Parts {
				quarantined[p] = true
			}
		}
		for _, crash := range q.tracker.Evidence() {
			q.mu.Lock()
			own := q.reported[crash.Incarnation]
			q.mu.Unlock()
			established := slices.ContainsFunc(crash.Suspects, func(s quarantine.Suspect) bool { return quarantined[s.Part] })
			if !own && !forOthers || !established && rand.N(max(now.Sub(crash.At), 1)) > fullRepeatAge {
				continue
			}
			for _, message := range crash.Report(0, now) {
				if raw, err := message.Encode(); err == nil {
					q.sendOnce(raw)
				}
			}
		}
	}
}

// forget drops what refers to evidence and quarantines that are no more.
func (q *quarantineService) forget() {
	evidence, listed := map[uint64]bool{}, map[string]bool{}
	for _, crash := range q.tracker.Evidence() {
		evidence[crash.Incarnation] = true
	}
	for _, quarantined := range q.tracker.Quarantines() {
		listed[quarantined.Key()] = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.reported, func(incarnation uint64, _ bool) bool { return !evidence[incarnation] })
	maps.DeleteFunc(q.refused, func(key string, _ int) bool { return !listed[key] })
}

// apply logs changed beliefs, updates the metrics and cancels requests that must not run any more.
func (q *quarantineService) apply(changes []quarantine.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		switch c.Kind {
		case quarantine.Suspected:
			klog.InfoS("parts suspected", "parts", describeParts(c.Parts))
		case quarantine.Cleared:
			klog.InfoS("parts cleared", "parts", describeParts(c.Parts))
		case quarantine.Quarantined:
			klog.InfoS("part quarantined", "parts", describeParts(c.Parts), "crashes", c.Quarantine.Crashes, "until", c.Quarantine.Until, "weights", c.Quarantine.WeightVersion)
		}
	}
	q.suspected.Update(float64(q.tracker.SuspectCount()))
	q.listed.Update(float64(len(q.tracker.Quarantines())))
	q.cancelUnbegun()
}

// countRefusal counts a refused request of a quarantine.
func (q *quarantineService) countRefusal(parts []quarantine.Part) {
	q.refusals.Inc(1)
	key := (&quarantine.Quarantine{Parts: parts}).Key()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refused[key]++
}

// restore applies the records of the metadata store.
func (q *quarantineService) restore(items []metastore.Item, now time.Time) {
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
		q.mu.Lock()
		known := q.restored[item.Key] == item.Revision
		q.restored[item.Key] = item.Revision
		q.mu.Unlock()
		if known {
			continue
		}
		record, err := quarantine.ParseRecord(item.Value)
		if err != nil {
			klog.ErrorS(err, "invalid quarantine record ignored", "key", item.Key)
			continue
		}
		q.mu.Lock()
		q.records[item.Key] = record
		q.mu.Unlock()
		if record.Lifted() {
			klog.InfoS("quarantine lifted by an operator", "parts", describeParts(record.Parts))
			q.apply(q.tracker.Lift(record.Parts, now.Add(-max(now.Sub(time.UnixMilli(record.LiftedMs)), 0)), now))
		} else if record.Remembered(now) {
			klog.InfoS("quarantine read from the metadata store", "parts", describeParts(record.Parts), "crashes", record.Crashes, "reported_by", record.ReportedBy)
			q.apply(q.tracker.Restore(record.Quarantine(now), now))
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for key := range q.records {
		if !present[key] {
			delete(q.records, key)
			delete(q.restored, key)
			delete(q.countedAt, key)
		}
	}
}

// describeAccused returns what a quarantine or suspicion is of, for callers and logs.
func describeAccused(parts []quarantine.Part) string {
	if slices.ContainsFunc(parts, func(p quarantine.Part) bool { return !p.IsRequest() }) {
		return "part " + describeParts(parts)
	}
	return describeParts(parts)
}

// describeParts returns the IDs of parts for logs and errors.
func describeParts(parts []quarantine.Part) string {
	out := ""
	for i, p := range parts {
		if i > 0 {
			out += "+"
		}
		out += p.ID
	}
	return out
}
