package gateway

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics counts what the gateway does.
type metrics struct {
	totalTime     tally.Histogram
	firstByteTime tally.Histogram
	answered      tally.Counter
	refused       tally.Counter // with the promise that it has not run
	// refusedPaused counts the refused ones for which targets that pause were left out.
	refusedPaused tally.Counter
	// refusedLimited counts the refused ones for which targets were left out whose rate is limited.
	refusedLimited tally.Counter
	failed         tally.Counter
	brokenOff      tally.Counter // in the middle of the answer
	retries        tally.Counter
	metadataAge    tally.Histogram // of the metadata when requests were sent
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

func newMetrics(s tally.Scope) metrics {
	return metrics{
		totalTime: s.Histogram("request_seconds", latencyBuckets), firstByteTime: s.Histogram("first_byte_seconds", latencyBuckets),
		answered: s.Counter("requests_answered"), refused: s.Counter("requests_refused"),
		refusedPaused: s.Counter("requests_refused_for_pauses"), failed: s.Counter("requests_failed"),
		refusedLimited: s.Counter("requests_refused_for_limits"),
		brokenOff:      s.Counter("answers_broken_off"), retries: s.Counter("retries"),
		metadataAge: s.Histogram("send_metadata_age_seconds", latencyBuckets),
	}
}

// send counts a request that is sent by metadata of an age, negative if that is unknown.
func (m *metrics) recordSend(age time.Duration) {
	if age >= 0 {
		m.metadataAge.RecordDuration(age)
	}
}

// request counts a request that has ended. first is the time to the first byte of the answer, zero if there was none.
func (m *metrics) recordRequest(outcome string, status int, took, first time.Duration) {
	m.totalTime.RecordDuration(took)
	if first > 0 {
		m.firstByteTime.RecordDuration(first)
	}
	switch {
	case outcome == outcomeAnswered:
		m.answered.Inc(1)
	case status == http.StatusServiceUnavailable:
		m.refused.Inc(1)
	default:
		m.failed.Inc(1)
	}
}
