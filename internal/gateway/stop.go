package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/httpserver"
)

// plannedStop is how far the planned stop of the instance has come. It is safe for concurrent use.
type plannedStop struct {
	times    atomic.Pointer[stopTimes] // nil if no stop has begun
	refusing atomic.Bool
}

type stopTimes struct {
	noticeEnd time.Time // when the load balancer should know of the stop
	end       time.Time // when requests that still run are ended
}

// BeginStop records that the instance stops, and ends requests that still run at end. Until noticeEnd it refuses streams that are likely to
// last longer, and after it all that may.
func (g *Gateway) BeginStop(noticeEnd, end time.Time) {
	g.stop.times.Store(&stopTimes{noticeEnd: noticeEnd, end: end})
}

// RefuseRequests makes the gateway refuse new requests.
func (g *Gateway) RefuseRequests() { g.stop.refusing.Store(true) }

// refuses reports whether all new requests are refused.
func (s *plannedStop) refuses() bool { return s.refusing.Load() }

// stoppingError is returned for a request that would not end before the instance stops.
type stoppingError struct{ expected, left time.Duration }

func (e *stoppingError) Error() string {
	return fmt.Sprintf("instance is stopping: %v left, %v expected", e.left.Round(time.Millisecond), e.expected.Round(time.Millisecond))
}

// checkStop returns a stoppingError if the instance may stop before the target's answer is complete. Calls with one answer are expected to take
// as long as the longer ones of the target did.
func (rq *request) checkStop(t *target, now time.Time) error {
	times := rq.gateway.stop.times.Load()
	if times == nil || rq.answer.begun() {
		return nil
	}
	expected := rq.remaining(now)
	switch {
	case rq.service.Engine == nil || rq.route.Kind != catalog.KindStreaming:
		expected = min(expected, t.stats.LongRun())
	case now.Before(times.noticeEnd):
		w, _ := rq.forecastWork(t, now)
		expected = min(expected, rq.service.forecast.Predict(w).LastHigh)
	}
	if left := times.end.Sub(now); expected > left {
		return &stoppingError{expected: expected, left: left}
	}
	return nil
}

// refuseStopping refuses a request since the instance stops. Other instances take it at once.
func (rq *request) refuseStopping() { rq.refuse(httpserver.ErrStopping.Error(), minRetryAfter) }

// endedByStop reports whether the request's context has ended because the time that a planned stop has for requests is over.
func (rq *request) endedByStop() bool {
	return errors.Is(context.Cause(rq.incoming.Context()), httpserver.ErrStopping)
}

// endForStop ends a request without a complete answer that the planned stop leaves no time for. A stream that has begun is broken off: its
// caller can go on with it at another instance.
func (rq *request) endForStop() {
	switch {
	case rq.answer.begun():
		rq.breakOff("stream broken off: " + httpserver.ErrStopping.Error())
	case rq.mayHaveRun():
		rq.fail(http.StatusBadGateway, "no answer from the target: "+httpserver.ErrStopping.Error())
	default:
		rq.refuseStopping()
	}
}
