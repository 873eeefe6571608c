package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// fail ends the request with an error status of the gateway. The status alone says nothing about whether the request ran.
func (rq *request) fail(status int, reason string) {
	if rq.headSent {
		rq.abortAnswer(reason)
		return
	}
	rq.status, rq.outcome, rq.headSent = status, reason, true
	h := rq.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	rq.writer.WriteHeader(status)
	_, _ = rq.writer.Write([]byte(reason + "\n")) // a write error means that the caller has disconnected
}

// refuse ends a request that has not run and will not run, with status 503 and a Retry-After header.
func (rq *request) refuse(reason string, retryAfter time.Duration) {
	rq.writer.Header().Set("Retry-After", formatRetryAfter(retryAfter))
	rq.fail(http.StatusServiceUnavailable, reason)
}

// formatRetryAfter returns d in seconds with three decimals. It rounds down: a caller that is told to wait longer than the protocol
// allows retries at a time of its own.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Truncate(time.Millisecond).Seconds(), 'f', 3, 64)
}

// reject ends a request that the configuration does not allow. One that a newer configuration may allow is refused, so that the
// caller retries.
func (rq *request) reject(r *rejection) {
	if r.status == http.StatusServiceUnavailable {
		rq.refuse(r.reason, retryAfterNotReady)
		return
	}
	rq.fail(r.status, r.reason)
}

// abortAnswer ends an answer that has begun and can't be completed, by closing the caller's connection: the caller must not take
// the answer for complete.
func (rq *request) abortAnswer(reason string) {
	rq.outcome = reason
	rq.gateway.metrics.brokenOff.Inc(1)
	panic(http.ErrAbortHandler)
}
