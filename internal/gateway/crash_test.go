package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/quarantine"
)

// requestWithParts returns a request whose prompt has the parts with the given IDs.
func requestWithParts(ids ...string) *request {
	rq := &request{gateway: &Gateway{opts: Options{State: NewState(StateOptions{})}}, service: &service{Service: &catalog.Service{Engine: &catalog.Engine{}}}, call: Call{ID: "r", Model: "m"}}
	for _, id := range ids {
		rq.call.Parts = append(rq.call.Parts, Part{ID: id, Tokens: 10})
	}
	return rq
}

// Guards against a process that ends because of a request whose part IDs are too long to be reported, and against blame for requests that the
// target had not begun to answer.
func TestCrashSuspects(t *testing.T) {
	now := time.Now()
	begun := progress{headAt: now}
	for _, c := range []struct {
		name     string
		parts    []string
		served   []string // parts that were answered lately
		progress progress
		want     string // IDs, with a question mark behind weak ones
	}{
		{"not begun", []string{"a", "x", "own"}, nil, progress{}, ""},
		{"begun", []string{"a", "x", "own"}, nil, begun, "a x"},
		{"begun, the shared parts were answered", []string{"a", "x", "own"}, []string{"a", "x"}, begun, "a x own"},
		{"begun, one shared part was answered", []string{"a", "x", "own"}, []string{"a"}, begun, "a x"},
		{"long after the first event", []string{"a", "x", "own"}, nil, progress{headAt: now.Add(-time.Second), firstEvent: now.Add(-time.Second), events: 9}, "a? x?"},
		{"one part", []string{"own"}, nil, begun, "own"},
		{"no parts", nil, nil, begun, ""},
		{"part IDs that are too long", []string{strings.Repeat("a", 200), strings.Repeat("b", 200)}, nil, begun, ""},
	} {
		rq := requestWithParts(c.parts...)
		for _, id := range c.served {
			rq.gateway.opts.State.quarantine.recordServed([]quarantine.Part{{Model: "m", ID: id}})
		}
		var got []string
		for _, s := range rq.crashSuspects(&attempt{progress: c.progress}) {
			if s.Weak {
				s.ID += "?"
			}
			got = append(got, s.ID)
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: suspects %v, want %s", c.name, got, c.want)
		}
	}
}
