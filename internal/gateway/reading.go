package gateway

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ErrBusy says that a store or target holds as many readings of its changes as it can.
var ErrBusy = errors.New("too many readings at once")

const (
	// longWait and shortWait are how long a store holds a reading of its changes. A shorter one counts as a probe.
	longPollWait  = 400 * time.Millisecond
	shortPollWait = 200 * time.Millisecond
	// readingPause collects changes between two readings.
	pollPause = 400 * time.Millisecond
	// readersUsed is the part of the readings held at once that instances plan to take up; the rest is for chance.
	plannedReaderShare = 0.75
)

// readingPlan is how an instance reads the changes of a store or target.
type pollPlan struct {
	wait  time.Duration // held by the store
	pause time.Duration // until the next
	all   bool          // every instance could be held at once
}

// planReading shares the readings that a store holds at once among the instances, in time: each holds one for a part of
// the time.
func planPolling(instances, readers int) pollPlan {
	usable := plannedReaderShare * float64(readers)
	if readers <= 0 || float64(instances) <= usable {
		return pollPlan{wait: longPollWait, pause: pollPause, all: true}
	}
	period := time.Duration(float64(instances) / usable * float64(shortPollWait))
	return pollPlan{wait: shortPollWait, pause: period - shortPollWait}
}

// jitter spreads the readings of instances that started together.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
