package routing

import (
	"cmp"
	"slices"
	"time"
)

// Ramp limits the attempts that this gateway sends to a target that has just recovered (slow start).
type Ramp interface {
	// HasRoom reports whether another attempt is allowed now.
	HasRoom() bool
	// TryAcquire takes a slot; false if there is none. Each success needs one Release or ReleaseRefused.
	TryAcquire() bool
	// Release returns the slot; completed is whether the target completed the work.
	Release(completed bool)
	// ReleaseRefused returns the slot after the target refused the work.
	ReleaseRefused()
}

// Candidate is one target of a service from the view of this gateway. It is immutable once in a Snapshot, except
// for Stats and Ramp.
type Candidate struct {
	Target        string
	FailureDomain string
	Region        string
	Sidecar       string // address of the sidecar, IP:port
	Phase         Phase
	Disabled      bool // excluded by configuration or while weights are loaded or outdated: gets no new requests
	LinkAlive     bool // a live connection to the sidecar exists
	Versions      []string
	Software      string        // version of the target's software
	OneWayDelay   time.Duration // network, to the sidecar or target
	CacheCapacity int           // capacity of the target's cache memory in tokens; zero if unknown
	Penalty       time.Duration // added to the cost of every request
	Stats         *Stats        // shared by all snapshots with the target; NewSnapshot makes one if nil
	Ramp          Ramp          // limits attempts at a recovered target; nil for no limit
}

// serves reports whether the candidate serves the weight version.
func (c *Candidate) serves(version string) bool {
	return version == "" || slices.Contains(c.Versions, version)
}

// Available reports whether the candidate is enabled, running and connected. These conditions are constant within a
// snapshot.
func (c *Candidate) Available() bool { return staticCause(c) == CauseNone }

// Snapshot is an immutable set of the candidates of one service.
type Snapshot struct {
	service     string
	coldLimit   int
	candidates  []Candidate // ordered by target
	byTarget    map[string]*Candidate
	pools       map[string][]*Candidate // available candidates by weight version; the empty version has all
	utilization *ewma                   // shared with earlier and later snapshots
	versions    []VersionCount
}

// NewSnapshot builds a snapshot of a service. coldLimit is the in-flight limit assumed for a target before its first
// report, at least 1. The candidates are copied. A candidate without Stats takes those of the same target in prev;
// prev may be nil.
func NewSnapshot(service string, coldLimit int, candidates []Candidate, prev *Snapshot) *Snapshot {
	s := &Snapshot{
		service:     service,
		coldLimit:   max(coldLimit, 1),
		candidates:  slices.Clone(candidates),
		byTarget:    make(map[string]*Candidate, len(candidates)),
		pools:       make(map[string][]*Candidate),
		utilization: new(ewma),
	}
	if prev != nil {
		s.utilization = prev.utilization
	}
	slices.SortFunc(s.candidates, func(a, b Candidate) int { return cmp.Compare(a.Target, b.Target) })
	for i := range s.candidates {
		s.addCandidate(&s.candidates[i], prev)
	}
	s.countVersions()
	return s
}

// addCandidate sets the Stats of a candidate and adds it to the indexes.
func (s *Snapshot) addCandidate(c *Candidate, prev *Snapshot) {
	if c.Stats == nil && prev != nil {
		if old := prev.byTarget[c.Target]; old != nil {
			c.Stats = old.Stats
		}
	}
	if c.Stats == nil {
		c.Stats = new(Stats)
	}
	s.byTarget[c.Target] = c
	if !c.Available() {
		return
	}
	s.pools[""] = append(s.pools[""], c)
	for _, v := range c.Versions {
		if v != "" {
			s.pools[v] = append(s.pools[v], c)
		}
	}
}

// WithCandidate returns a copy of the snapshot in which edit has changed the candidate of the target, or the
// receiver itself if it has no such candidate.
func (s *Snapshot) WithCandidate(target string, edit func(*Candidate)) *Snapshot {
	if s.byTarget[target] == nil {
		return s
	}
	list := slices.Clone(s.candidates)
	for i := range list {
		if list[i].Target == target {
			edit(&list[i])
		}
	}
	return NewSnapshot(s.service, s.coldLimit, list, s)
}

// Candidate returns the candidate of a target, nil if there is none.
func (s *Snapshot) Candidate(target string) *Candidate { return s.byTarget[target] }

// Candidates returns all candidates, ordered by target. Callers must not modify them.
func (s *Snapshot) Candidates() []Candidate { return s.candidates }
