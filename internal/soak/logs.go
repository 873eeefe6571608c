package soak

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"time"
)

const (
	// httpServerPrefix begins the lines that the HTTP server of a gateway logs, each of which is the fault of a handler: no gateway of the
	// soak uses TLS, and none runs out of descriptors.
	httpServerPrefix = "http:"
	// mixedAnswerMessage is the message of a gateway that writes an answer into another one.
	mixedAnswerMessage = "answer written into another one"
	// maxLogText is the number of bytes of a log line that a violation shows.
	maxLogText = 600
)

// logLine is the part of a gateway's log line that the checker reads.
type logLine struct {
	Time       time.Time
	Level, Msg string
}

// checkLogs checks the logs of all instances.
func (f *fleet) checkLogs() {
	for _, in := range f.instances {
		raw, err := os.ReadFile(in.logPath())
		if err != nil {
			f.checker.Violation("FAULT", "read log of %s: %v", in.spec.Name, err)
			continue
		}
		f.checker.checkLog(in.spec.Name, raw)
	}
}

// checkLog reports the panics in an instance's log, which restarts would hide otherwise, and the lines by which the instance shows a fault
// of its own. It counts the other lines of level ERROR. Lines from before the run are of an earlier run with the same directory.
func (c *checker) checkLog(instance string, raw []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := bytes.Index(raw, []byte("panic: ")); i >= 0 {
		c.addViolation("FAULT", "%s panicked: %.300s", instance, raw[i:])
	}
	for text := range bytes.Lines(raw) {
		var line logLine
		if err := json.Unmarshal(text, &line); err != nil {
			continue // cut by SIGKILL, or a line of the Go runtime
		}
		switch {
		case line.Level != "ERROR" || line.Time.Before(c.start):
		case strings.HasPrefix(line.Msg, httpServerPrefix), line.Msg == mixedAnswerMessage:
			c.addViolationAt(line.Time, "LOG", "%s: %.*s", instance, maxLogText, bytes.TrimSpace(text))
		default:
			c.errorLines[line.Msg]++
		}
	}
}
