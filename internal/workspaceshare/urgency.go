package workspaceshare

import "time"

const (
	// urgencyLevels is the number of urgencies; 0 is the most urgent.
	urgencyLevels = 10
	// minUrgencyRequests is the decayed number of requests of an urgency from which its served fraction is used.
	minUrgencyRequests = 20
	// urgencySlowdown is how many times slower than usage the counts by urgency decay: refusals are rare events.
	urgencySlowdown = 4
)

// urgencyCounts counts the requests of one service by urgency, with decay.
type urgencyCounts struct {
	at             time.Time
	asked, refused [urgencyLevels]float64
}

func (c *urgencyCounts) record(urgency int, refused bool, now time.Time) {
	f := decay(now.Sub(c.at) / urgencySlowdown)
	c.at = now
	for i := range c.asked {
		c.asked[i] *= f
		c.refused[i] *= f
	}
	urgency = min(max(urgency, 0), urgencyLevels-1)
	c.asked[urgency]++
	if refused {
		c.refused[urgency]++
	}
}

// refusedFraction returns the fraction of refused requests, false if there were too few requests.
func (c *urgencyCounts) refusedFraction(urgency int) (float64, bool) {
	if c.asked[urgency] < minUrgencyRequests {
		return 0, false
	}
	return c.refused[urgency] / c.asked[urgency], true
}

// compare reports whether requests of this urgency are refused less often than more urgent ones (outranked), and whether
// they are refused more often than less urgent ones (wronged).
func (c *urgencyCounts) compare(urgency int) (outranked, wronged bool) {
	urgency = min(max(urgency, 0), urgencyLevels-1)
	own, known := c.refusedFraction(urgency)
	for other := range urgencyLevels {
		fraction, otherKnown := c.refusedFraction(other)
		switch {
		case !otherKnown:
		case other < urgency && fraction > own:
			outranked = true // an unknown fraction counts as zero: few requests of this urgency were refused
		case other > urgency && known && own > fraction:
			wronged = true
		}
	}
	return outranked, wronged
}
