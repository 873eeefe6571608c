package workspaceshare

const (
	// urgencyLevels is the number of urgencies; 0 is the most urgent.
	urgencyLevels = 10
	// requestUnits is the usage of an urgency by one request. Messages encode small numbers of units coarsely.
	requestUnits = 1000
	// minUrgencyRate is the rate in usage per second from which the refused fraction of an urgency is used: 20 requests
	// within timeConstant.
	minUrgencyRate = 20 * requestUnits / 5
	// urgencyMargin is the factor by which a less urgent kind is to be refused more often than a more urgent one, once both
	// are refused. Without it both are refused equally often on average, and each of them more often by chance.
	urgencyMargin = 1.2
)

func urgencyKey(service uint32, urgency int) Key {
	return Key{Service: service, Workspace: urgencyWorkspace + uint32(min(max(urgency, 0), urgencyLevels-1))}
}

// urgencyUsage is the usage of one service by urgency over all instances.
type urgencyUsage [urgencyLevels]Usage

// refusedFraction returns the fraction of refused requests, false if there were too few requests.
func (c *urgencyUsage) refusedFraction(urgency int) (float64, bool) {
	if c[urgency].Asked < minUrgencyRate {
		return 0, false
	}
	return max(1-c[urgency].Used/c[urgency].Asked, 0), true
}

// compare reports whether requests of this urgency are not refused more often, by urgencyMargin, than more urgent ones of which
// some are refused (outranked), and whether less urgent ones are not refused more often than they (wronged).
func (c *urgencyUsage) compare(urgency int) (outranked, wronged bool) {
	urgency = min(max(urgency, 0), urgencyLevels-1)
	own, known := c.refusedFraction(urgency)
	for other := range urgencyLevels {
		fraction, otherKnown := c.refusedFraction(other)
		switch {
		case !otherKnown:
		case other < urgency && fraction > 0:
			outranked = outranked || fraction*urgencyMargin > own // an unknown fraction counts as zero
		case other > urgency && known && own > 0:
			wronged = wronged || own*urgencyMargin > fraction
		}
	}
	return outranked, wronged
}
