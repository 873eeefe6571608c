package gateway

import (
	"encoding/json"
	"errors"
	"testing"
	"time"
)

// The log must tell a choice by old metadata, a slow connection and a stand-still before the send apart.
func TestTryTellsWhatItWasChosenByAndWhen(t *testing.T) {
	arrived := time.Now()
	at := func(ms int) time.Time { return arrived.Add(time.Duration(ms) * time.Millisecond) }
	lines := describeTries([]try{
		{target: &target{id: "a"}, fate: fateNotSent, err: errors.New("refused"), metadata: 7, age: unknownAge, chosen: at(1)},
		{target: &target{id: "b"}, fate: fateServed, status: 200, metadata: 9, age: 250 * time.Millisecond, chosen: at(2), connected: at(502),
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
