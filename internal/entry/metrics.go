package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/egrethoist/egrethoist/internal/attempt"
)

// latencyBuckets range from 1 ms to 65 s, from short quick requests to long drafts.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// metrics holds the metrics of an entry.
type metrics struct {
	scope          tally.Scope
	retries        tally.Counter
	resumes        tally.Counter
	buffered       tally.Counter // keyed requests that waited for their home target
	callersGone    tally.Counter
	protocolErrors tally.Counter // messages that are not allowed in the state of their attempt
	firstPiece     tally.Histogram
	pieceGap       tally.Histogram                  // between two pieces of one response
	attempts       [attempt.NumStates]tally.Counter // ended attempts by state
	byRequest      sync.Map                         // from requestLabels to *requestMetrics
}

// requestLabels are the labels of request metrics.
type requestLabels struct {
	service   string
	workspace string
	code      Code // empty for complete responses
}

// requestMetrics are the metrics of requests with the same labels.
type requestMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

// newMetrics registers the metrics in the subscope "entry".
func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("entry")
	m := &metrics{
		scope:          scope,
		retries:        scope.Counter("retries"),
		resumes:        scope.Counter("resumes"),
		buffered:       scope.Counter("buffered"),
		callersGone:    scope.Counter("callers_gone"),
		protocolErrors: scope.Counter("protocol_errors"),
		firstPiece:     scope.Histogram("first_piece_seconds", latencyBuckets),
		pieceGap:       scope.Histogram("piece_gap_seconds", latencyBuckets),
	}
	for i := range m.attempts {
		m.attempts[i] = scope.Tagged(map[string]string{"state": attempt.State(i).String()}).Counter("attempts")
	}
	return m
}

// countAttempt counts an attempt that ended.
func (m *metrics) countAttempt(a *attempt.Attempt) { m.attempts[a.State()].Inc(1) }

// recordRequest records a request that ended; fail is nil for a complete response.
func (m *metrics) recordRequest(req *Request, fail *Error, elapsed time.Duration) {
	labels := requestLabels{service: req.Service.Name, workspace: req.Workspace.Name}
	if fail != nil {
		labels.code = fail.Code
	}
	rm := m.requestMetrics(labels)
	rm.count.Inc(1)
	rm.latency.RecordDuration(elapsed)
}

// requestMetrics returns the metrics with the given labels, and creates them on first use.
func (m *metrics) requestMetrics(labels requestLabels) *requestMetrics {
	if rm, ok := m.byRequest.Load(labels); ok {
		return rm.(*requestMetrics)
	}
	scope := m.scope.Tagged(map[string]string{
		"service":   labels.service,
		"workspace": labels.workspace,
		"code":      string(labels.code),
	})
	rm := &requestMetrics{count: scope.Counter("requests"), latency: scope.Histogram("request_seconds", latencyBuckets)}
	actual, _ := m.byRequest.LoadOrStore(labels, rm)
	return actual.(*requestMetrics)
}

// countRetry counts a retry or a resume.
func (m *metrics) countRetry(a attempt.Action) {
	if a == attempt.Resume {
		m.resumes.Inc(1)
		return
	}
	m.retries.Inc(1)
}
