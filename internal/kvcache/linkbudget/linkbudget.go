// Package linkbudget limits the rate at which one user sends background transfers over a shared link.
//
// A link connects stores and targets. The sidecars that use it share its bandwidth without a central scheduler:
// each user measures how long its own transfers take. Transfers that a request waits for start at once.
// Background exports use the remaining bandwidth by additive increase, multiplicative decrease: their rate grows
// steadily while transfers meet no queue and is cut as soon as one of them had to queue, so that transfers with
// a deadline take priority. The same measurements estimate how long a fetch would take, and follow a slower link
// within a second.
package linkbudget

import (
	"math"
	"time"
)

// Class is the priority class of a transfer, most urgent first.
type Class int

// Priority classes.
const (
	Deadline   Class = iota // a request waits for it
	Urgent                  // export of blocks that the target is about to lose
	Background              // export over an otherwise idle link
)

// Options configure a Link. Zero fields except BytesPerSec select the defaults.
type Options struct {
	BytesPerSec float64       // nominal bandwidth of the whole link
	Delay       time.Duration // one-way network delay
	QueueTarget float64       // queueing delay at which the background rate is cut, as a multiple of the transfer time without a queue
	Users       int           // number of users of the link, for the fair share; zero counts as one
}

// Parameters of the rate control.
const (
	DefaultQueueTarget = 1.5 // default of Options.QueueTarget

	sampleHalfLife = 150 * time.Millisecond // time in which the weight of earlier samples halves
	idleHalfLife   = 5 * time.Second        // half-life at which the estimate returns to the nominal bandwidth without samples
	baselineWindow = 10 * time.Second       // the fastest transfer within this window is the baseline without a queue
	minCutInterval = 100 * time.Millisecond // minimum time between two cuts of the background rate
	cutFactor      = 0.6                    // a cut multiplies the background rate by this
	growthPeriod   = 4 * time.Second        // time to grow from zero to a fair share of the link
	minRateShare   = 0.002                  // lowest background rate as a share of the link, so that the user keeps measuring
	exportPause    = 50 * time.Millisecond  // pause of exports that met a queue
	timingNoise    = 250 * time.Microsecond // error from the clock and the scheduler in the time of one piece
	idleValidity   = 50 * time.Millisecond  // how long a piece or call without a queue shows that the link is idle
	maxCallNoise   = 3 * timingNoise        // excess of a call over the fastest one above which it met a queue
	burstTime      = 250 * time.Millisecond // capacity of the token bucket, as time at the current rate
)

// Link is one user's rate control and bandwidth estimate for a shared link. It is not safe for concurrent use.
type Link struct {
	opts Options

	streamRate      float64 // estimated rate of one stream of this user, bytes per second, as of lastSample
	lastSample      time.Time
	maxRates        [2]float64 // highest rate of the current and of the previous window, bytes per second
	windowStart     time.Time
	backgroundRate  float64 // limit of background transfers, bytes per second
	lastGrowth      time.Time
	lastCut         time.Time
	pausedUntil     time.Time        // background exports wait until then
	idleSeen        time.Time        // when an export or call last met no queue; zero after an export that did
	minCallTimes    [2]time.Duration // fastest call of the current and of the previous window
	callWindowStart time.Time
	tokens          float64 // balance of the token bucket in bytes
	lastRefill      time.Time
}

// New returns a link that starts from its nominal bandwidth and a quarter of the fair share as background rate.
func New(opts Options, now time.Time) *Link {
	if opts.QueueTarget == 0 {
		opts.QueueTarget = DefaultQueueTarget
	}
	opts.Users = max(opts.Users, 1)
	l := &Link{opts: opts, streamRate: opts.BytesPerSec, lastSample: now, windowStart: now, lastGrowth: now, lastCut: now, lastRefill: now}
	l.maxRates = [2]float64{opts.BytesPerSec, opts.BytesPerSec}
	l.minCallTimes = [2]time.Duration{math.MaxInt64, math.MaxInt64}
	l.backgroundRate = l.fairShare() / 4
	return l
}

// SetUsers changes the number of users of the link. Measurements are kept.
func (l *Link) SetUsers(users int) { l.opts.Users = max(users, 1) }

// fairShare returns an equal share of the link among its users, in bytes per second.
func (l *Link) fairShare() float64 { return l.opts.BytesPerSec / float64(l.opts.Users) }

// Observe records one finished piece of a transfer. elapsed is the time from its request, or from the end of the
// previous piece in the same stream, to its end.
func (l *Link) Observe(now time.Time, class Class, bytes int64, elapsed time.Duration) {
	if bytes <= 0 || elapsed <= 0 {
		return
	}
	rate := float64(bytes) / elapsed.Seconds()
	if class == Deadline {
		// The rate of exports, which yield to others, does not show what a fetch would get.
		l.addSample(now, rate)
	}
	l.recordMaxRate(now, min(rate, l.opts.BytesPerSec))
	l.adjustBackgroundRate(now, class, bytes, elapsed)
}

// ObserveStalled records a piece of class Deadline that is still in flight after elapsed, which gives an upper bound of the
// current rate.
func (l *Link) ObserveStalled(now time.Time, bytes int64, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	if rate := float64(bytes) / elapsed.Seconds(); rate < l.Rate(now) {
		l.addSample(now, rate)
		l.adjustBackgroundRate(now, Deadline, bytes, elapsed)
	}
}

