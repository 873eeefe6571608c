package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// fail ends the request with an error status of the gateway. The status alone says nothing about whether the request ran.
func (rq *request) fail(status int, reason string) { rq.answerSelf(status, reason, http.Header{}) }

// refuse ends a request that has not run and will not run, with status 503 and a Retry-After header.
func (rq *request) refuse(reason string, retryAfter time.Duration) {
	rq.answerSelf(http.StatusServiceUnavailable, reason, http.Header{"Retry-After": {formatRetryAfter(retryAfter)}})
}

// answerSelf ends the request with an answer of the gateway, which takes ownership of header. An answer that has begun is broken off.
func (rq *request) answerSelf(status int, reason string, header http.Header) {
	if rq.answer.begun() {
		rq.breakOff(reason)
		return
	}
	rq.outcome, rq.selfAnswered = reason, true
	header.Set("Content-Type", "text/plain; charset=utf-8")
	_ = rq.answer.sendWhole(status, header, []byte(reason+"\n")) // a write error means that the caller has disconnected
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

// breakOff ends the request without completing its answer. Closing the answer then closes the caller's connection.
func (rq *request) breakOff(reason string) {
	rq.outcome = reason
	rq.gateway.metrics.brokenOff.Inc(1)
}
