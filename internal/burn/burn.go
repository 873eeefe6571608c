// Package burn computes how fast services use up the error budgets of their objectives, and what uses them up.
// Requests are counted by workspace, service, objective and, if bad, by cause, failure domain and instance, in
// buckets of five minutes. The package does no I/O.
package burn

import (
	"slices"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/world"
)

// Sizes of buckets and of the periods in which counts are kept.
const (
	Bucket         = 5 * time.Minute
	Period         = time.Hour
	BucketsPerHour = int(Period / Bucket)
)

// Names of objectives as the manifest has them.
const (
	ObjectiveAvailability = "availability"
	ObjectiveTTFT         = "ttft"
	ObjectiveLatency      = "latency"
)

// CauseSlow is the cause of a whole answer that missed its threshold.
const CauseSlow = "slow"

// Key names one counter. Cause is empty for good requests; failure domain and instance are then empty too.
type Key struct {
	Workspace     string
	Service       string
	Objective     string
	Cause         string
	FailureDomain string
	Instance      string
}

// Good reports whether the counter is one of good requests.
func (k Key) Good() bool { return k.Cause == "" }

func (k Key) compare(o Key) int {
	for _, p := range [...][2]string{
		{k.Workspace, o.Workspace}, {k.Service, o.Service}, {k.Objective, o.Objective},
		{k.Cause, o.Cause}, {k.FailureDomain, o.FailureDomain}, {k.Instance, o.Instance},
	} {
		if c := strings.Compare(p[0], p[1]); c != 0 {
			return c
		}
	}
	return 0
}

// Counts holds one counter for each bucket of a period.
type Counts [BucketsPerHour]uint64

// Table holds counts of one period.
type Table map[Key]Counts

// Add adds the counts of another table of the same period.
func (t Table) Add(other Table) {
	for k, n := range other {
		sum := t[k]
		for i := range n {
			sum[i] += n[i]
		}
		t[k] = sum
	}
}

// WithoutInstances returns the table with the counts of all instances of a failure domain added up.
func (t Table) WithoutInstances() Table {
	out := Table{}
	for k, n := range t {
		k.Instance = ""
		out.Add(Table{k: n})
	}
	return out
}

// Keys returns the keys in order.
func (t Table) Keys() []Key {
	keys := make([]Key, 0, len(t))
	for k := range t {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}

// PeriodOf returns the number of the period that holds a time.
func PeriodOf(at time.Time) int64 { return at.Unix() / int64(Period/time.Second) }

// PeriodStart returns when a period begins.
func PeriodStart(period int64) time.Time {
	return time.Unix(period*int64(Period/time.Second), 0).UTC()
}

// BucketOf returns the bucket of a time within its period.
func BucketOf(at time.Time) int {
	return int(at.Sub(PeriodStart(PeriodOf(at))) / Bucket)
}

// Observation is the end of one request that the service answers for. Requests that fail by their caller's own
// fault are not observed.
type Observation struct {
	Workspace     string
	Service       string
	Objectives    []world.Objective
	Cause         string // empty for a whole answer
	FailureDomain string // where the request ended
	Instance      string // likewise
	FirstPiece    time.Duration
	Took          time.Duration
	At            time.Time
}

// Key returns the counter that an observation adds to under an objective; false if it says nothing about it.
func (o *Observation) Key(obj world.Objective) (Key, bool) {
	k := Key{Workspace: o.Workspace, Service: o.Service, Objective: obj.Name}
	cause := o.cause(obj)
	if obj.Name != ObjectiveAvailability && o.Cause != "" {
		return k, false // a failure has no latency; availability counts it
	}
	if cause != "" {
		k.Cause, k.FailureDomain, k.Instance = cause, o.FailureDomain, o.Instance
	}
	return k, true
}

func (o *Observation) cause(obj world.Objective) string {
	switch {
	case obj.Name == ObjectiveTTFT && o.FirstPiece > obj.Threshold,
		obj.Name == ObjectiveLatency && o.Took > obj.Threshold:
		return CauseSlow
	case obj.Name == ObjectiveAvailability:
		return o.Cause
	}
	return ""
}
