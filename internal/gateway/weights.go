package gateway

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/rollout"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// weightsMetrics holds the gauges of targets on old weights.
type weightsMetrics struct {
	old     tally.Gauge // targets on weights that are not the newest
	expired tally.Gauge // those of them that get no requests, since the rollout timeout of a newer version has passed
}

func newWeightsMetrics(m tally.Scope) weightsMetrics {
	if m == nil {
		m = tally.NoopScope
	}
	return weightsMetrics{old: m.Gauge("targets_on_old_weights"), expired: m.Gauge("targets_on_expired_weights")}
}

// versionTime converts a time to that of versionHistory. It includes the time for which the machine was suspended, which Go's monotonic clock
// excludes.
func (s *State) versionTime(now time.Time) time.Time { return now.Add(s.suspended()) }

// suspended returns the total time for which the machine was suspended since the process started.
func (s *State) suspended() time.Duration {
	if s.opts.Suspended == nil {
		return 0
	}
	return s.opts.Suspended()
}

// observeVersion records that a weight version was first seen at least age ago. recorded is set if another instance has recorded that in
// the metadata store. s.mu must be held.
func (s *State) observeVersion(model string, version int, age time.Duration, recorded bool, now time.Time) {
	if s.versionHistory.Observe(model, version, age, s.versionTime(now)) {
		klog.InfoS("weight version released", "model", model, "version", version, "age_ms", age.Milliseconds(), "recorded", recorded, "metadata", s.metadataRevision)
	}
}

// reportWeights updates the gauges of targets on old weights, and logs targets whose weights have just expired. s.mu must be held.
func (s *State) reportWeights(now time.Time) {
	if s.snapshot == nil || s.snapshot.Catalog == nil {
		return
	}
	old, expired := 0, 0
	for _, t := range s.targets {
		decl := s.snapshot.Catalog.Services[t.record.Service]
		if decl == nil || decl.Engine == nil || t.record.Leaving {
			continue
		}
		for _, model := range decl.Engine.Models {
			version := t.version(model)
			if version >= s.snapshot.Weights[model] {
				continue
			}
			if old++; old == 1 {
				now = s.versionTime(now)
			}
			if version >= s.versionHistory.MinVersion(model, now) {
				continue
			}
			expired++
			if current := (roster.ObservedVersion{Model: model, Version: version}); t.expiredWeights != current {
				t.expiredWeights = current
				klog.InfoS("weights of a target expired", "target", t.id, "model", model, "version", version, "newest", s.snapshot.Weights[model],
					"expired_ms", now.Sub(s.versionHistory.Expiry(model, version)).Milliseconds(), "metadata", s.metadataRevision)
			}
		}
	}
	s.weightsMetrics.old.Update(float64(old))
	s.weightsMetrics.expired.Update(float64(expired))
}

// targetProgress is the progress of a target that is out of rotation, for the log.
type targetProgress struct {
	Target    string `json:"target"`
	Version   int    `json:"version"`
	Status    string `json:"status"`
	OutMs     int64  `json:"out_ms"`     // since it was taken out
	ExpiresMs int64  `json:"expires_ms"` // until its weights expire, negative after that; zero if they do not
}

// logProgress logs the progress of a roll-out whenever it changes.
func (c *RolloutController) logProgress(g engineGroup, step rollout.Step, now time.Time) {
	key := g.service + "/" + g.model
	if slices.EqualFunc(step.Progress, c.logged[key], func(a, b rollout.Progress) bool { return a == b }) {
		return
	}
	c.logged[key] = step.Progress
	list := make([]targetProgress, 0, len(step.Progress))
	for _, p := range step.Progress {
		entry := targetProgress{Target: p.ID, Version: p.Version, Status: p.Status.String(), OutMs: now.Sub(p.OutSince).Milliseconds()}
		if at := g.expiry[p.ID]; !at.IsZero() {
			entry.ExpiresMs = at.Sub(now).Milliseconds()
		}
		list = append(list, entry)
	}
	klog.InfoS("weight roll-out", "service", g.service, "model", g.model, "version", g.newestVersion, "targets", len(g.targets), "behind", step.Behind, "out", list)
}
