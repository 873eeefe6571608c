package workspaceshare

import "time"

const (
	// scarceFraction is the fraction of the requests of one urgency that overload control refuses from which their capacity is scarce.
	// Below it a stricter limit would make room that nobody of this urgency lacks: a service may be short of cache memory for long
	// prompts while short ones wait for nothing.
	scarceFraction = 0.01
	// minControlled is the number of decisions within timeConstant from which that fraction is used.
	minControlled = 20
)

// RecordControl counts what overload control alone decides on a request, whatever its workspace's share.
func (t *Tracker) RecordControl(k Key, urgency int, admits bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := urgencyKey(k.Service, urgency)
	c := t.controlled[key]
	if c == nil {
		c = &counter{at: now}
		t.controlled[key] = c
	}
	c.decayTo(now)
	c.asked++
	if admits {
		c.used++
	}
}

// scarce reports whether overload control refuses requests of an urgency at this instance. Without enough requests to tell, it returns true.
// t.mu must be held.
func (t *Tracker) scarce(service uint32, urgency int, now time.Time) bool {
	c := t.controlled[urgencyKey(service, urgency)]
	if c == nil {
		return true
	}
	c.decayTo(now)
	return c.asked < minControlled || c.used < (1-scarceFraction)*c.asked
}