// addSample averages a rate into the estimate as time per byte, since transfer times add up and rates do not.
func (l *Link) addSample(now time.Time, rate float64) {
	gap := max(now.Sub(l.lastSample), 0)
	// The cap lets each sample of a burst at one instant move the estimate.
	keep := min(math.Exp2(-float64(gap)/float64(sampleHalfLife)), 0.8)
	l.streamRate = 1 / (keep/l.Rate(now) + (1-keep)/rate)
	l.lastSample = now
}

// recordMaxRate keeps the highest rate of the current and of the previous window.
func (l *Link) recordMaxRate(now time.Time, rate float64) {
	if now.Sub(l.windowStart) >= baselineWindow {
		l.maxRates[1], l.maxRates[0] = l.maxRates[0], rate
		l.windowStart = now
	}
	l.maxRates[0] = max(l.maxRates[0], rate)
}

// adjustBackgroundRate cuts the background rate if a piece met a queue, and lets it grow otherwise.
func (l *Link) adjustBackgroundRate(now time.Time, class Class, bytes int64, elapsed time.Duration) {
	unqueued := l.unqueued(class, bytes)
	queued := elapsed - unqueued
	if queued > time.Duration(l.opts.QueueTarget*float64(unqueued)) {
		l.pausedUntil = now.Add(exportPause)
		l.idleSeen = time.Time{}
		if now.Sub(l.lastCut) >= minCutInterval {
			l.backgroundRate = max(l.backgroundRate*cutFactor, minRateShare*l.opts.BytesPerSec)
			l.lastCut = now
		}
		l.lastGrowth = now
		return
	}
	if class != Deadline {
		l.idleSeen = now
	}
	// The rate grows with time and not with the number of pieces, so that busy users get no advantage.
	step := l.fairShare() * min(now.Sub(l.lastGrowth).Seconds(), 1) / growthPeriod.Seconds()
	l.backgroundRate = min(l.backgroundRate+max(step, 0), l.opts.BytesPerSec)
	l.lastGrowth = now
}

// unqueuedTime returns the time of a piece that meets no queue. Pieces of an export are sent back to back without
// waiting for responses, so their time does not include the link's delay.
func (l *Link) unqueued(class Class, bytes int64) time.Duration {
	d := seconds(float64(bytes) / max(l.maxRates[0], l.maxRates[1]))
	if class == Deadline {
		return d + l.opts.Delay
	}
	return d + timingNoise
}

// NeedsProbe reports whether an export should make a small call to the store before its next piece, because the previous
// piece met a queue or was too long ago. The time of the call shows whether there is a queue now, at almost no cost to
// the link.
func (l *Link) NeedsProbe(now time.Time) bool { return now.Sub(l.idleSeen) > idleValidity }

// ObserveProbe records the time of a small call. If it exceeds the fastest recent call by more than timing noise, background
// exports pause again, otherwise they continue.
func (l *Link) ObserveProbe(now time.Time, elapsed time.Duration) {
	if now.Sub(l.callWindowStart) >= baselineWindow {
		l.minCallTimes[1], l.minCallTimes[0] = l.minCallTimes[0], elapsed
		l.callWindowStart = now
	}
	l.minCallTimes[0] = min(l.minCallTimes[0], elapsed)
	if elapsed-min(l.minCallTimes[0], l.minCallTimes[1]) > maxCallNoise {
		l.pausedUntil = now.Add(exportPause)
		return
	}
	l.idleSeen = now
}

// Rate returns the estimated rate of a new stream in bytes per second.
func (l *Link) Rate(now time.Time) float64 {
	gap := max(now.Sub(l.lastSample), 0)
	keep := math.Exp2(-float64(gap) / float64(idleHalfLife))
	return 1 / (keep/l.streamRate + (1-keep)/l.opts.BytesPerSec)
}

// Estimate returns the expected time of a fetch of the given size, including the network round trip and queueing.
func (l *Link) Estimate(now time.Time, bytes int64) time.Duration {
	if bytes <= 0 {
		return 0
	}
	return 2*l.opts.Delay + seconds(float64(bytes)/l.Rate(now))
}

// BackgroundRate returns the current rate limit of background transfers in bytes per second.
func (l *Link) BackgroundRate() float64 { return l.backgroundRate }

// Take takes bytes from the token bucket. It returns zero if they may be sent now, or else the time to wait before
// calling Take again. Transfers of class Deadline are never limited.
func (l *Link) Take(now time.Time, class Class, bytes int64) time.Duration {
	if class == Deadline {
		return 0
	}
	rate := l.backgroundRate
	switch {
	case class == Urgent:
		// Blocks that would otherwise be lost justify a fair share, however busy the link is.
		rate = max(rate, l.fairShare())
	case now.Before(l.pausedUntil):
		return l.pausedUntil.Sub(now)
	}
	gap := max(now.Sub(l.lastRefill), 0)
	l.tokens = min(l.tokens+rate*gap.Seconds(), rate*burstTime.Seconds())
	l.lastRefill = now
	// A piece larger than the bucket is sent once the bucket is full, and leaves a negative balance.
	need := min(float64(bytes), rate*burstTime.Seconds())
	if l.tokens < need {
		return max(seconds((need-l.tokens)/rate), time.Millisecond)
	}
	l.tokens -= float64(bytes)
	return 0
}

// seconds converts to a Duration and caps the value, so that the conversion does not overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
