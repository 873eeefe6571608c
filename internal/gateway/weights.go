package gateway

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/metastore"
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

// bootTime converts a time to one that includes the time for which the machine was suspended, which Go's monotonic clock excludes. The ages of
// weight versions and of the contents of KV-cache stores are measured by it.
func (s *State) bootTime(now time.Time) time.Time { return now.Add(s.suspended()) }

// suspended returns the total time for which the machine was suspended since the process started.
func (s *State) suspended() time.Duration {
	if s.opts.Suspended == nil {
		return 0
	}
	return s.opts.Suspended()
}

const (
	// maxTickDelay is how late a tick may be before the process counts as having stood still: well above the delays of a busy machine.
	maxTickDelay = time.Second
	// maxResumeTime is how long after its start, or a standstill, a process takes until its first reading of the metadata. If it takes longer the
	// store was away, and nothing was released meanwhile.
	maxResumeTime = 3 * time.Second
	// maxClockDelay is how long after its start an instance goes by estimated ages of weight versions, while no target has told its clock.
	maxClockDelay = 2 * time.Second
)

// observation says since when this instance may have missed changes of the metadata. Its times are those of versionHistory.
type observation struct {
	starting    bool      // the process applies its first reading of the metadata
	lastTick    time.Time // zero before the first tick
	confirmedAt time.Time // when the metadata seen so far last matched the store; zero: never
	resumedAt   time.Time // start of the process, or end of its last standstill
	// missedSince is the time from which changes may have gone unseen until resumedAt, zero if none can have.
	missedSince time.Time
	estimated   bool                 // missedSince was computed by the wall clocks of two processes
	floors      map[string]time.Time // confirmedAt when each version was first seen, by its key
}

// tick records that the process runs.
func (o *observation) tick(now time.Time) {
	if !o.lastTick.IsZero() && now.Sub(o.lastTick) > maxTickDelay {
		o.resume(o.lastTick, now)
	}
	o.lastTick = now
}

// resume records that changes since a time may have gone unseen until now.
func (o *observation) resume(missedSince, now time.Time) {
	if o.missedSince.IsZero() || missedSince.Before(o.missedSince) {
		o.missedSince = missedSince
	}
	o.resumedAt = now
}

// confirm records that the metadata seen so far matched the store at a time.
func (o *observation) confirm(at time.Time) {
	if at.After(o.confirmedAt) {
		o.confirmedAt = at
	}
	if !at.Before(o.resumedAt) {
		o.missedSince, o.estimated = time.Time{}, false
	}
}

// age returns how long ago an event that is seen now for the first time may have been, and how well that is known.
func (o *observation) age(now time.Time) (time.Duration, roster.Evidence) {
	if o.missedSince.IsZero() || now.Sub(o.resumedAt) > maxResumeTime {
		return 0, roster.Measured
	}
	evidence := roster.Bounded
	if o.estimated {
		evidence = roster.Estimated
	}
	return o.limit("", now.Sub(o.missedSince), now), evidence
}

// floor returns the last time at which this instance knew that a version, given by its key, was not released, zero if it never did.
func (o *observation) floor(key string) time.Time {
	if floor, seen := o.floors[key]; seen {
		return floor
	}
	return o.confirmedAt
}

// limit returns the age of a version, given by its key, that another instance has recorded, but no more than the time since this instance
// knew that the version was not released.
func (o *observation) limit(key string, age time.Duration, now time.Time) time.Duration {
	if floor := o.floor(key); !floor.IsZero() {
		return min(age, now.Sub(floor))
	}
	return age
}

// see records that a version, given by its key, has been seen.
func (o *observation) see(key string) {
	if _, seen := o.floors[key]; seen {
		return
	}
	if o.floors == nil {
		o.floors = map[string]time.Time{}
	}
	o.floors[key] = o.confirmedAt
}

// beforeChange updates the observation before a reading of the metadata is applied. s.mu must be held.
func (s *State) beforeChange(now time.Time) {
	now = s.bootTime(now)
	if !s.observation.lastTick.IsZero() {
		s.observation.tick(now)
	}
	s.observation.starting = s.snapshot == nil
	if s.observation.starting {
		return
	}
	if age := s.metadataAge(); age >= 0 {
		s.observation.confirm(now.Add(-age))
	} else if s.opts.MetadataAge == nil {
		s.observation.confirm(now)
	}
}

