package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against faults that only the gateway's own log shows, such as those of ended-streams-2026-12-04, and against violations by lines
// that show none or are not of this run.
func TestCheckerReadsLogs(t *testing.T) {
	const superfluous = `"level":"ERROR","msg":"http: superfluous response.WriteHeader call from gateway.(*request).writeHead (forward.go:38)"}`
	line := func(at time.Duration, text string) string {
		return fmt.Sprintf("{\"time\":%q,%s\n", time.Now().Add(at).Format(time.RFC3339Nano), text)
	}
	for _, test := range []struct {
		name, log  string
		rule       string
		violations int
		errorLines int
	}{
		{name: "HTTP server", log: line(time.Second, superfluous), rule: "LOG", violations: 1},
		{name: "panic of a handler", log: line(time.Second, `"level":"ERROR","msg":"http: panic serving 127.0.0.1:1: x\ngoroutine 5"}`), rule: "LOG", violations: 1},
		{name: "mixed answers", log: line(time.Second, `"level":"ERROR","msg":"answer written into another one","id":"1","status":200}`), rule: "LOG", violations: 1},
		{name: "two lines of three", log: line(time.Second, superfluous) + line(time.Second, `"level":"INFO","msg":"request"}`) + line(time.Second, superfluous), rule: "LOG", violations: 2},
		{name: "after a line that was cut", log: `{"time":"2026-` + "\n" + line(time.Second, superfluous), rule: "LOG", violations: 1},
		{name: "end of the process", log: "panic: x\n\ngoroutine 1 [running]:\n", rule: "FAULT", violations: 1},
		{name: "earlier run", log: line(-time.Minute, superfluous)},
		{name: "other level", log: line(time.Second, `"level":"INFO","msg":"http: a text"}`)},
		{name: "other error", log: line(time.Second, `"level":"ERROR","msg":"cannot close metrics reporter"}`), errorLines: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture(t)
			s.checkLog("front-0", []byte(test.log))
			if got := s.violationCounts[test.rule]; got != test.violations || len(s.violationCounts) > 1 {
				t.Errorf("violations %v, want %d of %q", s.violations, test.violations, test.rule)
			}
			if got := s.errorLines["cannot close metrics reporter"]; got != test.errorLines || len(s.errorLines) > got {
				t.Errorf("other lines %v, want %d", s.errorLines, test.errorLines)
			}
			for _, v := range s.violations {
				if v.Rule == "LOG" && (v.At < 500*time.Millisecond || !strings.Contains(v.Text, `"msg":"`)) {
					t.Errorf("violation at %v without its line or its time: %s", v.At, v.Text)
				}
			}
		})
	}
}
