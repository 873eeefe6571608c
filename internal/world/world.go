// Package world is the typed model of what operators declare: failure domains, services and their
// targets, kept-cache stores, links, workspaces and weight versions. A World is immutable once built;
// readers share it through an atomic pointer.
package world

import "time"

// Kind tells how a service answers.
type Kind string

// Kinds of service.
const (
	KindModel Kind = "model" // a model engine: token streams, prefix cache, weight versions
	KindPlain Kind = "plain" // any other HTTP service
)

// FailureDomain is a set of instances that fail together.
type FailureDomain struct {
	Name    string
	Region  string
	Drained bool // takes no new work
}

// Target is one server of a service together with the sidecar beside it.
type Target struct {
	Name          string
	Service       string
	FailureDomain string
	Sidecar       string // address of the sidecar, IP:port
	Drained       bool   // takes no new work
}

// ColdLimits bound what a freshly started target is given.
type ColdLimits struct {
	InFlight int // requests in flight a cold target bears
	Loaders  int // targets of the service that may load weights at once
	// RequestsPerPlace is the number of completed requests after which a cold target bears one more.
	RequestsPerPlace int
}

// CallRule marks calls of a plain service by method and path prefix.
type CallRule struct {
	Method     string // upper case; empty matches every method
	PathPrefix string
	Repeatable bool
	Priority   Priority
}

// Priority orders work at a target.
type Priority int

// Priorities, most urgent first.
const (
	PriorityQuick Priority = iota // short checks and lookups
	PriorityDraft                 // long generations
)

// Objective is a service-level objective over a rolling window.
type Objective struct {
	Name         string        // "availability", "ttft" or "latency"
	Target       float64       // share of good requests, 0 to 1
	Threshold    time.Duration // for ttft and latency: a slower request is bad
	BudgetWindow time.Duration
}

// Service is a set of targets that give the same answers.
type Service struct {
	Name          string
	Kind          Kind
	Calls         []CallRule // plain services: first match decides; no match is not repeatable
	Cold          ColdLimits
	MaxInFlight   int  // upper bound of a warm target's limit
	FencesOrders  bool // its targets refuse orders with an old fencing number
	WeightVersion string
	MaxVersions   int // weight versions that a target has room for; zero is two
	BlockTokens   int // tokens in a cache block
	BlockBytes    int // size of an exported cache block
	Stores        []string
	RetryWindow   time.Duration // how long a caller may repeat an idempotency key
	Homes         *HomeHistory  // plain services; nil if whoever applied the configuration keeps none
	Objectives    []Objective
	Targets       []*Target // ordered by name
}

// HomeHistory tells which sets of targets were homes of a plain service's idempotency keys before the set that follows
// from the configuration itself. Times are by the clocks of operators' machines.
type HomeHistory struct {
	From  uint64     // revision from which on every move is listed
	At    time.Time  // when From was applied; zero if the service began with it
	Moves []HomeMove // newest first
}

// HomeMove is a change of the set of homes.
type HomeMove struct {
	Revision uint64 // the first under which the new set holds
	At       time.Time
	Joined   []string // targets that became homes
	Left     []string // targets that ceased to be homes
}

// HomeTargets lists the targets among which the homes of a service's idempotency keys are chosen.
func (w *World) HomeTargets(s *Service) []string {
	var names []string
	for _, t := range s.Targets {
		if w.TakesNewWork(t) {
			names = append(names, t.Name)
		}
	}
	return names
}

// Store is a kept-cache store instance.
type Store struct {
	Name          string
	FailureDomain string
	Address       string // IP:port
	MemoryBytes   int64
	DiskBytes     int64
	Link          string
}

// Link is a shared path of limited rate between stores and targets.
type Link struct {
	Name        string
	BytesPerSec int64
	Delay       time.Duration // one way
}

// APIKey is one live credential of a workspace.
type APIKey struct {
	ID     string
	SHA256 [32]byte
}

// Workspace is a customer of the system, isolated from all others.
type Workspace struct {
	Name            string
	Weight          int // share relative to the other workspaces
	MaxInFlight     int // over one entry instance; zero is unlimited
	RequestsPerSec  float64
	CacheSalt       string // secret that separates the workspace's cache
	Keys            []APIKey
	AllowedServices []string // empty allows all
}

// WeightVersion is one set of weights of a model service.
type WeightVersion struct {
	Name    string
	Service string
	Digest  string
	Bytes   int64
}

// World is one accepted configuration.
type World struct {
	Name           string
	Revision       Revision
	FailureDomains map[string]*FailureDomain
	Services       map[string]*Service
	Targets        map[string]*Target
	Stores         map[string]*Store
	Links          map[string]*Link
	Workspaces     map[string]*Workspace
	WeightVersions map[string]*WeightVersion
}

// Digest identifies a manifest and, through its parent's digest, its whole lineage.
type Digest [32]byte

// Revision names a configuration by number and lineage. The larger number alone is no proof of descent.
type Revision struct {
	Number uint64
	Digest Digest
	Parent Digest
}

// TakesNewWork reports whether the configuration lets a target be given new work.
func (w *World) TakesNewWork(t *Target) bool {
	if t.Drained {
		return false
	}
	d := w.FailureDomains[t.FailureDomain]
	return d != nil && !d.Drained
}
