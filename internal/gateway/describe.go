package gateway

import "time"

// tryLine is the log form of a try. Times count from the request's arrival.
type attemptLog struct {
	Target        string  `json:"target"`
	Outcome       string  `json:"fate"`
	Status        int     `json:"status,omitempty"`
	Error         string  `json:"err,omitempty"`
	WeightVersion int     `json:"weights,omitempty"` // version that was to run it
	Metadata      uint64  `json:"metadata"`          // revision by which the target was chosen
	AgeMs         float64 `json:"age_ms"`            // of the metadata just before the send; negative if unknown
	ChosenMs      float64 `json:"chosen_ms"`
	ConnectMs     float64 `json:"connected_ms,omitempty"`
	SentMs        float64 `json:"sent_ms,omitempty"`
}

func describeAttempts(tries []attempt, arrived time.Time) []attemptLog {
	since := func(t time.Time) float64 {
		if t.IsZero() {
			return 0
		}
		return milliseconds(t.Sub(arrived))
	}
	lines := make([]attemptLog, len(tries))
	for i, t := range tries {
		lines[i] = attemptLog{
			Target: t.target.id, Outcome: t.outcome.String(), Status: t.status, WeightVersion: t.weightVersion, Metadata: t.metadataRevision, AgeMs: milliseconds(t.metadataAge),
			ChosenMs: since(t.chosen), ConnectMs: since(t.connected), SentMs: since(t.sent),
		}
		if t.err != nil {
			lines[i].Error = t.err.Error()
		}
	}
	return lines
}

// milliseconds returns d with a precision of a hundredth of a millisecond.
func milliseconds(d time.Duration) float64 {
	const precision = 10 * time.Microsecond
	return float64(d.Round(precision)) / float64(time.Millisecond)
}
