package quarantine

import (
	"encoding/json"
	"fmt"
	"time"
)

// Record is a quarantine as it is kept in the metadata store, where it outlasts the instances and operators see it.
type Record struct {
	Parts         []Part `json:"parts"`
	Crashes       int    `json:"crashes"`
	Refused       int    `json:"refused"` // requests that all instances have refused
	WeightVersion int    `json:"weights,omitempty"`
	LastCrashMs   int64  `json:"lastCrashMs"`          // Unix time in milliseconds, as all times here
	UntilMs       int64  `json:"untilMs"`              // end of the quarantine
	LiftedMs      int64  `json:"liftedMs,omitempty"`   // when an operator lifted it; zero if none has
	ReportedBy    string `json:"reportedBy,omitempty"` // instance that wrote the record
}

// NewRecord returns the record of a quarantine.
func NewRecord(q Quarantine, reportedBy string) Record {
	return Record{
		Parts: q.Parts, Crashes: q.Crashes, WeightVersion: q.WeightVersion, ReportedBy: reportedBy,
		LastCrashMs: q.LastCrash.UnixMilli(), UntilMs: q.Until.UnixMilli(),
	}
}

// ParseRecord decodes a record. It returns an error if it is malformed.
func ParseRecord(raw []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return Record{}, err
	}
	for _, p := range r.Parts {
		if !p.Valid() {
			return Record{}, fmt.Errorf("invalid part %q of model %q", p.ID, p.Model)
		}
	}
	if len(r.Parts) == 0 || len(r.Parts) > maxSuspects || r.Crashes < 1 {
		return Record{}, fmt.Errorf("%d parts, %d crashes", len(r.Parts), r.Crashes)
	}
	return r, nil
}

// Key identifies the parts of the record, as Quarantine.Key does.
func (r *Record) Key() string { return (&Quarantine{Parts: r.Parts}).Key() }

// Lifted reports whether an operator lifted the quarantine after its last crash.
func (r *Record) Lifted() bool { return r.LiftedMs >= r.LastCrashMs && r.LiftedMs > 0 }

// Quarantine returns the quarantine. The last crash is never later than now, whatever the clock of the instance that wrote the record.
func (r *Record) Quarantine(now time.Time) Quarantine {
	q := Quarantine{Parts: r.Parts, Crashes: r.Crashes, WeightVersion: r.WeightVersion}
	age := min(max(time.Duration(now.UnixMilli()-r.LastCrashMs)*time.Millisecond, 0), q.keptFor()/2)
	q.LastCrash = now.Add(-age)
	q.Until = q.LastCrash.Add(q.length())
	return q
}

// Remembered reports whether the quarantine must still be known: it is in force, or its crashes count if a whole request comes again.
func (r *Record) Remembered(now time.Time) bool {
	q := r.Quarantine(now)
	return now.Before(q.Until) || q.ofRequest() && now.Sub(time.UnixMilli(r.LastCrashMs)) < maxRequestQuarantine
}
