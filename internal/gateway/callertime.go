package gateway

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
)

// A caller leaves at its deadline or at the timeout of its route. The caller of a stream also leaves if it hears nothing for long.

// remaining returns the time until the request's deadline, negative if that has passed.
func (rq *request) remaining(now time.Time) time.Duration { return rq.deadline.Sub(now) }

// silenceLeft returns the time until the caller leaves if it receives nothing until then. It is negative if that has passed.
func (rq *request) silenceLeft(now time.Time) time.Duration {
	left := rq.remaining(now)
	if rq.route.Kind != catalog.KindStreaming || rq.route.SilenceTimeout <= 0 {
		return left
	}
	heard := rq.arrived
	if rq.answer.sentAt.After(heard) {
		heard = rq.answer.sentAt
	}
	return min(left, heard.Add(rq.route.SilenceTimeout).Sub(now))
}

// expectedAnswer returns the expected time from sending the request to a target until the first and the last event of its answer. Both are
// zero if nothing is known.
func (rq *request) expectedAnswer(t *target, now time.Time) (first, last time.Duration) {
	if rq.service.Engine == nil || rq.route.Kind != catalog.KindStreaming || rq.prefix == nil {
		run := t.stats.MeanRun()
		return run, run
	}
	w, _ := rq.forecastWork(t, now)
	p := rq.service.forecast.Predict(w)
	return p.First, p.First + rq.streamLeft(p.Stream, p.Events)
}

// streamLeft returns the part of the expected time of a stream that is left after the events that the caller has received.
func (rq *request) streamLeft(stream time.Duration, events float64) time.Duration {
	if rq.answer.events == 0 || events <= 0 {
		return stream
	}
	return time.Duration(max(1-float64(rq.answer.events)/events, 0) * float64(stream))
}

// slack returns how much later the request can be sent to a target for its answer to begin and end in the caller's time.
func (rq *request) slack(t *target, now time.Time) time.Duration {
	first, last := rq.expectedAnswer(t, now)
	return min(rq.silenceLeft(now)-first, rq.remaining(now)-last)
}
