package gateway

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/quarantine"
	"github.com/egrethoist/egrethoist/internal/roster"
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

// Guards against evidence that comes too late: an instance that had called a request back from a target looked for its crash only 200 ms later, also
// when another instance had reported it. Until then the crash seemed to have nothing to do with the request's parts, and more probes of these began.
func TestRecalledRequestIsBlamedOnceCrashIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		reported         bool
		earliest, latest time.Duration // from the recall to the instance's own report
	}{
		"reported by another instance": {reported: true, earliest: 10 * time.Millisecond, latest: 20 * time.Millisecond},
		"not reported":                 {earliest: recallCheckDelay, latest: recallCheckDelay + 10*time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			rq := requestWithParts("a", "own")
			state := rq.gateway.opts.State
			refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
			crashed := newTarget(roster.Target{Record: roster.Record{ID: "t", Address: "10.0.0.1:80"}}, 1, refuse, state.limits)
			state.targets["t"] = crashed
			start, incarnation := time.Now(), uint64(crashed.incarnation)
			rq.checkRecalled(&attempt{target: crashed, sent: start})
			time.Sleep(10 * time.Millisecond)
			if c.reported {
				report := quarantine.Message{Crash: &quarantine.CrashReport{Incarnation: incarnation}}
				raw, err := report.Encode()
				if err != nil || !state.quarantine.handleDatagram(raw, nil) {
					t.Fatal("the report is not accepted", err)
				}
			}
			isReported := func() bool {
				state.quarantine.mu.Lock()
				defer state.quarantine.mu.Unlock()
				return state.quarantine.reported[incarnation]
			}
			for !isReported() && time.Since(start) < time.Second {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(start); took < c.earliest || took > c.latest {
				t.Errorf("%s: reported after %v, want %v to %v", name, took, c.earliest, c.latest)
			}
			time.Sleep(time.Second) // all messages and timers end
			if len(state.quarantine.awaited) > 0 {
				t.Errorf("%s: %d crashes are still awaited", name, len(state.quarantine.awaited))
			}
		})
	}
}
