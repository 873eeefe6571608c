// Package canary decides how the traffic of a service moves to another version of its software that an operator has ordered.
//
// Each instance gives the new version a small share of its own requests (Limiter), counts answers by version, route and target (Counter), and
// tells the counts to the owner (Report). The owner compares the versions over the same time (Policy) and tells the instances what to do (Permit).
// A Record in the metadata store says how far the rollout is. Instance combines the record and the permit to the versions that a request may
// use.
//
// The package does no I/O and reads no clock.
package canary

import (
	"encoding/json"
	"errors"
	"slices"
	"time"
)

// Order is an operator's order to move the traffic of a service to targets of one software version.
type Order struct {
	Service  string
	Target   string        // software version
	Ramp     time.Duration // from the order to its deadline
	Revision uint64        // of the metadata item
}

// Bounds are the limits that the deployment sets.
type Bounds struct {
	ExposeShare float64       // of the requests between order and deadline that a bad version may receive
	ExposeSlack int           // requests in addition to ExposeShare
	Rollback    time.Duration // after its 50th bad answer a bad version receives nothing
}

// Phase is how far a rollout is. Within one rollout it only grows.
type Phase string

// Phases of a rollout.
const (
	PhaseNone       Phase = ""
	PhaseRamp       Phase = "ramp"        // the new version gets a share of the requests
	PhaseSwitch     Phase = "switch"      // it gets all of them, and the requests at old targets end
	PhaseDone       Phase = "done"        // old targets get nothing more
	PhaseRolledBack Phase = "rolled_back" // the new version gets nothing more
)

func (p Phase) rank() int {
	return slices.Index([]Phase{PhaseNone, PhaseRamp, PhaseSwitch, PhaseDone, PhaseRolledBack}, p)
}

// Final reports whether the rollout has ended.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseRolledBack }

// Record is the state of a rollout in the metadata store.
type Record struct {
	Order      uint64     `json:"order"` // revision of the order
	Target     string     `json:"target"`
	Old        []string   `json:"old"`                 // versions that the target version replaces
	Abandoned  []string   `json:"abandoned,omitempty"` // target versions of earlier orders that were given up for this one
	Phase      Phase      `json:"phase"`
	Share      float64    `json:"share"` // of the requests that the target version gets
	Reason     string     `json:"reason"`
	StartedMs  int64      `json:"started_ms"` // Unix milliseconds; identifies the rollout
	DeadlineMs int64      `json:"deadline_ms"`
	Evidence   []Evidence `json:"evidence"`
}

// Evidence is what is known of the answers of one version on one route.
type Evidence struct {
	Version string `json:"version"`
	Route   string `json:"route"`
	Answers int    `json:"answers"`
	Failed  int    `json:"failed"`
	Slow    int    `json:"slow"`
}

// ParseRecord decodes a Record. It returns an error if a required field is missing.
func ParseRecord(raw []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return Record{}, err
	}
	if r.Target == "" || r.Phase.rank() <= 0 || r.StartedMs <= 0 {
		return Record{}, errors.New("target, phase or start missing")
	}
	return r, nil
}

// Encode returns the record in the metadata store.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Covers reports whether an order asks for nothing beyond the rollout of the record: it is the order of the record, or asks for the same
// version while the rollout runs or after it is done.
func (r *Record) Covers(o Order) bool {
	return r.Phase != PhaseNone && (r.Order == o.Revision || r.Target == o.Target && r.Phase != PhaseRolledBack)
}

// Buckets of latency: the upper edge of bucket i is firstEdge * sqrt(2)^i; the last one has no upper edge.
const (
	numBuckets = 24
	firstEdge  = 4 * time.Millisecond
)

var bucketEdges = func() (edges [numBuckets]time.Duration) {
	for i, even, odd := 0, float64(firstEdge), float64(firstEdge)*1.41421356; i < numBuckets; i += 2 {
		edges[i], edges[i+1] = time.Duration(even), time.Duration(odd)
		even, odd = even*2, odd*2
	}
	return edges
}()

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	i, _ := slices.BinarySearch(bucketEdges[:numBuckets-1], d)
	return i
}

// Histogram counts latencies by bucket.
type Histogram [numBuckets]uint32

func (h *Histogram) add(o *Histogram) {
	for i := range h {
		h[i] += o[i]
	}
}

// sub subtracts an earlier state of the same histogram.
func (h *Histogram) sub(o *Histogram) {
	for i := range h {
		h[i] -= min(o[i], h[i])
	}
}

func (h *Histogram) total() (n int) {
	for _, c := range h {
		n += int(c)
	}
	return n
}

// above returns how many are in buckets above i.
func (h *Histogram) above(i int) (n int) {
	for j := i + 1; j < numBuckets; j++ {
		n += int(h[j])
	}
	return n
}

// quantile returns the first bucket up to which at least a share q of the latencies lie.
func (h *Histogram) quantile(q float64) int {
	total, sum := h.total(), 0
	for i, c := range h {
		if sum += int(c); float64(sum) >= q*float64(total) {
			return i
		}
	}
	return numBuckets - 1
}
