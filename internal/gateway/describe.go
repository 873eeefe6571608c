package gateway

import (
	"slices"
	"time"
)

// attemptLog is an attempt as it is logged. Times are relative to the request's arrival.
type attemptLog struct {
	Target        string  `json:"target"`
	Outcome       string  `json:"fate"`
	Status        int     `json:"status,omitempty"`
	Error         string  `json:"err,omitempty"`
	WeightVersion int     `json:"weights,omitempty"`  // weight version that the request asked for
	Software      string  `json:"software,omitempty"` // version of the target's software
	Metadata      uint64  `json:"metadata"`           // revision of the metadata by which the target was chosen
	AgeMs         float64 `json:"age_ms"`             // age of the metadata just before the send; negative if unknown
	ChosenMs      float64 `json:"chosen_ms"`
	ConnectMs     float64 `json:"connected_ms,omitempty"`
	SentMs        float64 `json:"sent_ms,omitempty"`
	HeadMs        float64 `json:"head_ms,omitempty"` // arrival of the head of the answer
	Events        int     `json:"events,omitempty"`  // complete events received
}

// describeAttempts returns the attempts of a request that arrived at a time, as they are logged.
func describeAttempts(attempts []attempt, arrived time.Time) []attemptLog {
	since := func(t time.Time) float64 {
		if t.IsZero() {
			return 0
		}
		return milliseconds(t.Sub(arrived))
	}
	lines := make([]attemptLog, len(attempts))
	for i, a := range attempts {
		lines[i] = attemptLog{
			Target: a.target.id, Outcome: a.outcome.String(), Status: a.status, WeightVersion: a.weightVersion, Software: a.target.software, Metadata: a.metadataRevision, AgeMs: milliseconds(a.metadataAge),
			ChosenMs: since(a.chosen), ConnectMs: since(a.connected), SentMs: since(a.sent),
			HeadMs: since(a.progress.headAt), Events: a.progress.events,
		}
		if a.err != nil {
			lines[i].Error = a.err.Error()
		}
	}
	return lines
}

// milliseconds returns d in milliseconds, rounded to hundredths.
func milliseconds(d time.Duration) float64 {
	const precision = 10 * time.Microsecond
	return float64(d.Round(precision)) / float64(time.Millisecond)
}

// describePrompt returns the IDs of the parts of the prompt for the log line of a request that probed parts or was not served at its first
// attempt, empty for any other.
func (rq *request) describePrompt() string {
	if rq.outcome == outcomeAnswered && len(rq.attempts) <= 1 && !rq.probeSent {
		return ""
	}
	return describeParts(rq.partKeys)
}

// describeIdentity returns the ID of the part that stands for the whole request, for the log line of one that was cut at a target; empty for any other.
func (rq *request) describeIdentity() string {
	if rq.identity == nil || !slices.ContainsFunc(rq.attempts, func(a attempt) bool { return a.wasCut() }) {
		return ""
	}
	return rq.identity.get().ID
}