// versionRecord is the record of a weight version in the metadata store.
type versionRecord struct {
	roster.ObservedVersion
	revision uint64
}

// maxRecordError is by how much a record may understate the age of a version before an instance that has seen the release corrects it.
const maxRecordError = 500 * time.Millisecond

// dueVersionRecords returns the records of weight versions that are to be written: those that are missing, do not state the targets' clock
// although this instance knows it, or understate the age of a version since that clock was set back.
func (s *State) dueVersionRecords() []versionRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []versionRecord
	for _, seen := range s.versionHistory.All() {
		key := versionKey(seen.Model, seen.Version)
		record, recorded := s.versionRecords[key]
		clock := s.targetClock.earliest(seen.FirstSeen)
		missing := !recorded || clock > 0 && record.ClockMillis == 0
		understated := s.witnessed[key] && clock > 0 && record.ClockMillis-clock > maxRecordError.Milliseconds()
		if seen.Evidence == roster.Estimated || !missing && !understated {
			continue
		}
		due = append(due, versionRecord{
			ObservedVersion: roster.ObservedVersion{Model: seen.Model, Version: seen.Version, FirstSeenMillis: s.releasedAt[key].UnixMilli(), ClockMillis: clock},
			revision:        record.revision,
		})
	}
	return due
}

// versionAgesKnown reports whether the ages of all weight versions are known and recorded.
func (s *State) versionAgesKnown() bool {
	if len(s.dueVersionRecords()) > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.versionHistory.All(), func(seen roster.Sighting) bool { return seen.Evidence == roster.Estimated })
}

// readVersionRecord reads the record of when any instance first saw a weight version. s.mu must be held.
func (s *State) readVersionRecord(key string, item metastore.Item, now time.Time) {
	if known, ok := s.versionRecords[key]; ok && known.revision == item.Revision {
		return
	}
	record := versionRecord{revision: item.Revision}
	if err := json.Unmarshal(item.Value, &record.ObservedVersion); err != nil {
		klog.ErrorS(err, "invalid record of a weight version ignored", "key", key)
		record.ObservedVersion = roster.ObservedVersion{}
	}
	s.versionRecords[key] = record
	s.observeRecord(key, record, now)
}

// observeRecord takes in the record of a weight version, given by its key. The wall clocks of two instances may differ by seconds, so an age that
// follows from them is an estimate, unless this instance knows when the version was not released yet. s.mu must be held.
func (s *State) observeRecord(key string, record versionRecord, now time.Time) {
	if record.Model == "" {
		return // the record is invalid
	}
	boot := s.bootTime(now)
	age, evidence := record.Age(now), roster.Estimated
	if byClock, ok := s.targetClock.age(record.ClockMillis, boot); ok {
		age, evidence = byClock, roster.Measured
	} else if !s.observation.floor(key).IsZero() {
		var least time.Duration
		least, evidence = s.observation.age(boot)
		age = max(s.observation.limit(key, age, boot), least)
	}
	s.observeVersion(record.Model, record.Version, age, evidence, true, now)
}

// readVersionCheck reads, at the start of the process, until when all released versions were recorded. s.mu must be held.
func (s *State) readVersionCheck(item metastore.Item, now time.Time) {
	if !s.observation.starting {
		return
	}
	var check versionCheck
	if err := json.Unmarshal(item.Value, &check); err != nil {
		klog.ErrorS(err, "invalid check of the weight versions ignored", "revision", item.Revision)
		return
	}
	s.startCheck = check
	boot := s.bootTime(now)
	age, known := s.targetClock.age(check.ClockMillis, boot)
	if !known {
		age = max(time.Duration(now.UnixMilli()-check.AtMillis)*time.Millisecond, 0)
	}
	s.observation.resume(boot.Add(-age), boot)
	s.observation.estimated = !known
}

