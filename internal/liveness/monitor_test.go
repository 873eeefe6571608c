package liveness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const detectionBound = 3 * time.Second // documented time within which a silent connection with pending responses is detected

var start = time.Unix(1_800_000_000, 0)

// clock drives a monitor with simulated time.
type clock struct {
	m   *Monitor
	now time.Time
}

func newClock() *clock {
	c := &clock{m: NewMonitor(Options{}), now: start}
	c.m.Tick(start)
	return c
}

// until calls Tick each period until it returns an action of the kind, for at most d, and returns the time that this took. If
// answer is set, it answers pings.
func (c *clock) until(kind ActionKind, d time.Duration, answer bool) (time.Duration, Action) {
	for from := c.now; c.now.Sub(from) < d; {
		c.now = c.now.Add(defaultTickPeriod)
		for _, a := range c.m.Tick(c.now) {
			if a.Kind == kind {
				return c.now.Sub(from), a
			}
			if a.Kind == ActionPing && answer {
				a.Conn.Received(c.now)
			}
		}
	}
	return d, Action{}
}

func TestSilentConnectionIsReplacedAndRetired(t *testing.T) {
	for name, quiet := range map[string]time.Duration{"busy": 0, "idle before": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := newClock()
			conn := c.m.Open("a", c.now)
			c.until(ActionRedial, quiet, true)
			conn.Begin()
			took, a := c.until(ActionRedial, time.Minute, false)
			if took > detectionBound {
				t.Fatalf("silent connection detected after %v", took)
			}
			conn.DialDone(a.Dial, true)
			if _, a := c.until(ActionRetireReplaced, time.Second, false); a.Conn != conn || c.m.Conns() != 0 {
				t.Fatal("not retired after a successful dial of the replacement")
			}
		})
	}
}

func TestPeerThatCannotBeDialledIsUnreachable(t *testing.T) {
	c := newClock()
	c.m.Open("a", c.now).Begin()
	c.until(ActionRedial, detectionBound, false)
	if took, a := c.until(ActionRetireUnreachable, time.Minute, false); a.Conn == nil || took > 3*time.Second {
		t.Fatalf("action %+v after %v, want ActionRetireUnreachable within 3s", a, took)
	}
}

// Guards against the late result of a dial for an earlier silence, which must not retire a connection that resumed since.
func TestResultOfAbandonedDialIsIgnored(t *testing.T) {
	c := newClock()
	conn := c.m.Open("a", c.now)
	conn.Begin()
	_, first := c.until(ActionRedial, detectionBound, false)
	conn.Received(c.now)
	if _, a := c.until(ActionResume, time.Second, false); a.Conn != conn {
		t.Fatal("connection not resumed although data arrived")
	}
	c.until(ActionRedial, detectionBound, false)
	conn.DialDone(first.Dial, true)
	if _, a := c.until(ActionRetireReplaced, time.Second, false); a.Conn != nil {
		t.Fatal("connection retired by the result of an abandoned dial")
	}
}

// Guards against a paused process that detects all its peers as silent, though their responses wait unread in the sockets.
func TestOwnPauseRetiresNoConnection(t *testing.T) {
	c := newClock()
	for range 20 {
		c.m.Open("a", c.now).Begin()
	}
	c.until(ActionPing, detectionBound, false) // pings are unanswered when the pause begins
	c.now = c.now.Add(10 * time.Second)
	if _, a := c.until(ActionRedial, 5*time.Second, true); a.Conn != nil || c.m.Pauses() != 1 {
		t.Fatalf("silence detected %v, pauses %d, want false and 1", a.Conn != nil, c.m.Pauses())
	}
}

// Guards against a peer treated as unreachable because the dial was paused with the process.
func TestOwnPauseRestartsDialTimeout(t *testing.T) {
	c := newClock()
	conn := c.m.Open("a", c.now)
	conn.Begin()
	c.until(ActionRedial, detectionBound, false)
	c.now = c.now.Add(10 * time.Second)
	if _, a := c.until(ActionRetireUnreachable, time.Second, false); a.Conn != nil {
		t.Fatal("connection retired because of a pause of this process")
	}
}

// Guards against a process with frequent pauses that restarts its checks again and again.
func TestFrequentPausesDoNotPreventDetection(t *testing.T) {
	m := NewMonitor(Options{})
	m.Open("a", start).Begin()
	for i := range 20 {
		for _, a := range m.Tick(start.Add(time.Duration(i) * time.Second)) {
			if a.Kind == ActionRedial {
				return
			}
		}
	}
	t.Fatal("silent connection not detected")
}

func TestIdlePingsStayWithinBudget(t *testing.T) {
	for _, n := range []int{1, 40, 200} {
		c := newClock()
		for range n {
			c.m.Open("a", c.now)
		}
		c.until(ActionRedial, 10*time.Minute, true)
		bytes := float64(c.m.Pings()) * defaultPingBytes / 600
		if bytes > defaultIdlePingBudget || c.m.Pings() == 0 {
			t.Errorf("pings on %d idle connections cost %.0f bytes/s", n, bytes)
		}
	}
}

// TestAgainstNaive checks with random events on one connection, against a full log of these events, that its silence is detected
// only after an unanswered ping, and always in time.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMonitor(Options{})
		m.Tick(start)
		now := start
		conn := m.Open("a", now)
		var receipts, pings, pauses []time.Time
		pendingSince := time.Time{}
		after := func(log []time.Time, since time.Time) bool {
			for _, at := range log {
				if !at.Before(since) {
					return true
				}
			}
			return false
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				conn.Received(now)
				receipts = append(receipts, now)
			case 1:
				if pendingSince.IsZero() {
					conn.Begin()
					pendingSince = now
				}
			case 2:
				now = now.Add(4 * time.Second)
				pauses = append(pauses, now)
			}
			now = now.Add(defaultTickPeriod)
			for _, a := range m.Tick(now) {
				switch a.Kind {
				case ActionPing:
					pings = append(pings, now)
				case ActionRedial:
					pingedAt := pings[len(pings)-1]
					if now.Sub(pingedAt) < defaultReplyTimeout || after(receipts, pingedAt) {
						t.Fatalf("silence detected %v after a ping that was answered or may still be", now.Sub(pingedAt))
					}
					return
				}
			}
			quietFor := now.Add(-detectionBound)
			pendingLong := !pendingSince.IsZero() && !pendingSince.After(quietFor)
			if pendingLong && !after(receipts, quietFor) && !after(pauses, quietFor.Add(-time.Second)) {
				t.Fatalf("silence not detected %v after the last receipt", detectionBound)
			}
		}
	})
}
