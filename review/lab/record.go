package lab

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// Record writes what was sent, answered and run to a file, one line each, and counts broken rules. It implements standin.Observer and is safe
// for concurrent use.
type Record struct {
	rule  string // that the case is about
	begun time.Time

	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	broken int
	runs   map[string]int // runs of each request, by ID
}

// OpenRecord creates the file.
func OpenRecord(path, rule string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{rule: rule, begun: time.Now(), file: file, out: bufio.NewWriter(file), runs: map[string]int{}}, nil
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *Record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (r *Record) Break(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	r.line("BROKEN %s: %s", r.rule, fmt.Sprintf(format, args...))
}

// Broken returns how often the rule was broken.
func (r *Record) Broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// Runs returns how often a request has run.
func (r *Record) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Arrived implements standin.Observer.
func (r *Record) Arrived(standin.Run) {}

// Ran implements standin.Observer.
func (r *Record) Ran(run standin.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run.ID]++
	r.line("run %s at %s", run.ID, run.Target)
}

// Answered implements standin.Observer.
func (r *Record) Answered(a standin.Answer) {
	r.Line("server %s answers %s with %d", a.Target, a.ID, a.Status)
}

// Paused implements standin.Observer.
func (r *Record) Paused(standin.Pause) {}

// Ordered implements standin.Observer.
func (r *Record) Ordered(o standin.Order) {
	r.Line("order of %s to %s, fencing token %d", o.Holder, o.Target, o.Token)
}

// Violation implements standin.Observer.
func (r *Record) Violation(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if rule == r.rule {
		r.Break("%s", text)
		return
	}
	r.Line("seen besides, %s: %s", rule, text)
}
