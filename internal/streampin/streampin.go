// Package streampin decides at which version of a service's software a stream begins and goes on. A stream may go on only at the version
// that began it, and every instance must know that version, also after all of them have lost their memory.
//
// Each service has a baseline, kept in the metadata store: the version of all streams without a record. A stream that begins at another
// version is recorded before its first event reaches the caller. While a service has one version there are no records.
//
// A restored metadata store has lost records, so that a missing one tells nothing: a baseline holds in the era in which it was written only.
//
// The package does no I/O and reads no clock.
package streampin

import (
	"encoding/json"
	"errors"
	"slices"
	"time"
)

// Version identifies the software that produces the events of a stream.
type Version struct {
	Service  string `json:"service"`
	Software string `json:"software"` // version of the software of the service's targets
}

var errInvalid = errors.New("service or software version missing")

// Encode returns the record of a stream, or of a baseline, in the metadata store.
func (v Version) Encode() ([]byte, error) { return json.Marshal(v) }

// ParseVersion decodes a record. It returns an error if a field is missing.
func ParseVersion(raw []byte) (Version, error) {
	var v Version
	if err := json.Unmarshal(raw, &v); err != nil {
		return Version{}, err
	}
	if v.Service == "" || v.Software == "" {
		return Version{}, errInvalid
	}
	return v, nil
}

const (
	// openDelay is the time from the announcement of a version until streams begin at it, unless all instances are known to have seen it
	// before. An instance whose metadata is younger than that, and shows no announcement, can therefore rely on the baseline without
	// reading the store.
	openDelay = 2 * time.Second
	// HoldTTL is the lease of the key that is written with an announcement. While an instance does not see that key, openDelay has passed,
	// even if the instance has just started. It is longer than openDelay, since a write may take effect seconds after the lease was granted.
	HoldTTL = openDelay + 3*time.Second
	// MaxTrustedAge is the age of such metadata. It leaves a margin for clocks of different speed.
	MaxTrustedAge = openDelay - 200*time.Millisecond
	// lifetimePerTimeout is the longest time from the begin of a stream to the last attempt to resume it, in timeouts of its route: a few
	// attempts, each of which may take the whole timeout.
	lifetimePerTimeout = 4
	minLifetime        = 30 * time.Second
	maxLifetime        = 8 * time.Minute // records live on leases, which the store limits to ten minutes
)

// Lifetime returns the longest life of streams, from their begin to the last attempt to resume them, given the longest timeout of the
// routes that allow it.
func Lifetime(timeout time.Duration) time.Duration {
	return min(max(lifetimePerTimeout*timeout, minLifetime), maxLifetime)
}

// Policy is the record of a service in the metadata store.
type Policy struct {
	Baseline  string   `json:"baseline"`            // version of the streams without a record; empty: unknown, every stream has a record
	Announced []string `json:"announced,omitempty"` // other versions that have been seen
	Era       uint64   `json:"era,omitempty"`       // era of the metadata store in which the policy was decided
}

// ParsePolicy decodes a Policy.
func ParsePolicy(raw []byte) (Policy, error) {
	var p Policy
	err := json.Unmarshal(raw, &p)
	return p, err
}

// Encode returns the record of the policy.
func (p Policy) Encode() ([]byte, error) { return json.Marshal(p) }

// equal reports whether the versions are the same.
func (p *Policy) equal(q Policy) bool {
	return p.Baseline == q.Baseline && slices.Equal(p.Announced, q.Announced)
}

// isSettled reports whether no version but the baseline has been announced.
func (p *Policy) isSettled() bool { return p.Baseline != "" && len(p.Announced) == 0 }

// Service is what an instance knows of the software versions of one service. It is immutable.
type Service struct {
	Policy
	Name    string
	Open    []string // announced versions at which streams may begin
	Present []string // versions of all known targets, also of leaving ones, sorted
	// BeginOnly is the version at which streams begin for a while after a restore of the metadata store, if a target has it: other instances may
	// still rely on the policy of before. Empty: they begin by the policy.
	BeginOnly string
}

// Equal reports whether nothing has changed.
func (s Service) Equal(other Service) bool {
	return s.Policy.equal(other.Policy) && s.Era == other.Era && slices.Equal(s.Open, other.Open) && slices.Equal(s.Present, other.Present) && s.BeginOnly == other.BeginOnly
}

// AwaitsOpening reports whether a version will open as time passes.
func (s *Service) AwaitsOpening() bool { return s.BeginOnly != "" || len(s.Open) < len(s.Announced) }

// BeginAt returns the versions at which a new stream may begin; nil allows all. canRecord is whether records can be written now: while
// they can't, streams begin at the baseline if any target has it.
func (s *Service) BeginAt(canRecord bool) []string {
	switch {
	case s.BeginOnly != "" && slices.Contains(s.Present, s.BeginOnly):
		return []string{s.BeginOnly}
	case s.Baseline == "":
		return nil
	case !canRecord && s.hasBaseline():
		return []string{s.Baseline}
	}
	return append([]string{s.Baseline}, s.Open...)
}

func (s *Service) hasBaseline() bool { return slices.Contains(s.Present, s.Baseline) }

// RecordRule says how a stream that begins is recorded.
type RecordRule uint8

// Rules for records.
const (
	NoRecord    RecordRule = iota // the baseline tells the version
	RecordLater                   // the record is written once the store can be reached; the stream does not wait for it
	RecordFirst                   // the record is written before the first event reaches the caller
)

// RecordRuleFor returns the rule for a stream that begins at a version. Without a record the stream seems to be at the baseline; while no
// target has that, it is then resumed nowhere.
func (s *Service) RecordRuleFor(software string, canRecord bool) RecordRule {
	switch {
	case s.Baseline != "" && software == s.Baseline:
		return NoRecord
	case !canRecord && !s.hasBaseline():
		return RecordLater
	}
	return RecordFirst
}

// KnownWithoutStore returns the version of any stream of the service, if metadata of that age is enough to know it: no stream can have
// begun at another version than the baseline yet. registered is whether the metadata has the record of this instance: otherwise the others
// do not wait for it. era is the newest era of the metadata store that is known.
func (s *Service) KnownWithoutStore(registered bool, metadataAge time.Duration, era uint64) (Version, bool) {
	if !registered || !s.isSettled() || era != s.Era || metadataAge < 0 || metadataAge > MaxTrustedAge {
		return Version{}, false
	}
	return Version{Service: s.Name, Software: s.Baseline}, true
}

// KnownFromStore returns the version of a stream whose record was read in an era of the metadata store, or that has none. It returns false if the
// version is unknown.
func (s *Service) KnownFromStore(record Version, found bool, era uint64) (Version, bool) {
	if found {
		return record, true
	}
	return Version{Service: s.Name, Software: s.Baseline}, s.Baseline != "" && era == s.Era
}
