package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/admission"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/orders"
)

// statusError is returned for a response whose HTTP status says that the target failed.
type statusError struct {
	status int
}

func (e *statusError) Error() string { return fmt.Sprintf("target answered %d", e.status) }

// failureSample returns the measurement of a failed run for admission control.
func failureSample(err error, latency time.Duration) admission.Sample {
	sample := admission.Sample{Outcome: admission.OutcomeConnectionLost, Latency: latency}
	var notSent *engine.NotSentError
	var status *statusError
	switch {
	case errors.Is(err, errBodyTruncated), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		sample.Outcome = admission.OutcomeCancelled
	case errors.As(err, &status) && status.status == http.StatusServiceUnavailable:
		sample.Outcome = admission.OutcomeOverload
	case errors.As(err, &status):
		sample.Outcome = admission.OutcomeFailed
	case errors.As(err, &notSent):
		sample.Outcome = admission.OutcomeUnreachable
	}
	return sample
}

// probe checks the state of the target and updates the gate.
func (s *Sidecar) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.opts.Model == nil {
		s.probePlain(ctx)
		return
	}
	s.probeModel(ctx)
}

func (s *Sidecar) probePlain(ctx context.Context) {
	if err := s.opts.Target.Probe(ctx); err != nil {
		s.markTargetDown(err)
		return
	}
	s.gate.markReachable()
}

func (s *Sidecar) probeModel(ctx context.Context) {
	report, err := s.opts.Model.Load(ctx)
	if err != nil {
		s.markTargetDown(err)
		return
	}
	s.loadReport.Store(&report)
	s.gate.observe(report)
	s.estimate.observeReport(report)
	s.updateVersions(report.Versions)
}

// markTargetDown records that a probe failed. The target then offers no weight versions.
func (s *Sidecar) markTargetDown(err error) {
	if s.gate.markDown() {
		s.metrics.targetDown.Inc(1)
		klog.InfoS("target is down", "target", s.opts.Name, "err", err)
	}
	s.updateVersions(nil)
}

// updateVersions records the weight versions that the target holds, and notifies watchers if the offered ones change.
func (s *Sidecar) updateVersions(held []string) {
	var offered []string
	if w := s.opts.Config.Current(); w != nil {
		offered = orders.OfferedVersions(w, s.opts.Service, held)
	}
	if !s.versions.update(held, offered) {
		return
	}
	s.gate.notifyWatchers()
	klog.InfoS("offered weight versions of the target changed", "target", s.opts.Name, "versions", offered)
}

// phase returns the target's phase as reported to entry gateways.
func (s *Sidecar) phase() egretv1.TargetPhase {
	if !s.acceptsNewWork() {
		return egretv1.TargetPhase_TARGET_PHASE_LEAVING
	}
	switch s.gate.stats().phase {
	case admission.PhaseCold:
		return egretv1.TargetPhase_TARGET_PHASE_COLD
	case admission.PhaseRamping:
		return egretv1.TargetPhase_TARGET_PHASE_RAMPING
	case admission.PhaseWarm:
		return egretv1.TargetPhase_TARGET_PHASE_WARM
	case admission.PhaseLoading:
		return egretv1.TargetPhase_TARGET_PHASE_LOADING
	case admission.PhaseLeaving:
		return egretv1.TargetPhase_TARGET_PHASE_LEAVING
	}
	return egretv1.TargetPhase_TARGET_PHASE_DOWN
}
