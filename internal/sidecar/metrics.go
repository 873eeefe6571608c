package sidecar

import (
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/engine"
)

// latencyBuckets range from 1 ms, for a quick check, to 65.536 s, for a long draft.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// metrics holds the metrics of the sidecar.
type metrics struct {
	refusals     [16]tally.Counter // by cause
	runs         tally.Counter
	promptTokens tally.Counter
	cachedTokens tally.Counter
	outputTokens tally.Counter
	firstToken   tally.Histogram
	orders       tally.Counter
	orderErrors  tally.Counter
	slotErrors   tally.Counter // failed calls to the key-value service for loading slots
	targetDown   tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("sidecar")
	m := &metrics{
		runs:         scope.Counter("runs"),
		promptTokens: scope.Counter("prompt_tokens"),
		cachedTokens: scope.Counter("prompt_tokens_cached"),
		outputTokens: scope.Counter("output_tokens"),
		firstToken:   scope.Histogram("first_piece_seconds", latencyBuckets),
		orders:       scope.Counter("orders"),
		orderErrors:  scope.Counter("order_errors"),
		slotErrors:   scope.Counter("loading_slot_errors"),
		targetDown:   scope.Counter("target_down"),
	}
	for i := range m.refusals {
		m.refusals[i] = scope.Tagged(tags("cause", refusalName(egretv1.RefusalCause(i)))).Counter("refusals")
	}
	return m
}

// tags returns a set of one metric label.
func tags(name, value string) map[string]string { return map[string]string{name: value} }

// refusalName returns the lower-case name of a cause of refusal.
func refusalName(c egretv1.RefusalCause) string {
	return strings.ToLower(strings.TrimPrefix(c.String(), "REFUSAL_CAUSE_"))
}

// countRefusal counts a refusal by its cause.
func (m *metrics) countRefusal(c egretv1.RefusalCause) {
	if int(c) < len(m.refusals) {
		m.refusals[c].Inc(1)
	}
}

// runFinished records a completed request and the time until the first piece of its response.
func (m *metrics) runFinished(u engine.Usage, firstPiece time.Duration) {
	m.runs.Inc(1)
	m.promptTokens.Inc(int64(u.PromptTokens))
	m.cachedTokens.Inc(int64(u.CachedTokens))
	m.outputTokens.Inc(int64(u.OutputTokens))
	m.firstToken.RecordDuration(firstPiece)
}
