package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/fairness"
	"github.com/egrethoist/egrethoist/internal/world"
)

// plainCost is the predicted service time of every request of a plain service.
const plainCost = 10 * time.Millisecond

// nominalRates, in tokens per second, are used until the engine has reported its own rates.
var nominalRates = fairness.Rates{PrefillPerSec: 5000, DecodePerSec: 30}

// estimator predicts the service time of requests at this target.
type estimator struct {
	rates atomic.Pointer[fairness.Rates]

	mu       sync.Mutex
	nominal  fairness.NominalRates
	model    *fairness.Estimator
	slowdown float64 // EWMA of the ratio of latency to the service time at an unloaded target
}

// Weight of a new sample in the slowdown, and limits of one sample.
const (
	slowdownGain = 0.1
	minSlowdown  = 1.0
	maxSlowdown  = 50.0
)

func (e *estimator) init() {
	rates := nominalRates
	e.rates.Store(&rates)
	e.model = fairness.NewEstimator()
	e.slowdown = minSlowdown
}

// observeReport records the rates of a load report; a report without rates is ignored.
func (e *estimator) observeReport(report engine.LoadReport) {
	if report.PrefillPerSec <= 0 || report.DecodePerSec <= 0 {
		return
	}
	e.mu.Lock()
	e.nominal.Observe(report.PrefillPerSec, report.DecodePerSec)
	e.mu.Unlock()
	e.rates.Store(&fairness.Rates{PrefillPerSec: report.PrefillPerSec, DecodePerSec: report.DecodePerSec})
}

// modelWork describes a model request of which cached prompt tokens need no prefill.
func modelWork(open *egretv1.Open, cached int) fairness.Work {
	return fairness.Work{
		PromptTokens: int(open.PromptTokens),
		CachedTokens: cached,
		MaxTokens:    int(open.MaxTokens),
	}
}

// cost predicts the service time of an attempt at the current load of the target.
func (e *estimator) cost(open *egretv1.Open) time.Duration {
	if open.PromptTokens == 0 && open.MaxTokens == 0 {
		return plainCost
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	unloaded := e.model.Cost(open.Workspace, priority(open), modelWork(open, 0), *e.rates.Load())
	return time.Duration(float64(unloaded) * e.slowdown)
}

// unloadedCost returns the service time of a finished request at a warm, unloaded target. For plain services any
// constant will do, since admission control compares latencies only with each other.
func (e *estimator) unloadedCost(open *egretv1.Open, u engine.Usage) time.Duration {
	if u.PromptTokens == 0 {
		return plainCost
	}
	e.mu.Lock()
	rates := e.nominal.Rates(nominalRates)
	e.mu.Unlock()
	return fairness.ActualCost(modelWork(open, u.CachedTokens), u.OutputTokens, rates)
}

// observeRun updates the estimates with the latency and token usage of a finished request.
func (e *estimator) observeRun(open *egretv1.Open, u engine.Usage, latency time.Duration) {
	if u.PromptTokens == 0 {
		return
	}
	unloaded := e.unloadedCost(open, u)
	e.mu.Lock()
	defer e.mu.Unlock()
	if unloaded > 0 {
		ratio := min(max(float64(latency)/float64(unloaded), minSlowdown), maxSlowdown)
		e.slowdown += slowdownGain * (ratio - e.slowdown)
	}
	e.model.Observe(open.Workspace, priority(open), modelWork(open, u.CachedTokens), u.OutputTokens)
}

func priority(open *egretv1.Open) world.Priority {
	if open.Priority == egretv1.Priority_PRIORITY_QUICK {
		return world.PriorityQuick
	}
	return world.PriorityDraft
}

// gateRequest returns the admission parameters of the attempt. The weight comes from the configuration and is never
// trusted from the entry gateway.
func (r *attemptRun) gateRequest() gateRequest {
	w := gateRequest{
		workspace: r.open.Workspace,
		weight:    1,
		priority:  priority(r.open),
		cost:      r.s.estimate.cost(r.open),
	}
	if cfg := r.s.opts.Config.Current(); cfg != nil && cfg.Workspaces[w.workspace] != nil {
		w.weight = cfg.Workspaces[w.workspace].Weight
	}
	if r.open.TimeoutMicros > 0 {
		w.deadline = r.start.Add(time.Duration(r.open.TimeoutMicros) * time.Microsecond)
	}
	return w
}
