package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/egrethoist/egrethoist/internal/attempt"
)

// latencyBuckets span a quick check to a long draft.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// metrics counts what the entry does.
type metrics struct {
	scope          tally.Scope
	retries        tally.Counter
	resumes        tally.Counter
	buffered       tally.Counter // requests that waited for the restart of their only target
	callersGone    tally.Counter
	protocolErrors tally.Counter // messages of a peer that can't be
	firstToken     tally.Histogram
	gap            tally.Histogram                  // between two pieces of one answer
	attempts       [attempt.NumStates]tally.Counter // that ended, by what is known of them
	byRequest      sync.Map                         // requestLabels to *requestMetrics
}

// requestLabels tell requests apart in counters.
type requestLabels struct {
	service   string
	workspace string
	code      Code // empty for whole answers
}

type requestMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("entry")
	m := &metrics{
		scope:          scope,
		retries:        scope.Counter("retries"),
		resumes:        scope.Counter("resumes"),
		buffered:       scope.Counter("buffered"),
		callersGone:    scope.Counter("callers_gone"),
		protocolErrors: scope.Counter("protocol_errors"),
		firstToken:     scope.Histogram("first_piece_seconds", latencyBuckets),
		gap:            scope.Histogram("piece_gap_seconds", latencyBuckets),
	}
	for i := range m.attempts {
		m.attempts[i] = scope.Tagged(map[string]string{"state": attempt.State(i).String()}).Counter("attempts")
	}
	return m
}

// attempted counts an attempt that ended.
func (m *metrics) attempted(a *attempt.Attempt) { m.attempts[a.State()].Inc(1) }

func (m *metrics) request(req *Request, fail *Error, took time.Duration) {
	labels := requestLabels{service: req.Service.Name, workspace: req.Workspace.Name}
	if fail != nil {
		labels.code = fail.Code
	}
	rm := m.forRequest(labels)
	rm.count.Inc(1)
	rm.latency.RecordDuration(took)
}

func (m *metrics) forRequest(labels requestLabels) *requestMetrics {
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

func (m *metrics) retried(a attempt.Action) {
	if a == attempt.Resume {
		m.resumes.Inc(1)
		return
	}
	m.retries.Inc(1)
}
