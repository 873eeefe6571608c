package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics counts what the gateway does.
type metrics struct {
	scope     tally.Scope
	took      tally.Histogram
	first     tally.Histogram
	answered  tally.Counter
	refused   tally.Counter
	failed    tally.Counter
	brokenOff tally.Counter
	retries   tally.Counter
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope: s, took: s.Histogram("request_seconds", latencyBuckets), first: s.Histogram("first_byte_seconds", latencyBuckets),
		answered: s.Counter("requests_answered"), refused: s.Counter("requests_refused"), failed: s.Counter("requests_failed"),
		brokenOff: s.Counter("answers_broken_off"), retries: s.Counter("retries"),
	}
}

func (m *metrics) request(outcome string, took time.Duration) {
	m.took.RecordDuration(took)
	if outcome == outcomeAnswered {
		m.answered.Inc(1)
	} else {
		m.failed.Inc(1)
	}
}
