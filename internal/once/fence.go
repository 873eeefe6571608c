package once

import (
	"slices"
	"time"
)

// FenceResult is the answer of an earlier home to a FenceRequest, or what is known about that home if it did not
// answer.
type FenceResult struct {
	Target      string
	State       State     // StateNone: fenced; it has not run there and never will under an older revision
	Fingerprint [32]byte  // for StateRunning and StateDone
	Answer      *Answer   // for StateDone, if still stored
	Unreachable bool      // the state is StateUnknown because the target did not answer
	GoneSince   time.Time // the target runs nothing from then on: it is gone, or acts on a later generation
}

// fenceRetry is the delay before the next attempt if an earlier home does not know the outcome.
const fenceRetry = time.Second

// FenceRequest is the request to an earlier home of a key never to run it again under an older revision.
type FenceRequest struct {
	Key      Key
	NewHome  string    // target that sends the request
	Revision uint64    // of the generation under which NewHome is home of the key
	ReadAt   time.Time // BeginRequest.ReadAt of the request that NewHome wants to run
}

// Fence handles the request of a target that is home of a key under a later generation, and returns the state of the key
// here. A key that this ledger does not hold is recorded as fenced: the ledger refuses it until this target is its home
// again under a still later generation. The state is StateNone only if the key is proved not to have run here.
func (l *Ledger) Fence(r FenceRequest, now time.Time) FenceResult {
	l.expire(now)
	e := l.keys[r.Key]
	switch {
	case e != nil && e.state != StateFenced:
		return FenceResult{Target: l.opts.Target, State: e.state, Fingerprint: e.fingerprint, Answer: e.answer}
	case l.requestIsStale(r):
		return FenceResult{Target: l.opts.Target, State: StateUnknown}
	case e == nil && len(l.keys) >= l.opts.MaxKeys:
		// A fence that cannot be recorded must not be promised.
		return FenceResult{Target: l.opts.Target, State: StateUnknown}
	}
	notRun := l.certifiesNotRun(r, e, now)
	l.recordFence(r, e, notRun, now)
	if !notRun {
		return FenceResult{Target: l.opts.Target, State: StateUnknown}
	}
	return FenceResult{Target: l.opts.Target, State: StateNone}
}

// requestIsStale reports whether this target is home of the key under a generation at least as new as that of the
// request. Two targets can therefore never fence each other under the same revision.
func (l *Ledger) requestIsStale(r FenceRequest) bool {
	return l.homes.HomeOf(r.Key) == l.opts.Target && l.homes.Current().Revision >= r.Revision
}

// certifiesNotRun reports whether a key that is not held, or only as fenced, is proved not to have run here.
func (l *Ledger) certifiesNotRun(r FenceRequest, e *entry, now time.Time) bool {
	if e != nil {
		return e.fence.notRun
	}
	_, ok := l.coversUse(newKeyUse(r.Key, r.ReadAt), now)
	return ok
}

// recordFence replaces what is held for the key by a fence for the requesting target.
func (l *Ledger) recordFence(r FenceRequest, old *entry, notRun bool, now time.Time) {
	if old != nil {
		l.drop(old)
	}
	l.fenceSeq++
	l.insert(&entry{
		key:   r.Key,
		state: StateFenced,
		fence: fenceRecord{newHome: r.NewHome, revision: r.Revision, notRun: notRun, seq: l.fenceSeq},
	}, now)
}

// checkEarlierHomes evaluates the answers of the earlier homes. done is false if all of them prove that the key did not
// run there; otherwise r is the result for the caller.
func (l *Ledger) checkEarlierHomes(req BeginRequest, e *entry, u keyUse, now time.Time) (r Result, done bool) {
	targets := l.homes.EarlierHomes(req.Key, l.opts.Target)
	var token uint64
	if e != nil {
		token = e.fence.seq
		if !slices.Contains(targets, e.fence.newHome) {
			targets = append(targets, e.fence.newHome)
		}
	}
	// Answers fetched before the key was fenced here are void: the target that fenced it may have run it since.
	if len(targets) > 0 && (req.Token != token || !hasAllResults(targets, req.FenceResults)) {
		return Result{Verdict: FenceEarlier, FenceTargets: targets, Token: token}, true
	}
	for _, target := range targets {
		if r, done := l.evaluateFence(req, findResult(req.FenceResults, target), u, now); done {
			return r, true
		}
	}
	return Result{}, false
}

func hasAllResults(targets []string, results []FenceResult) bool {
	for _, t := range targets {
		if findResult(results, t) == nil {
			return false
		}
	}
	return true
}

func findResult(results []FenceResult, target string) *FenceResult {
	i := slices.IndexFunc(results, func(r FenceResult) bool { return r.Target == target })
	if i < 0 {
		return nil
	}
	return &results[i]
}

// evaluateFence turns the answer of one earlier home into a result. It returns false if the answer proves that the key
// did not run there.
func (l *Ledger) evaluateFence(req BeginRequest, res *FenceResult, u keyUse, now time.Time) (Result, bool) {
	if res.State == StateRunning || res.State == StateDone {
		return l.resultOf(&entry{state: res.State, fingerprint: res.Fingerprint, answer: res.Answer}, req.Fingerprint), true
	}
	if res.State == StateNone {
		return Result{}, false
	}
	if !res.GoneSince.IsZero() {
		wait, ok := l.usedOnlyAfter(u, res.GoneSince, now)
		return Result{Verdict: OutcomeUnknown, RetryAfter: wait}, !ok
	}
	// A target that can have been home only under missed revisions acts on the later, known one after MaxPropagation, so
	// an unreachable one cannot run a key that was first used after that.
	if since, ok := l.homes.onlyUnderMissed(req.Key, res.Target); ok && res.Unreachable {
		if _, ok := l.usedOnlyAfter(u, since.Add(l.opts.MaxPropagation), now); ok {
			return Result{}, false
		}
	}
	return Result{Verdict: OutcomeUnknown, RetryAfter: fenceRetry}, true
}
