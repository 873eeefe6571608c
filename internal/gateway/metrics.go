package gateway

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics holds the gateway's request metrics.
type metrics struct {
	totalTime     tally.Histogram // time from a request's arrival to its end
	firstByteTime tally.Histogram // time from its arrival to the first byte of the answer
	answered      tally.Counter   // requests with a complete answer of a target
	refused       tally.Counter   // requests that ended with status 503 and have not run
	// refusedPaused counts the refused requests for which paused targets were not eligible.
	refusedPaused tally.Counter
	// refusedLimited counts the refused requests for which rate-limited targets were not eligible.
	refusedLimited tally.Counter
	failed         tally.Counter // all other requests
	brokenOff      tally.Counter // answers cut after their head was sent
	// failedContinuations counts answers of targets that were to continue an answer and do not.
	failedContinuations tally.Counter
	retries             tally.Counter   // attempts after the first one of a request
	metadataAge         tally.Histogram // age of the metadata when requests were sent
	forecast            forecastMetrics
	resumed             tally.Counter // requests that resume a stream of an earlier request
	probes              tally.Counter // probes of targets for their load
	probesDecided       tally.Counter // requests whose probes changed the choice of a target
}

// latencyBuckets are the upper bounds of the latency histograms: 12 buckets from 5 ms on, doubling up to 10.24 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

func newMetrics(s tally.Scope) metrics {
	return metrics{
		totalTime: s.Histogram("request_seconds", latencyBuckets), firstByteTime: s.Histogram("first_byte_seconds", latencyBuckets),
		answered: s.Counter("requests_answered"), refused: s.Counter("requests_refused"),
		refusedPaused: s.Counter("requests_refused_for_pauses"), failed: s.Counter("requests_failed"),
		refusedLimited: s.Counter("requests_refused_for_limits"),
		brokenOff:      s.Counter("answers_broken_off"), retries: s.Counter("retries"),
		failedContinuations: s.Counter("continuations_failed"),
		metadataAge:         s.Histogram("send_metadata_age_seconds", latencyBuckets),
		forecast:            newForecastMetrics(s),
		resumed:             s.Counter("streams_resumed"),
		probes:              s.Counter("target_probes"), probesDecided: s.Counter("choices_changed_by_probes"),
	}
}

// recordSend records the age of the metadata by which a request is sent, negative if unknown.
func (m *metrics) recordSend(age time.Duration) {
	if age >= 0 {
		m.metadataAge.RecordDuration(age)
	}
}

// recordRequest records a request that has ended. complete is set if its caller has received a complete answer. first is the time to the
// first byte of the answer, zero if there was none.
func (m *metrics) recordRequest(outcome string, status int, complete bool, took, first time.Duration) {
	m.totalTime.RecordDuration(took)
	if first > 0 {
		m.firstByteTime.RecordDuration(first)
	}
	switch {
	case !complete:
		m.failed.Inc(1)
	case outcome == outcomeAnswered:
		m.answered.Inc(1)
	case status == http.StatusServiceUnavailable:
		m.refused.Inc(1)
	default:
		m.failed.Inc(1)
	}
}
