package gateway

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ErrBusy is returned when a store or target accepts no more concurrent readers of its changes.
var ErrBusy = errors.New("too many concurrent readers of changes")

const (
	// longPollWait and shortPollWait are how long a store holds a long poll of its changes. The platform counts shorter ones as
	// probes.
	longPollWait  = 400 * time.Millisecond
	shortPollWait = 200 * time.Millisecond
	// pollPause is the pause between two long polls, in which changes accumulate.
	pollPause = 400 * time.Millisecond
	// plannedReaderShare is the fraction of a store's concurrent readers that the instances plan to use. The rest absorbs random
	// peaks.
	plannedReaderShare = 0.75
)

// pollPlan is the schedule by which an instance polls the changes of a store or target.
type pollPlan struct {
	wait         time.Duration // of a long poll
	pause        time.Duration // between two long polls
	allInstances bool          // all instances may read at once
}

// planPolling returns a schedule by which the instances share a store's limited number of concurrent readers: if they are too many,
// each polls only for a part of the time.
func planPolling(instances, readers int) pollPlan {
	usable := plannedReaderShare * float64(readers)
	if readers <= 0 || float64(instances) <= usable {
		return pollPlan{wait: longPollWait, pause: pollPause, allInstances: true}
	}
	period := time.Duration(float64(instances) / usable * float64(shortPollWait))
	return pollPlan{wait: shortPollWait, pause: period - shortPollWait}
}

// jitter returns a random duration between 3/4 and 5/4 of d, so that instances that started together do not poll in step.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

// answeredAt returns the earliest time at which a store can have answered a long poll that began at a time and has been answered now. The
// answer may have waited for this process. A store answers a poll without changes only after its wait.
func answeredAt(begun, now time.Time, wait time.Duration, changed bool) time.Time {
	if end := begun.Add(wait); !changed && !now.Before(end) {
		return end
	}
	return begun
}
