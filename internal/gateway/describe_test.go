package gateway

import (
	"encoding/json"
	"errors"
	"testing"
	"time"
)

// An operator must be able to tell from the log whether a late or misrouted attempt is due to stale metadata, a slow connection or a
// suspended process before the send.
func TestAttemptLogHasMetadataAndTimes(t *testing.T) {
	arrived := time.Now()
	at := func(ms int) time.Time { return arrived.Add(time.Duration(ms) * time.Millisecond) }
	lines := describeAttempts([]attempt{
		{target: &target{id: "a"}, outcome: attemptNotSent, err: errors.New("refused"), metadataRevision: 7, metadataAge: unknownAge, chosen: at(1)},
		{target: &target{id: "b"}, outcome: attemptServed, status: 200, metadataRevision: 9, metadataAge: 250 * time.Millisecond, chosen: at(2), connected: at(502),
			sent: at(2503)},
	}, arrived)
	raw, err := json.Marshal(lines)
	if err != nil {
		t.Fatal(err)
	}
	want := `[{"target":"a","fate":"not sent","err":"refused","metadata":7,"age_ms":-1,"chosen_ms":1},` +
		`{"target":"b","fate":"served","status":200,"metadata":9,"age_ms":250,"chosen_ms":2,"connected_ms":502,"sent_ms":2503}]`
	if string(raw) != want {
		t.Errorf("got  %s\nwant %s", raw, want)
	}
}