// updateVersionAges replaces estimated ages of weight versions by those that follow from the targets' clock once that is known. While it stays
// unknown, targets with older weights get no work. It reports whether an age has changed. s.mu must be held.
func (s *State) updateVersionAges(now time.Time) (changed bool) {
	boot := s.bootTime(now)
	if !s.clockApplied && s.targetClock.known() {
		s.clockApplied, changed = true, true
		for key, record := range s.versionRecords {
			s.observeRecord(key, record, now)
		}
	}
	running := boot.Sub(s.targetClock.started)
	for _, seen := range s.versionHistory.All() {
		if seen.Evidence != roster.Estimated {
			continue
		}
		// The check covers the versions that were recorded with the targets' clock: all others were released after it.
		if age, ok := s.targetClock.age(s.startCheck.ClockMillis, boot); ok {
			changed = s.observeVersion(seen.Model, seen.Version, age, roster.Bounded, false, now) || changed
		} else if age := s.opts.RolloutTimeout; running >= age {
			changed = s.observeVersion(seen.Model, seen.Version, running, roster.Bounded, false, now) || changed
		} else if running >= maxClockDelay && boot.Sub(seen.FirstSeen) < age {
			changed = s.observeVersion(seen.Model, seen.Version, age, roster.Estimated, false, now) || changed
		}
	}
	return changed
}

// observeVersion records that a weight version was released age ago, or later if this instance knows that. recorded is set if another instance
// has recorded so in the metadata store. It reports whether the age has changed. s.mu must be held.
func (s *State) observeVersion(model string, version int, age time.Duration, evidence roster.Evidence, recorded bool, now time.Time) bool {
	key, boot := versionKey(model, version), s.bootTime(now)
	age = s.observation.limit(key, age, boot)
	s.observation.see(key)
	known := s.versionHistory.Known(model, version)
	if !s.versionHistory.Observe(model, version, age, evidence, boot) {
		return false
	}
	message := "weight version released"
	if known {
		message = "age of a weight version corrected"
	}
	before := s.releasedAt[key]
	s.releasedAt[key] = now.Add(-age)
	if !known || s.releasedAt[key].Sub(before).Abs() >= loggedCorrection {
		klog.InfoS(message, "model", model, "version", version, "age_ms", age.Milliseconds(), "evidence", evidence.String(), "recorded", recorded, "metadata", s.metadataRevision)
	}
	return true
}

// loggedCorrection is the smallest correction of the age of a weight version that is logged.
const loggedCorrection = 100 * time.Millisecond

// observeNewestVersion records that a weight version is the newest one now. If it has not been recorded, it counts as released when
// this instance last saw that there was none. s.mu must be held.
func (s *State) observeNewestVersion(model string, version int, now time.Time) {
	if s.versionHistory.Known(model, version) {
		return
	}
	age, evidence := s.observation.age(s.bootTime(now))
	if age == 0 && evidence == roster.Measured && !s.observation.starting {
		s.witnessed[versionKey(model, version)] = true
	}
	s.observeVersion(model, version, age, evidence, false, now)
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
				now = s.bootTime(now)
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

// engineGroup is the set of targets of one service, for the rollout of the newest weight version of one model.
type engineGroup struct {
	service, model string
	newestVersion  int
	targets        map[string]*target   // by ID
	born           map[string]int64     // start of each target's process in Unix milliseconds, by ID
	expiry         map[string]time.Time // when the weights of a target expire, by ID; absent if they do not
}

// engineGroups returns the groups for which a weight version was released, without leaving targets, sorted by service and model.
func (s *State) engineGroups() []engineGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil || s.snapshot.Catalog == nil {
		return nil
	}
	var groups []engineGroup
	suspended := s.suspended()
	for _, decl := range s.snapshot.Catalog.Services {
		if decl.Engine == nil {
			continue
		}
		for _, model := range decl.Engine.Models {
			g := engineGroup{service: decl.Name, model: model, newestVersion: s.snapshot.Weights[model], targets: map[string]*target{}, born: map[string]int64{}, expiry: map[string]time.Time{}}
			if g.newestVersion == 0 {
				continue
			}
			for id, t := range s.targets {
				if t.record.Service == decl.Name && !t.record.Leaving && !t.stats.Leaving() {
					g.targets[id], g.born[id] = t, t.born
					if at := s.versionHistory.Expiry(model, t.version(model)); !at.IsZero() {
						g.expiry[id] = at.Add(-suspended)
					}
				}
			}
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b engineGroup) int { return strings.Compare(a.service+"/"+a.model, b.service+"/"+b.model) })
	return groups
}

// hasExpired reports whether the weights of a target for a model have expired. The view may have been built before that.
func (s *State) hasExpired(v *view, t *target, model string, now time.Time) bool {
	version := t.version(model)
	return version < v.weights[model] && version < v.versionHistory.MinVersion(model, s.bootTime(now))
}

// replaceView rebuilds the view if v is still the current one.
func (s *State) replaceView(v *view, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Load() == v {
		s.rebuild(now)
	}
}
