package routing

import (
	"cmp"
	"slices"
	"time"
)

// Ramp bounds the attempts of this entry at a target that has come back.
type Ramp interface {
	// Room reports whether another attempt fits.
	Room() bool
	// Begin takes a place; false if there is none. Each success is paired with one End or Refused.
	Begin() bool
	// End gives the place back and tells whether the target completed the work.
	End(completed bool)
	// Refused gives the place back after the target refused the work.
	Refused()
}

// Candidate is one target of the service as this entry sees it. It is immutable once in a Snapshot, except
// for Stats.
type Candidate struct {
	Target        string
	FailureDomain string
	Region        string
	Sidecar       string // address of the sidecar, IP:port
	Phase         Phase
	Out           bool // the target or its failure domain takes no new work
	LinkAlive     bool // a live connection to the sidecar exists
	Versions      []string
	Distance      time.Duration // one way
	Memory        int           // tokens of cache memory; zero if unknown
	Penalty       time.Duration // added to the cost of any request
	Stats         *Stats        // shared by every snapshot that holds the target; New makes one if nil
	Ramp          Ramp          // bounds what a target that has come back is given; nil bounds nothing
}

// serves reports whether the candidate serves the weight version.
func (c *Candidate) serves(version string) bool {
	return version == "" || slices.Contains(c.Versions, version)
}

// Available reports whether the candidate may be given work, by what changes only with the snapshot.
func (c *Candidate) Available() bool { return fixedCause(c) == CauseNone }

// Snapshot is an immutable set of candidates of one service.
type Snapshot struct {
	service    string
	coldLimit  int
	candidates []Candidate // ordered by target
	byTarget   map[string]*Candidate
	pools      map[string][]*Candidate // eligible by configuration and phase, by weight version
	average    *average                // shared with the snapshots before and after
	versions   []VersionCount
}

// NewSnapshot builds a snapshot of a service. coldLimit is what a cold target bears in requests in flight, used
// until a target has reported. The candidates are copied. Stats of targets that prev also holds are carried
// over; prev may be nil.
func NewSnapshot(service string, coldLimit int, candidates []Candidate, prev *Snapshot) *Snapshot {
	s := &Snapshot{
		service:    service,
		coldLimit:  max(coldLimit, 1),
		candidates: slices.Clone(candidates),
		byTarget:   make(map[string]*Candidate, len(candidates)),
		pools:      make(map[string][]*Candidate),
		average:    new(average),
	}
	if prev != nil {
		s.average = prev.average
	}
	slices.SortFunc(s.candidates, func(a, b Candidate) int { return cmp.Compare(a.Target, b.Target) })
	for i := range s.candidates {
		s.index(&s.candidates[i], prev)
	}
	s.countVersions()
	return s
}

func (s *Snapshot) index(c *Candidate, prev *Snapshot) {
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

// With returns a snapshot in which the named candidate has been changed by edit. The receiver is unchanged. An
// unknown target returns the receiver.
func (s *Snapshot) With(target string, edit func(*Candidate)) *Snapshot {
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

// Candidates returns all candidates, ordered by target. Callers must not change them.
func (s *Snapshot) Candidates() []Candidate { return s.candidates }
